//! Faults of the convergence experiment.

use std::time::Duration;

/// Fault that is injected while notes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum ConvergeFault {
    /// No fault.
    None,
    /// Relays, the nodes that watch the platform, are killed one after another.
    RelayKill,
    /// Half the nodes of a failure domain are killed at once and replaced.
    Herd,
    /// All nodes are killed at once and replaced at once.
    Storm,
    /// The platform is unavailable.
    PlatformOutage,
    /// Most answers of the platform are stale; watch events are reordered and repeated.
    PlatformStale,
    /// Half the failure domains are cut off from the others and from the platform.
    Partition,
    /// A failure domain is cut off from the platform and receives traffic from one other domain
    /// only.
    OneWay,
    /// Some nodes are paused for longer than every timeout.
    Pause,
}

impl ConvergeFault {
    /// Returns the minimum duration of the fault.
    pub(crate) fn min_duration(self) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::RelayKill | Self::Herd | Self::Storm => Duration::from_secs(3),
            Self::PlatformOutage | Self::PlatformStale => Duration::from_secs(6),
            Self::Partition | Self::OneWay => Duration::from_secs(10),
            Self::Pause => Duration::from_secs(15),
        }
    }

    /// Returns whether nodes are replaced, which costs additional bytes when the replacements join.
    pub(crate) fn replaces_nodes(self) -> bool {
        matches!(self, Self::RelayKill | Self::Herd | Self::Storm)
    }

    /// Returns whether the fault affects the network between nodes. The proxy runs only then, as it
    /// holds two sockets for each connection between nodes.
    pub(crate) fn needs_proxy(self) -> bool {
        matches!(self, Self::Partition | Self::OneWay)
    }
}
