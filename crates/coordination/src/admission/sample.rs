//! What requests that ran show of their upstream.

use std::time::{Duration, Instant};

use crate::admission::Rank;

/// What a request that ran has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was started.
    pub started: Instant,
    /// Time from the start to the head of the answer.
    pub latency: Duration,
    /// How it ended.
    pub result: SampleResult,
    /// Rank with which it was admitted.
    pub rank: Rank,
}

/// How a request ended, as far as it tells of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleResult {
    /// The upstream answered.
    Answered,
    /// The upstream refused for want of capacity.
    Shed,
    /// The connection broke, or no answer came in time.
    Failed,
    /// The upstream accepted no connection.
    Refused,
    /// The end tells nothing of the upstream.
    Abandoned,
}
