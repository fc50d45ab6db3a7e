//! Options of a fleet.

use wagtaillever_node::Policies;

use crate::deployment::Deployment;

/// Bearer token of the nodes' admin interfaces.
pub(super) const TOKEN: &str = "bench";

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
            log_filter: "info".into(),
        }
    }
}
