//! What an embedder passes to a replica.

use std::{net::SocketAddr, sync::Arc};

use crate::{
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
    /// Process on the VM.
    pub incarnation: Incarnation,
    /// Addresses of nodes to start from.
    pub seeds: Vec<SocketAddr>,
}

/// Mechanisms that experiments switch off.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaPolicy {
    /// Only relays read the platform.
    pub relay: bool,
    /// Notes travel as deltas.
    pub delta: bool,
    /// Digests repair loss.
    pub digest: bool,
    /// What the platform answers is never older than what was in force anywhere.
    pub consistent_reads: bool,
}

impl Default for ReplicaPolicy {
    fn default() -> Self {
        Self {
            relay: true,
            delta: true,
            digest: true,
            consistent_reads: false,
        }
    }
}

/// A value that was read from the platform.
#[derive(Clone, Debug)]
pub enum PlatformValue {
    /// Whole configuration at some sequence.
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
