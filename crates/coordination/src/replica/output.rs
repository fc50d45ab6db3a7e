//! What a replica asks its embedder to do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    drain::DrainOrder, fold::FoldEvent, join::JoinRule, message::Message, name::VmName,
    soft_report::SoftReport, vm::VmList,
};

/// Number of a link, given by the embedder and never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Something that the embedder has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message on a link.
    Send(LinkId, Message),
    /// Open a link to an address, then report it as up or failed.
    Dial(SocketAddr),
    /// Close a link, which counts as down already.
    Close(LinkId),
    /// Tell others what happened.
    Event(ReplicaEvent),
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// The configuration changed, or a note was refused.
    Fold(FoldEvent),
    /// A newer list of VMs is known.
    Vms(Arc<VmList>),
    /// A drain order came into force.
    OrderApplied(DrainOrder),
    /// A report was heard for the first time.
    Report(SoftReport),
    /// A neighbour said hello.
    LinkUp(VmName),
    /// The last link to a neighbour ended.
    LinkDown(VmName),
    /// A VM could not be reached.
    Unreachable(VmName),
    /// The node reads the platform in another way.
    PlatformMode(PlatformMode),
    /// No reader in reach hears the platform any more.
    PlatformLost,
    /// A reader in reach hears the platform again.
    PlatformFound,
    /// The node takes work from now on.
    Joined(JoinRule),
    /// The process was paused for some time.
    Paused(Duration),
    /// A snapshot of a neighbour was not usable.
    SnapshotRefused(VmName, Arc<str>),
    /// A neighbour has another configuration under the same sequence.
    SplitVerdict(VmName),
}

/// How a node reads the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlatformMode {
    /// Not at all.
    #[default]
    Off,
    /// The list of VMs only, as it is unknown.
    Vms,
    /// All keys, then each change.
    Watch,
}
