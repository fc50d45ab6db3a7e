//! What is brought about while calls run.

use clap::ValueEnum;

/// A fault or an operator's action in the middle third of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// Upstreams restart cold, one after the other.
    Cold,
    /// Three times the load that saturates the service.
    Overload,
    /// Health and load endpoints lie.
    Liar,
    /// Some requests crash each upstream that runs them.
    CrashRequest,
    /// Nodes are killed and come back.
    Kill,
    /// Nodes are paused for longer than every timeout.
    Pause,
    /// One failure domain is cut off from the others.
    Partition,
    /// Connections between failure domains are cut in the middle of what they carry.
    CutBody,
    /// A VM's connections stay open without an answer.
    HalfOpen,
    /// A failure domain is drained.
    DomainLeave,
    /// A failure domain is drained before the run and restored in it.
    DomainReturn,
    /// All processes of a failure domain are killed.
    DomainDeath,
    /// A third of the upstreams fail.
    ThirdDown,
    /// Nodes are stopped gracefully, one after the other, and come back.
    NodeStop,
    /// An upstream is withdrawn by a release note and stopped gracefully after it.
    UpstreamStop,
    /// Release notes add, change and withdraw upstreams all the time.
    ConfigChurn,
}

impl ServiceFault {
    /// Returns whether the fault is a planned action, which must cut no call.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::None
                | Self::Liar
                | Self::DomainLeave
                | Self::DomainReturn
                | Self::NodeStop
                | Self::UpstreamStop
                | Self::ConfigChurn
        )
    }
}
