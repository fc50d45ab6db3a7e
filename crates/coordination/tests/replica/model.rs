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
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) notes: Vec<Arc<[u8]>>,
    pub(crate) drains: Vec<DrainOrder>,
    pub(crate) vms: VmList,
    pub(crate) is_down: bool,
    /// Failure domains that cannot reach the platform.
    pub(crate) blocked: BTreeSet<DomainName>,
    /// Number of notes that a stale platform returns; `None` if it is current.
    pub(crate) stale_notes: Option<usize>,
    /// Number of reads in each second.
    pub(crate) reads: BTreeMap<u64, u64>,
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
        }
    }
}
