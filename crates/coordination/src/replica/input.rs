//! Inputs of a replica.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    apply_timing::ApplyTiming,
    config::Config,
    drain::DrainOrder,
    name::{DomainName, VmName},
    sequence::Sequence,
    vm::{Incarnation, VmList},
};

/// Identity of a replica.
#[derive(Clone, Debug)]
pub struct Identity {
    /// VM of the node.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Incarnation of the process on the VM.
    pub incarnation: Incarnation,
    /// Addresses of nodes that are dialled until a list of VMs is known.
    pub seeds: Vec<SocketAddr>,
}

/// Requirements on a replica, and mechanisms that experiments can disable.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPolicy {
    /// Whether only relays read the platform.
    pub relay: bool,
    /// Whether notes are sent as deltas instead of snapshots.
    pub delta: bool,
    /// Whether digests trigger the repair of lost messages.
    pub digest: bool,
    /// Whether reads of the platform are never older than a configuration in force on any node.
    pub consistent_reads: bool,
    /// Times that follow from the bound within which a change must be in force.
    pub timing: ApplyTiming,
}

impl Default for ReplicaPolicy {
    fn default() -> Self {
        Self {
            relay: true,
            delta: true,
            digest: true,
            consistent_reads: false,
            timing: ApplyTiming::default(),
        }
    }
}

/// Value read from the platform.
#[derive(Clone, Debug)]
pub enum PlatformValue {
    /// Complete configuration at some sequence.
    Base(Config),
    /// Text of a release note.
    Note(Sequence, Arc<[u8]>),
    /// List of VMs.
    Vms(VmList),
    /// The platform has no list of VMs.
    NoVms,
    /// Drain orders.
    Drains(Vec<DrainOrder>),
}
