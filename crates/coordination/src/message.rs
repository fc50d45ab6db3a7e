//! Messages between replicas on a link.

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

/// Message from one replica to a neighbour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message in each direction; sent again after the sender's process was paused.
    Hello(Hello),
    /// Periodic state of the sender; the receiver uses it to repair lost messages.
    Digest(Digest),
    /// Versions of the sender after a change; the receiver may pull the missing notes.
    Announce(Versions),
    /// Release notes in order of their sequence.
    Notes(Vec<(Sequence, Arc<[u8]>)>),
    /// Part of a snapshot of the configuration.
    Snapshot(SnapshotPart),
    /// Complete list of VMs.
    Vms(Arc<VmList>),
    /// Drain orders.
    Drains(Vec<DrainOrder>),
    /// Short-lived reports.
    Reports(Vec<SoftReport>),
    /// Counts of nodes by sequence in force, for each failure domain.
    Fleet(Vec<TreeReport>),
    /// Request for all notes after the given sequence.
    Pull(Sequence),
}

/// Identity and state of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// VM of the sender.
    pub vm: VmName,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// State of the sender.
    pub digest: Digest,
}

/// Compact state of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Versions of the state of the sender.
    pub have: Versions,
    /// Hash of the configuration in force.
    pub config: u32,
    /// Whether the sender accepts requests.
    pub serving: bool,
    /// Whether the sender reads the platform on behalf of its failure domain.
    pub relay: bool,
    /// Whether the sender wants the receiver to push new notes to it.
    pub push: bool,
    /// Newest known contacts with the platform, of this or any other replica.
    pub contacts: Vec<Contact>,
    /// Summary of the sender and all nodes below it in the tree; only sent to its parent.
    pub subtree: Option<Summary>,
}

/// Versions of the state of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Sequence in force.
    pub sequence: Sequence,
    /// Highest sequence known to the replica.
    pub highest: Sequence,
    /// Version number of the list of VMs.
    pub vms: u64,
    /// Hash of the drain orders.
    pub drains: u64,
}

/// Last successful read of the platform by one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Position of the reader in the tree of its failure domain.
    pub position: u32,
    /// VM of the reader.
    pub vm: VmName,
    /// Time since the platform answered, in milliseconds.
    pub age_ms: u32,
}

/// Part of a configuration snapshot, which is compressed JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Sequence of the configuration.
    pub sequence: Sequence,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Bytes of the part.
    pub bytes: Arc<[u8]>,
}
