//! What a schedule can bring about.

use std::fmt;

/// Something that begins and, unless it is over at once, ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Publishes a note that is accepted.
    GoodNote,
    /// Publishes a note that is refused, of one of several kinds.
    BadNote(u8),
    /// Withdraws the upstream of a VM by a note, and adds it again.
    Churn(usize),
    /// Lists a VM as leaving, and as live again.
    LeaveVm(usize),
    /// Drains a failure domain, and restores it.
    DrainDomain(usize),
    /// Drains a VM by an order to one node, and restores it.
    DrainVm(usize),
    /// Kills a node, and replaces it.
    KillNode(usize),
    /// Kills half of a failure domain's nodes at once, and replaces them.
    Herd(usize),
    /// Stops a node in the regular way, and replaces it.
    StopNode(usize),
    /// Pauses a node.
    PauseNode(usize),
    /// Holds or resets what a failure domain sends to and receives from the others.
    Partition {
        /// Position of the failure domain.
        domain: usize,
        /// Whether connections are reset.
        reset: bool,
    },
    /// Holds what a failure domain receives from the others.
    OneWay(usize),
    /// Cuts a failure domain from the platform.
    CutPlatform(usize),
    /// Lets the platform give no answer, or refuse.
    Outage {
        /// Whether no answer comes at all.
        silent: bool,
    },
    /// Lets a share of the platform's answers be old.
    Stale {
        /// Share in percent.
        percent: u8,
    },
    /// Crosses and repeats what watches are told.
    Crossed,
    /// Kills an upstream, which comes back cold.
    KillUpstream(usize),
    /// Turns an upstream cold without a sign.
    ColdUpstream(usize),
    /// Sends a request that crashes each upstream that runs it, again and again.
    CrashRequest,
}

impl Action {
    /// Returns whether the action is over as soon as it began.
    pub(crate) fn is_instant(self) -> bool {
        matches!(
            self,
            Self::GoodNote
                | Self::BadNote(_)
                | Self::KillUpstream(_)
                | Self::ColdUpstream(_)
                | Self::CrashRequest
        )
    }

    /// Returns whether the action keeps orders and notes from reaching nodes.
    pub(crate) fn hinders_reach(self) -> bool {
        matches!(
            self,
            Self::PauseNode(_)
                | Self::Partition { .. }
                | Self::OneWay(_)
                | Self::CutPlatform(_)
                | Self::Outage { .. }
                | Self::Stale { .. }
        )
    }

    /// Returns whether the action may cut requests in flight.
    pub(crate) fn may_cut(self) -> bool {
        let cuts = matches!(
            self,
            Self::KillNode(_) | Self::Herd(_) | Self::KillUpstream(_) | Self::CrashRequest
        );
        cuts || matches!(self, Self::ColdUpstream(_)) || self.hinders_reach()
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
