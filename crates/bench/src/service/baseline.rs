//! Baselines to which the system is compared.

use clap::ValueEnum;
use wagtaillever_node::Policies;

/// A simplified way to handle calls, without one or more mechanisms of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum ServiceBaseline {
    /// Round-robin selection of upstreams, without limits, ramp or ejection.
    RoundRobin,
    /// A fixed concurrency limit equal to the slots of the upstream, without a ramp.
    FixedLimit,
    /// Retries without a retry budget.
    NoBudget,
    /// Callers send requests directly to the upstreams.
    NoSidecar,
    /// Requests that crashed upstreams are not refused when they are sent again.
    NoPoison,
    /// Nodes do not detect that they were paused.
    NoStall,
}

impl ServiceBaseline {
    /// Returns the policies of the nodes.
    pub(crate) fn policies(self) -> Policies {
        let all = Policies::default();
        match self {
            Self::RoundRobin => Policies {
                limit: false,
                adaptive: false,
                ramp: false,
                balance: false,
                ejection: false,
                ..all
            },
            Self::FixedLimit => Policies {
                adaptive: false,
                ramp: false,
                ..all
            },
            Self::NoBudget => Policies {
                budget: false,
                ..all
            },
            Self::NoPoison => Policies {
                poison: false,
                ..all
            },
            Self::NoStall => Policies {
                stall: false,
                ..all
            },
            Self::NoSidecar => all,
        }
    }
}
