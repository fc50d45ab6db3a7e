//! Faults and operator actions during the call experiment.

use clap::ValueEnum;

/// A fault or operator action in the middle third of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// Upstreams are restarted or reset to cold, one after the other.
    Cold,
    /// By default, the offered load is three times the capacity.
    Overload,
    /// The health and load endpoints of the upstreams return false values.
    Liar,
    /// Some requests crash every upstream that executes them.
    CrashRequest,
    /// Nodes are killed and restarted.
    Kill,
    /// Nodes are paused for longer than any timeout between nodes.
    Pause,
    /// One failure domain is partitioned from the others.
    Partition,
    /// Connections between failure domains are cut in the middle of a body.
    CutBody,
    /// Connections of one VM are half-open: they stay open but nothing is answered.
    HalfOpen,
    /// A failure domain is drained.
    DomainLeave,
    /// A failure domain is drained before the run and restored during it.
    DomainReturn,
    /// All nodes and upstreams of a failure domain are killed.
    DomainDeath,
    /// Every third upstream is down.
    ThirdDown,
    /// Nodes are stopped gracefully and restarted, one after the other.
    NodeStop,
    /// An upstream is withdrawn by a release note and then stopped gracefully.
    UpstreamStop,
    /// Every third upstream states a limit, which falls and then ends.
    StatedLimit,
    /// Every third upstream states that it is leaving, and is restarted at the end.
    StatedLeaving,
    /// Release notes add and withdraw upstreams continuously.
    ConfigChurn,
}

impl ServiceFault {
    /// Returns whether no call may be cut: the fault is a planned action, or affects no connection.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::None
                | Self::Liar
                | Self::DomainLeave
                | Self::DomainReturn
                | Self::NodeStop
                | Self::UpstreamStop
                | Self::StatedLimit
                | Self::StatedLeaving
                | Self::ConfigChurn
        )
    }
}
