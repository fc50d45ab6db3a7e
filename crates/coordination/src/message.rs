//! Messages that replicas exchange on a link.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    drain::DrainOrder,
    fleet::{Summary, TreeReport},
    name::{DomainName, VmName},
    sequence::Sequence,
    soft_report::SoftReport,
    vm::{Incarnation, VmList},
};

/// Message of one replica to a neighbour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message in each direction; repeated after a pause of the sender.
    Hello(Hello),
    /// Periodic state of the sender, from which loss is repaired.
    Digest(Digest),
    /// Short state of the sender after a change, which the receiver may pull.
    Announce(Versions),
    /// Notes in order of their sequence.
    Notes(Vec<(Sequence, Arc<[u8]>)>),
    /// One part of a whole configuration.
    Snapshot(SnapshotPart),
    /// Whole list of VMs.
    Vms(Arc<VmList>),
    /// Drain orders.
    Drains(Vec<DrainOrder>),
    /// Reports that are kept for a while only.
    Reports(Vec<SoftReport>),
    /// What runs where, for each failure domain.
    Fleet(Vec<TreeReport>),
    /// Request for all notes after a sequence.
    Pull(Sequence),
}

/// Identity of a replica and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// VM of the sender.
    pub vm: VmName,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Process of the sender.
    pub incarnation: Incarnation,
    /// State of the sender.
    pub digest: Digest,
}

/// State of a replica in a few bytes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// What the sender has.
    pub have: Versions,
    /// Hash of the configuration in force.
    pub config: u32,
    /// Whether the sender takes work.
    pub serving: bool,
    /// Whether the sender reads the platform on behalf of its failure domain.
    pub relay: bool,
    /// Whether the receiver pushes notes to the sender unasked.
    pub push: bool,
    /// Newest contacts of any replica with the platform.
    pub contacts: Vec<Contact>,
    /// What runs on the sender and below it; only towards its parent.
    pub subtree: Option<Summary>,
}

/// Versions that a replica has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Sequence in force.
    pub sequence: Sequence,
    /// Highest sequence that the replica has heard of.
    pub highest: Sequence,
    /// Number of the list of VMs.
    pub vms: u64,
    /// Hash of the drain orders.
    pub drains: u64,
}

/// Last contact of one replica with the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Position of the reader in its failure domain.
    pub position: u32,
    /// VM of the reader.
    pub vm: VmName,
    /// Time in milliseconds since the platform answered.
    pub age_ms: u32,
}

/// Part of the compressed JSON text of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Sequence of the configuration.
    pub sequence: Sequence,
    /// Number of the part, counted from 0.
    pub index: u32,
    /// Count of the parts.
    pub parts: u32,
    /// Bytes of the part.
    pub bytes: Arc<[u8]>,
}
