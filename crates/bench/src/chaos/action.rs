//! Actions of a fault schedule.

use std::fmt;

/// An action with a begin and, unless it is instant, an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Publishes a valid note.
    GoodNote,
    /// Publishes an invalid note; the number selects the kind of error.
    BadNote(u8),
    /// Withdraws the upstream of a VM with one note and adds it back with another.
    Churn(usize),
    /// Lists a VM as leaving, then as live.
    LeaveVm(usize),
    /// Drains a failure domain, then restores it.
    DrainDomain(usize),
    /// Drains a VM through an order sent to one node, then restores it.
    DrainVm(usize),
    /// Kills a node, then starts a replacement.
    KillNode(usize),
    /// Kills half the nodes of a failure domain at once, then starts replacements.
    Herd(usize),
    /// Stops a node gracefully, then starts a replacement.
    StopNode(usize),
    /// Pauses the process of a node.
    PauseNode(usize),
    /// Holds or resets connections between a failure domain and all others, in both directions.
    Partition {
        /// Index of the failure domain.
        domain: usize,
        /// Whether connections are reset instead of held.
        reset: bool,
    },
    /// Holds traffic from all other failure domains to one.
    OneWay(usize),
    /// Cuts a failure domain off from the platform.
    CutPlatform(usize),
    /// Makes the platform unavailable.
    Outage {
        /// Whether requests get no answer, instead of a refusal.
        silent: bool,
    },
    /// Makes the platform return stale answers for a share of the requests.
    Stale {
        /// Share of stale answers in percent.
        percent: u8,
    },
    /// Makes the platform reorder and repeat watch events.
    Crossed,
    /// Kills an upstream, which restarts cold.
    KillUpstream(usize),
    /// Makes an upstream cold without any signal to the nodes.
    ColdUpstream(usize),
    /// Makes an upstream state a limit on its requests for a time.
    LimitUpstream {
        /// Index of the VM.
        vm: usize,
        /// Limit as a share of the capacity of the upstream, in percent.
        percent: u8,
    },
    /// Makes an upstream state that it is leaving, then restarts it.
    LeaveUpstream(usize),
    /// Sends and resends a request that crashes each upstream that runs it.
    CrashRequest,
}

impl Action {
    /// Returns whether the action has no duration.
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

    /// Returns whether the action can keep orders and notes from reaching nodes.
    pub(crate) fn can_delay_propagation(self) -> bool {
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
    pub(crate) fn may_cut_requests(self) -> bool {
        let cuts = matches!(
            self,
            Self::KillNode(_) | Self::Herd(_) | Self::KillUpstream(_) | Self::CrashRequest
        );
        cuts || matches!(self, Self::ColdUpstream(_) | Self::LeaveUpstream(_))
            || self.can_delay_propagation()
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
