//! Limits of a node.

use serde::Deserialize;

/// Limits of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bodies in flight through the node, in bytes.
    pub body_bytes: usize,
    /// Longest time in milliseconds that a graceful stop waits for calls in flight.
    pub stop_ms: u64,
    /// Time in milliseconds for which a stopping node still takes calls, while callers learn of
    /// the stop; by default it refuses them at once.
    pub notice_ms: u64,
    /// Largest difference in milliseconds between the clocks of callers and nodes.
    pub skew_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 32 << 20,
            stop_ms: 30_000,
            notice_ms: 0,
            skew_ms: 2_000,
        }
    }
}
