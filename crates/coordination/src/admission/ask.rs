//! What asks to be run, and what becomes of it.

use std::time::{Duration, Instant};

use crate::admission::Rank;

/// A request that asks to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Hash of the caller's name, for fair sharing.
    pub caller: u64,
    /// Time by which the answer must be there.
    pub deadline: Instant,
    /// Time by which the caller wants the answer, if the route states it.
    pub target: Option<Instant>,
    /// Time at which a waiting request is refused; set by the admission.
    pub expires_at: Option<Instant>,
    /// Rank among the requests that wait.
    pub rank: Rank,
    /// Whether nothing else should run beside it, because it may crash the upstream.
    pub alone: bool,
}

/// Identity of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub(super) u64);

/// Position of a request among those that were started, if nothing ran at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartMark(pub(super) Option<u64>);

/// What becomes of a request on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Start,
    /// It waits for its turn.
    Wait(QueueTicket),
    /// It is refused.
    Refuse(Rejection),
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// It runs now.
    Start(QueueTicket),
    /// It is refused.
    Refuse(QueueTicket, Rejection),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Cause.
    pub cause: RejectionCause,
    /// Time after which a resend makes sense.
    pub retry_after: Duration,
}

/// Cause of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The queue is full.
    QueueFull,
    /// The deadline would pass while the request waits.
    DeadlineExceeded,
    /// The upstream accepts no connections.
    Down,
}
