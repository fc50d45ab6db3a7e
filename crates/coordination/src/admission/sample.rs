//! Outcomes of started requests.

use std::time::{Duration, Instant};

use crate::admission::Rank;

/// Outcome of one started request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time at which the request was started.
    pub started: Instant,
    /// Time from the start to the head of the response.
    pub latency: Duration,
    /// How the request ended.
    pub result: SampleResult,
    /// Rank with which it was admitted.
    pub rank: Rank,
}

/// How a request ended, as evidence about the state of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleResult {
    /// The upstream responded.
    Answered,
    /// The upstream refused the request for lack of capacity.
    Shed,
    /// The connection broke, or no response arrived in time.
    Failed,
    /// The upstream refused the connection.
    Refused,
    /// The request ended without evidence about the upstream.
    Abandoned,
}
