//! Outputs of a replica.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::Origin;
use crate::{
    drain::DrainOrder, fold::FoldEvent, join::JoinRule, message::Message, name::VmName,
    soft_report::SoftReport, vm::VmList,
};

/// Number of a link, assigned by the embedder and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Action for the embedder.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message on a link.
    Send(LinkId, Message),
    /// Open a link to an address and report whether it came up or failed.
    Dial(SocketAddr),
    /// Close a link; the replica has already removed it.
    Close(LinkId),
    /// Report an event.
    Event(ReplicaEvent),
}

/// Event that a replica reports.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The configuration changed, or a note was refused.
    Fold(FoldEvent, Origin),
    /// A newer list of VMs was installed.
    Vms(Arc<VmList>, Origin),
    /// A drain order came into force.
    OrderApplied(DrainOrder, Origin),
    /// A report arrived for the first time.
    Report(SoftReport),
    /// The first hello of a neighbour arrived.
    LinkUp(VmName),
    /// The last link to a neighbour closed.
    LinkDown(VmName),
    /// A VM could not be reached.
    Unreachable(VmName),
    /// The way in which the node reads the platform changed.
    PlatformMode(PlatformMode),
    /// The platform no longer answers any reachable reader.
    PlatformLost,
    /// The platform answers a reachable reader again.
    PlatformFound,
    /// The node started to accept requests.
    Joined(JoinRule),
    /// The process was paused for the given time.
    Paused(Duration),
    /// A snapshot could not be used.
    SnapshotRefused(VmName, Arc<str>),
    /// A neighbour has a different configuration at the same sequence.
    SplitVerdict(VmName),
}

/// How a node reads the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// Does not read the platform.
    #[default]
    Off,
    /// Reads only the list of VMs, which is not known yet.
    Vms,
    /// Reads all keys, then watches for changes.
    Watch,
    /// Probes whether the platform answers, because no known reader gets answers.
    Probe,
}

impl PlatformMode {
    /// Returns the name of the mode, for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Vms => "vms",
            Self::Watch => "watch",
            Self::Probe => "probe",
        }
    }
}
