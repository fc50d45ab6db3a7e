//! What became of one request of a caller.

use std::time::Duration;

/// One request over all its sendings.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// Identity of the request.
    pub(crate) id: String,
    /// Whether the request must run at most once.
    pub(crate) keyed: bool,
    /// When the request was due, since the start of the load.
    pub(crate) due: Duration,
    /// Time from when it was due until its last answer.
    pub(crate) took: Duration,
    /// What became of it.
    pub(crate) answered: Answered,
    /// Its sendings in order.
    pub(crate) sendings: Vec<SendingRecord>,
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub(crate) struct SendingRecord {
    /// Identity of the sending.
    pub(crate) id: String,
    /// Position of the node among the targets.
    pub(crate) node: usize,
    /// What the caller was told.
    pub(crate) told: Told,
    /// Reason that the answer named.
    pub(crate) reason: String,
    /// When the sending ended, since the start of the load.
    pub(crate) ended: Duration,
}

/// What a sending told the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Told {
    /// A whole answer of the right request.
    Good,
    /// An answer that belongs to another request, or a short one that looks whole.
    Wrong,
    /// The request did not run.
    DidNotRun,
    /// The request ran, but its answer is not to be had.
    Ran,
    /// The request may have run.
    Unknown,
    /// The answer broke off visibly.
    Broken,
    /// The connection to the node could not be opened.
    NotConnected,
    /// The connection to the node broke before an answer.
    Lost,
    /// No answer came before the deadline.
    TimedOut,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Answered {
    /// The caller has its whole answer in time.
    Good,
    /// The caller has a wrong answer.
    Wrong,
    /// The request was refused, and no sending may have run.
    Refused,
    /// The request may have run, or ran without an answer.
    Unknown,
    /// The last answer broke off.
    Broken,
}

impl Told {
    /// Returns whether the sending may have run.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, Self::DidNotRun | Self::NotConnected)
    }
}
