//! What a node reports to operators, as JSON of its admin interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    drain::DrainOrder,
    name::{DomainName, RegionName, VmName},
    sequence::Sequence,
    vm::Incarnation,
};

/// What a node reports of itself and of the fleet that it hears of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// VM of the node.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Process on the VM.
    pub incarnation: Incarnation,
    /// Phase of the node's life cycle.
    pub phase: String,
    /// Sequence in force.
    pub note: Sequence,
    /// Hash of the configuration in force, in hexadecimal.
    pub digest: String,
    /// Time since the last answer of the platform in milliseconds, if there was one.
    #[serde(default)]
    pub age_ms: Option<u64>,
    /// Highest sequence that the node has heard of.
    #[serde(default)]
    pub highest: Sequence,
    /// Why the node takes no work, if it takes none.
    #[serde(default)]
    pub waiting: Option<String>,
    /// Whether the node reads the platform for others.
    #[serde(default)]
    pub relay: bool,
    /// VMs to which the node has links.
    #[serde(default)]
    pub peers: Vec<VmName>,
    /// Nodes of each failure domain, as far as this node heard of them.
    #[serde(default)]
    pub fleet: BTreeMap<DomainName, DomainReport>,
    /// Refused notes, newest last.
    #[serde(default)]
    pub refused: Vec<RefusedReport>,
    /// Newest order of each scope.
    #[serde(default)]
    pub orders: Vec<DrainOrder>,
}

/// What is in force on the nodes of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainReport {
    /// Nodes that the platform lists in the failure domain.
    pub nodes: u32,
    /// Nodes that were heard of lately.
    pub heard: u32,
    /// How many nodes have which sequence in force.
    pub notes: BTreeMap<Sequence, u32>,
    /// Nodes that are known to be behind, the furthest first.
    #[serde(default)]
    pub laggards: Vec<LaggardReport>,
}

/// A node that is behind, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggardReport {
    /// VM of the node.
    pub vm: VmName,
    /// Sequence in force on it when it was last heard.
    pub note: Sequence,
    /// Why it is behind, as far as the reporting node can tell.
    pub reason: String,
}

/// A note that was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedReport {
    /// Sequence that the note used up.
    pub note: Sequence,
    /// Rule that the note breaks.
    pub reason: String,
}

/// What became of one note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoteReport {
    /// Sequence of the note.
    pub note: Sequence,
    /// Verdict of the reporting node.
    pub verdict: NoteVerdict,
    /// Why the note is refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Spread of the note over the failure domains.
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
    /// The note is folded into the configuration; its verdict is no longer kept.
    Folded,
    /// The node has not seen the note, or waits for one before it.
    Pending,
}

/// On how many nodes of a failure domain a note is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadReport {
    /// Nodes that the platform lists in the failure domain.
    pub nodes: u32,
    /// Nodes that were heard of lately.
    pub heard: u32,
    /// Nodes on which the note or a later one is in force.
    pub reached: u32,
    /// Nodes that are known to be behind, the furthest first.
    #[serde(default)]
    pub laggards: Vec<LaggardReport>,
}
