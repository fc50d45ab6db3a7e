//! Limits on what callers may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::border;

/// Limits on what callers may send, how long it may take and how long they may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "border::CallerLimits", into = "border::CallerLimits")]
pub struct CallerLimits {
    /// Maximum size of the head of a request in bytes; above 0.
    pub header_bytes: u32,
    /// Maximum size of the body of a request in bytes; above 0.
    pub body_bytes: u64,
    /// Time within which the head of a request must be complete; at least a millisecond.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle; at least a millisecond.
    pub idle_timeout: Duration,
}
