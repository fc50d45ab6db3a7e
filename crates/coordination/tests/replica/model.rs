//! Nodes and platform of the simulation.

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
    /// When each sequence came into force in the present process.
    pub(crate) in_force: BTreeMap<Sequence, u64>,
    pub(crate) start: u64,
    pub(crate) mode: PlatformMode,
    pub(crate) highest_served: Sequence,
}

#[derive(Default)]
pub(crate) struct Platform {
    pub(crate) notes: Vec<Arc<[u8]>>,
    pub(crate) drains: Vec<DrainOrder>,
    pub(crate) vms: VmList,
    pub(crate) is_out: bool,
    /// Failure domains that can't reach the platform.
    pub(crate) cut: BTreeSet<DomainName>,
    /// Notes that a stale platform still shows.
    pub(crate) stale: Option<usize>,
    /// Reads in each second.
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
            start: 0,
            mode: PlatformMode::Off,
            highest_served: Sequence::ZERO,
        }
    }
}
