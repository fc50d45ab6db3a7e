//! JSON reports of a node's admin interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    drain::DrainOrder,
    name::{DomainName, RegionName, VmName},
    sequence::Sequence,
    vm::Incarnation,
};

/// Status of a node and of the fleet as far as the node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// VM of the node.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Phase of the node's life cycle.
    pub phase: String,
    /// Sequence in force.
    pub note: Sequence,
    /// Hash of the configuration in force, in hexadecimal.
    pub digest: String,
    /// Time since the platform last answered, in milliseconds; `None` if it has not answered yet.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Highest sequence known to the node.
    #[serde(default)]
    pub highest: Sequence,
    /// Reason why the node accepts no work, if it accepts none.
    #[serde(default)]
    pub waiting: Option<String>,
    /// Whether the node reads the platform on behalf of other nodes.
    #[serde(default)]
    pub relay: bool,
    /// VMs of the nodes that the node is linked to.
    #[serde(default)]
    pub peers: Vec<VmName>,
    /// Known state of the nodes, by failure domain.
    #[serde(default)]
    pub fleet: BTreeMap<DomainName, DomainReport>,
    /// Refused notes, oldest first.
    #[serde(default)]
    pub refused: Vec<RefusedReport>,
    /// Newest drain order of each scope.
    #[serde(default)]
    pub orders: Vec<DrainOrder>,
}

/// Sequences in force on the nodes of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainReport {
    /// Number of nodes that the platform lists in the failure domain.
    pub nodes: u32,
    /// Number of nodes covered by recent reports.
    pub heard: u32,
    /// Number of nodes by sequence in force.
    pub notes: BTreeMap<Sequence, u32>,
    /// Nodes known to be behind, furthest first.
    #[serde(default)]
    pub laggards: Vec<LaggardReport>,
}

/// A node that is behind, and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggardReport {
    /// VM of the node.
    pub vm: VmName,
    /// Sequence in force on the node when it last reported.
    pub note: Sequence,
    /// Reason why the node is behind, as far as known to the reporting node.
    pub reason: String,
}

/// A note that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedReport {
    /// Sequence of the note.
    pub note: Sequence,
    /// Reason for the refusal.
    pub reason: String,
}

/// Verdict on one note and its spread over the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteReport {
    /// Sequence of the note.
    pub note: Sequence,
    /// Verdict of the reporting node.
    pub verdict: NoteVerdict,
    /// Reason for the refusal, if the note is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Spread of the note, by failure domain.
    pub fleet: BTreeMap<DomainName, SpreadReport>,
}

/// Verdict of a node on a note.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoteVerdict {
    /// The note is in force.
    Accepted,
    /// The note changed nothing.
    Refused,
    /// The note has been folded, but its verdict is no longer held.
    Folded,
    /// The node has not received the note, or an earlier note is missing.
    Pending,
}

/// Spread of a note over the nodes of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadReport {
    /// Number of nodes that the platform lists in the failure domain.
    pub nodes: u32,
    /// Number of nodes covered by recent reports.
    pub heard: u32,
    /// Number of nodes on which the note or a later one is in force.
    pub reached: u32,
    /// Nodes known to be behind, furthest first.
    #[serde(default)]
    pub laggards: Vec<LaggardReport>,
}
