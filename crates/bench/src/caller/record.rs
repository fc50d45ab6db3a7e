//! Record of one request of a caller and its outcome.

use std::time::Duration;

/// One request with all its sends.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    /// Identifier of the request.
    pub(crate) id: String,
    /// Whether the request must run at most once.
    pub(crate) keyed: bool,
    /// Scheduled time of the request, since the start of the load.
    pub(crate) due: Duration,
    /// Time from the scheduled time until the last send ended.
    pub(crate) latency: Duration,
    /// Outcome of the request.
    pub(crate) outcome: CallOutcome,
    /// Sends of the request in order.
    pub(crate) sends: Vec<SendRecord>,
}

/// One send of a request to a node.
#[derive(Clone, Debug)]
pub(crate) struct SendRecord {
    /// Identifier of the send.
    pub(crate) id: String,
    /// Index of the node in the list of targets.
    pub(crate) node: usize,
    /// Outcome of the send.
    pub(crate) outcome: SendOutcome,
    /// Reason given by the response; empty if there is none.
    pub(crate) reason: String,
    /// End of the send, since the start of the load.
    pub(crate) ended: Duration,
}

/// Outcome of a send as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SendOutcome {
    /// The complete response of the request arrived.
    Good,
    /// The response belongs to another request, or it is truncated without an error.
    Wrong,
    /// The request did not run.
    DidNotRun,
    /// The request ran, but its response is not available.
    Ran,
    /// The request may have run.
    Unknown,
    /// The response body ended with an error.
    Broken,
    /// The connection to the node could not be opened.
    NotConnected,
    /// The connection to the node was lost before a response arrived.
    Lost,
    /// No response arrived before the deadline.
    TimedOut,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum CallOutcome {
    /// The complete response arrived in time.
    Good,
    /// The response was wrong.
    Wrong,
    /// The request was refused, and none of its sends may have run.
    Refused,
    /// The request may have run, or it ran and no response arrived.
    Unknown,
    /// The body of the last response ended with an error.
    Broken,
}

impl SendOutcome {
    /// Returns whether the request may have run as a result of the send.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, Self::DidNotRun | Self::NotConnected)
    }
}
