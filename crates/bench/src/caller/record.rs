//! What became of one request of a caller.

use std::time::Duration;

/// One request over all its sends.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// Identity of the request.
    pub(crate) id: String,
    /// Whether the request must run at most once.
    pub(crate) keyed: bool,
    /// When the request was due, since the start of the load.
    pub(crate) due: Duration,
    /// Time from when it was due until its last answer.
    pub(crate) latency: Duration,
    /// What became of it.
    pub(crate) outcome: CallOutcome,
    /// Its sends in order.
    pub(crate) sends: Vec<SendRecord>,
}

/// One sending of a request.
#[derive(Clone, Debug)]
pub(crate) struct SendRecord {
    /// Identity of the sending.
    pub(crate) id: String,
    /// Position of the node among the targets.
    pub(crate) node: usize,
    /// Result that the caller observed.
    pub(crate) outcome: SendOutcome,
    /// Reason that the answer named.
    pub(crate) reason: String,
    /// When the sending ended, since the start of the load.
    pub(crate) ended: Duration,
}

/// Result of a send as the caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SendOutcome {
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
pub(crate) enum CallOutcome {
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

impl SendOutcome {
    /// Returns whether the sending may have run.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, Self::DidNotRun | Self::NotConnected)
    }
}
