//! Whether an upstream has answered this process.

use std::time::{Duration, Instant};

/// Progress of the first contact with an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum Contact {
    /// No request was sent since this process learned of the upstream.
    Unused,
    /// Requests were sent, the first one at this time, and none was answered.
    Unanswered(Instant),
    /// The upstream has answered, so its statements are known.
    #[default]
    Answered,
}

/// Time after the first request from which an upstream that does not answer gets as many requests
/// as others: as long as callers wait for a node to read their requests.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

impl Contact {
    /// Returns whether requests must be sent one at a time.
    pub(super) fn is_limited(self, now: Instant) -> bool {
        match self {
            Self::Unused => true,
            Self::Unanswered(first_sent) => now < first_sent + FIRST_ANSWER_TIMEOUT,
            Self::Answered => false,
        }
    }

    /// Records that a request is sent.
    pub(super) fn record_start(&mut self, now: Instant) {
        if matches!(self, Self::Unused) {
            *self = Self::Unanswered(now);
        }
    }
}
