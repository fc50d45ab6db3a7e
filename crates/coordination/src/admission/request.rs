//! Admission requests and the decisions on them.

use std::time::{Duration, Instant};

use crate::admission::Rank;

/// Properties of a request that admission decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Hash of the caller's name, for fair queueing between callers.
    pub caller: u64,
    /// Time by which the response must arrive.
    pub deadline: Instant,
    /// Time by which the caller wants the response, if the route defines a target latency.
    pub target: Option<Instant>,
    /// Time at which the request is refused if it is still queued; set on submission.
    pub expires_at: Option<Instant>,
    /// Rank among the queued requests.
    pub rank: Rank,
    /// Whether the request should run without others in parallel, as it may crash the upstream.
    pub alone: bool,
}

/// Identifier of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(pub(super) u64);

/// Sequence number of a started request, if nothing else was running at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartMark(pub(super) Option<u64>);

/// Decision on a request when it is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Start,
    /// The request is queued.
    Wait(QueueTicket),
    /// The request is refused.
    Refuse(Rejection),
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request starts now.
    Start(QueueTicket),
    /// The request is refused.
    Refuse(QueueTicket, Rejection),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// What prevents the request from running.
    pub cause: RejectionCause,
    /// Time after which the request is worth sending again.
    pub retry_after: Duration,
}

/// Cause of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The queue has no room, or the wait in it would be too long for the target time.
    QueueFull,
    /// The response would miss the deadline, or the request expired in the queue.
    DeadlineExceeded,
    /// The upstream refuses connections.
    Down,
}
