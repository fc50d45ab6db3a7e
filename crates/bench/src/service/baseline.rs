//! What the system is measured against.

use clap::ValueEnum;
use wagtaillever_node::Policies;

/// A lesser way to handle calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum ServiceBaseline {
    /// Upstreams in turn, without limits, ramp or ejection.
    RoundRobin,
    /// As many requests as slots, without a ramp.
    FixedLimit,
    /// Retries without a budget.
    NoBudget,
    /// Callers use the upstreams directly.
    NoSidecar,
    /// Requests that crash upstreams are not refused.
    NoPoison,
    /// A node that was paused goes on as if it had not been.
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
