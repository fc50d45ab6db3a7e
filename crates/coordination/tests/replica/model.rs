//! Simulated nodes and platform.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use wagtaillever_coordination::{
    DomainName, DrainOrder, JoinRule, PlatformMode, Replica, Sequence, VmEntry, VmList,
};

pub(crate) struct Node {
    pub(crate) entry: Arc<VmEntry>,
    pub(crate) replica: Option<Replica>,
    pub(crate) rule: Option<JoinRule>,
    pub(crate) paused_until: u64,
    pub(crate) refused: Vec<Sequence>,
    /// Time at which each sequence came into force in the current process.
    pub(crate) in_force: BTreeMap<Sequence, u64>,
    pub(crate) process: u64,
    pub(crate) mode: PlatformMode,
    /// Whether the current process has watched the platform.
    pub(crate) has_watched: bool,
    pub(crate) highest_served: Sequence,
    /// Time at which the platform last answered a read of the current process.
    pub(crate) answered_at: Option<u64>,
    /// Time before which a failed read is not repeated.
    pub(crate) retry_at: u64,
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) notes: Vec<Arc<[u8]>>,
    pub(crate) drains: Vec<DrainOrder>,
    pub(crate) vms: VmList,
    pub(crate) is_down: bool,
    /// Failure domains that cannot reach the platform.
    pub(crate) blocked: BTreeSet<DomainName>,
    /// Nodes that cannot reach the platform, with the time in milliseconds that a failed read takes.
    pub(crate) unreachable: BTreeMap<usize, u64>,
    /// Number of notes that a stale platform returns; `None` if it is current.
    pub(crate) stale_notes: Option<usize>,
    /// Number of reads in each second.
    pub(crate) reads: BTreeMap<u64, u64>,
    /// Number of probes in each second.
    pub(crate) probes: BTreeMap<u64, u64>,
}

impl Node {
    pub(crate) fn new(entry: &Arc<VmEntry>) -> Self {
        Self {
            entry: Arc::clone(entry),
            replica: None,
            rule: None,
            paused_until: 0,
            refused: Vec::new(),
            in_force: BTreeMap::new(),
            process: 0,
            mode: PlatformMode::Off,
            has_watched: false,
            highest_served: Sequence::ZERO,
            answered_at: None,
            retry_at: 0,
        }
    }
}
