//! Options of a fleet.

use serde::Serialize;
use wagtaillever_node::Policies;

use crate::deployment::Deployment;

/// Bearer token of the nodes' admin interfaces.
pub(super) const TOKEN: &str = "bench";

/// Limits of the nodes that set the length of a planned stop.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct StopLimits {
    /// Time for which a stopping node still accepts calls, in milliseconds.
    pub(crate) notice_ms: u64,
    /// Time after which it is killed, in seconds.
    pub(crate) grace_s: f64,
}

/// Options of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetOptions {
    pub(crate) deployment: Deployment,
    /// Rate limit of the platform, in calls per second.
    pub(crate) platform_rate: usize,
    /// Seed of the platform's faults.
    pub(crate) seed: u64,
    /// Policies that the nodes enable.
    pub(crate) policies: Policies,
    /// Whether nodes connect to each other through the fault-injecting proxy.
    pub(crate) proxied: bool,
    /// Names of the mutants that the nodes enable; requires a build with the feature `mutants`.
    pub(crate) mutants: Vec<&'static str>,
    /// Limits of planned stops; `None` keeps the defaults of the nodes.
    pub(crate) stop_limits: Option<StopLimits>,
    /// Log filter of the nodes.
    pub(crate) log_filter: String,
}

/// Default rate limit of the platform.
pub(crate) const PLATFORM_CALLS_PER_S: usize = 2_000;

impl FleetOptions {
    /// Returns the default options: a fleet with a proxy and all policies enabled.
    pub(crate) fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            platform_rate: PLATFORM_CALLS_PER_S,
            seed: 1,
            policies: Policies::default(),
            proxied: true,
            mutants: Vec::new(),
            stop_limits: None,
            log_filter: "info".into(),
        }
    }
}
