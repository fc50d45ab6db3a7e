//! Options of a fleet.

use wagtaillever_node::Policies;

use crate::deployment::Deployment;

/// Token that guards the nodes' admin interfaces.
pub(super) const TOKEN: &str = "bench";

/// Options of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetOptions {
    /// The deployment.
    pub(crate) deployment: Deployment,
    /// Calls that the platform admits in a second.
    pub(crate) platform_rate: usize,
    /// Seed of the platform's faults.
    pub(crate) seed: u64,
    /// Policies of the nodes.
    pub(crate) policies: Policies,
    /// Whether nodes reach each other through the fault-injecting proxy.
    pub(crate) proxied: bool,
    /// Deliberate faults of the nodes, by name; they need a build with the feature `mutants`.
    pub(crate) mutants: Vec<&'static str>,
    /// Log filter of the nodes.
    pub(crate) log_filter: String,
}

/// Calls a second that the platform admits.
pub(crate) const PLATFORM_RATE: usize = 2_000;

impl FleetOptions {
    /// Returns the options of a fleet behind a proxy with all policies on.
    pub(crate) fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            platform_rate: PLATFORM_RATE,
            seed: 1,
            policies: Policies::default(),
            proxied: true,
            mutants: Vec::new(),
            log_filter: "info".into(),
        }
    }
}
