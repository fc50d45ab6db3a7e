//! What is brought about while notes are published.

use std::time::Duration;

/// What is brought about while notes are published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum ConvergeFault {
    /// Nothing.
    None,
    /// Nodes that watch the platform are killed one after another.
    RelayKill,
    /// Half of a failure domain is killed at once and replaced.
    Herd,
    /// All nodes are killed at once and replaced at once.
    Storm,
    /// The platform gives no answer.
    PlatformOutage,
    /// Most answers of the platform are old, the others crossed and repeated.
    PlatformStale,
    /// Half of the failure domains are cut off from the others and from the platform.
    Partition,
    /// A failure domain is cut off from the platform, and only one other one's traffic gets in.
    OneWay,
    /// Some nodes stand still for longer than every timeout.
    Pause,
}

impl ConvergeFault {
    /// Returns the time for which the fault lasts at least.
    pub(crate) fn span(self) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::RelayKill | Self::Herd | Self::Storm => Duration::from_secs(3),
            Self::PlatformOutage | Self::PlatformStale => Duration::from_secs(6),
            Self::Partition | Self::OneWay => Duration::from_secs(10),
            Self::Pause => Duration::from_secs(15),
        }
    }

    /// Returns whether nodes are replaced, so that bytes are spent on their joining.
    pub(crate) fn replaces_nodes(self) -> bool {
        matches!(self, Self::RelayKill | Self::Herd | Self::Storm)
    }

    /// Returns whether the fault is one of the network between nodes. Only then is the proxy
    /// between them, as it holds two sockets for each of their connections.
    pub(crate) fn needs_proxy(self) -> bool {
        matches!(self, Self::Partition | Self::OneWay)
    }
}
