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
    /// Megabits a second that the VM's link carries, where they are known; large answers then wait
    /// for the link by rank.
    pub link_mbps: Option<f64>,
    /// Factor by which a cold upstream may get more requests a second than its service states, as
    /// its operators allow; 1 unless set otherwise.
    pub cold_overage: f64,
}

/// Bytes a second in a megabit a second.
const MEGABIT_BYTES: f64 = 125_000.0;

impl Limits {
    /// Returns the bytes a second that the VM's link carries, if they are known.
    pub(crate) fn link_rate(&self) -> Option<u64> {
        let rate = self.link_mbps? * MEGABIT_BYTES;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = rate as u64;
        Some(rate.max(1))
    }

    /// Returns the requests a second that a cold upstream may get whose service states a rate.
    pub(crate) fn cold_rate(&self, stated: u32) -> u32 {
        let rate = f64::from(stated) * self.cold_overage;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = rate as u32;
        rate.max(1)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 32 << 20,
            stop_ms: 30_000,
            notice_ms: 0,
            skew_ms: 2_000,
            link_mbps: None,
            cold_overage: 1.0,
        }
    }
}
