//! How a stand-in of an upstream behaves.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Behaviour of a stand-in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct UpstreamModel {
    /// Path prefix of the service; empty accepts every path.
    pub(crate) path: String,
    /// Requests that run at once without slowing each other down.
    pub(crate) slots: u32,
    /// Connections that are accepted; one more makes the upstream fall over.
    pub(crate) connections: u32,
    /// Time to set up a connection, in milliseconds.
    pub(crate) connect_ms: u64,
    /// Mean service time, in milliseconds.
    pub(crate) service_ms: f64,
    /// Share of the service time that does not vary; the rest is exponential.
    pub(crate) steady: f64,
    /// Requests that a cold upstream bears at once.
    pub(crate) trickle: u32,
    /// Completed requests after which a cold upstream bears one more at once.
    pub(crate) warm_step: u32,
    /// Time for which the upstream stays down after it fell over, in milliseconds.
    pub(crate) down_ms: u64,
    /// What the health and load endpoints say.
    pub(crate) health: HealthMode,
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
        }
    }
}

impl UpstreamModel {
    /// Returns the service time for a draw from the unit interval, with `active` requests running.
    pub(crate) fn service_time(&self, draw: f64, active: u32, bears: u32) -> Duration {
        let varying = -(1.0 - draw).max(f64::MIN_POSITIVE).ln();
        let alone = self.service_ms * (self.steady + (1.0 - self.steady) * varying);
        let crowding = (f64::from(active) / f64::from(bears.max(1))).max(1.0);
        Duration::from_secs_f64(alone * crowding.powf(CROWDING) / 1e3)
    }

    /// Returns whether a path is one of the service.
    pub(crate) fn expects(&self, path: &str) -> bool {
        path.starts_with(&self.path)
    }

    /// Returns the calls a second that the slots can carry.
    pub(crate) fn capacity(&self) -> f64 {
        f64::from(self.slots) * 1e3 / self.service_ms
    }
}

/// Exponent with which more requests than the upstream bears slow all of them down;
/// above 1, since switching between them costs time too.
const CROWDING: f64 = 1.3;

/// What the health and load endpoints say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum HealthMode {
    /// What is the case.
    #[default]
    Honest,
    /// Always healthy and idle.
    AlwaysGood,
    /// Always unhealthy and full.
    AlwaysBad,
}
