//! Behaviour of a simulated upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Behaviour of a simulated upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct UpstreamModel {
    /// Path prefix of the service; an empty one matches every path.
    pub(crate) path: String,
    /// Number of requests that run concurrently without slowing each other down.
    pub(crate) slots: u32,
    /// Maximum number of connections; one more crashes the upstream.
    pub(crate) connections: u32,
    /// Setup time of a connection, in milliseconds.
    pub(crate) connect_ms: u64,
    /// Mean service time, in milliseconds.
    pub(crate) service_ms: f64,
    /// Constant share of the service time; the rest is distributed exponentially.
    pub(crate) steady: f64,
    /// Number of slots available at a cold start.
    pub(crate) trickle: u32,
    /// Number of completed requests after which a cold upstream has one more slot available.
    pub(crate) warm_step: u32,
    /// Downtime after a crash, in milliseconds.
    pub(crate) down_ms: u64,
    /// Mode of the health and load endpoints.
    pub(crate) health: HealthMode,
    /// Requests per second that the upstream states to accept.
    pub(crate) limit_per_s: Option<f64>,
    /// Whether the upstream states that it is leaving.
    pub(crate) is_leaving: bool,
}

impl Default for UpstreamModel {
    fn default() -> Self {
        Self {
            path: String::new(),
            slots: 12,
            connections: 120,
            connect_ms: 1,
            service_ms: 60.0,
            steady: 0.5,
            trickle: 2,
            warm_step: 4,
            down_ms: 1_000,
            health: HealthMode::Honest,
            limit_per_s: None,
            is_leaving: false,
        }
    }
}

impl UpstreamModel {
    /// Returns the service time for a draw from the unit interval, while `active` requests run in
    /// `available_slots`.
    pub(crate) fn service_time(&self, draw: f64, active: u32, available_slots: u32) -> Duration {
        let varying = -(1.0 - draw).max(f64::MIN_POSITIVE).ln();
        let base_ms = self.service_ms * (self.steady + (1.0 - self.steady) * varying);
        let contention = (f64::from(active) / f64::from(available_slots.max(1))).max(1.0);
        Duration::from_secs_f64(base_ms * contention.powf(CONTENTION_EXPONENT) / 1e3)
    }

    /// Returns whether a path belongs to the service.
    pub(crate) fn has_path(&self, path: &str) -> bool {
        path.starts_with(&self.path)
    }

    /// Returns the calls per second that the slots can serve.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.slots) * 1e3 / self.service_ms
    }
}

/// Exponent of the slowdown when more requests run than slots are available; above 1, since
/// context switches cost additional time.
const CONTENTION_EXPONENT: f64 = 1.3;

/// Mode of the health and load endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HealthMode {
    /// Reports the actual state.
    #[default]
    Honest,
    /// Always reports healthy and idle.
    AlwaysGood,
    /// Always reports unhealthy and all slots in use.
    AlwaysBad,
}
