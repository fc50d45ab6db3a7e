//! Why a connection closed.

/// Why a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseCause {
    /// The caller closed or reset it.
    Caller,
    /// It was idle for too long.
    Idle,
    /// The node stops and the connection was idle.
    Stop,
    /// After a response that announced it or left a part of its request unread.
    Answered,
    /// After a response to a request that can't be read.
    Malformed,
    /// After a response to a request whose head did not arrive in time.
    HeadTimeout,
    /// A response broke off, which its caller has to notice.
    AnswerBroken,
    /// Its caller does not use it, and others need its place.
    NoRoom,
    /// The caller took no part of a response, or sent no part of a request, for too long.
    Stalled,
}

impl CloseCause {
    /// Returns the name in log lines and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Idle => "idle",
            Self::Stop => "stop",
            Self::Answered => "answered",
            Self::Malformed => "malformed",
            Self::HeadTimeout => "head-timeout",
            Self::AnswerBroken => "answer-broken",
            Self::NoRoom => "no-room",
            Self::Stalled => "stalled",
        }
    }

    /// Returns whether the close follows from what the caller or an upstream did wrong.
    pub(super) fn is_fault(self) -> bool {
        matches!(
            self,
            Self::Malformed | Self::HeadTimeout | Self::AnswerBroken | Self::NoRoom | Self::Stalled
        )
    }

    /// Returns whether nothing that waits to be sent may reach the caller any more, so that its memory can be
    /// released at once.
    pub(super) fn discards_output(self) -> bool {
        self == Self::Stalled
    }

    /// Returns whether the last response must reach a caller that may still be sending.
    pub(super) fn is_after_response(self) -> bool {
        matches!(self, Self::Answered | Self::Malformed | Self::HeadTimeout)
    }
}
