//! Shards of organisations and their owners.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    name::{OrganisationName, VmName},
    vm::{VmEntry, VmList, VmState},
};

/// Number of shards; each node talks to as many shard owners at most.
pub const QUOTA_SHARDS: usize = 8;

/// Returns the shard of an organisation.
#[must_use]
pub fn quota_shard(organisation: &OrganisationName) -> usize {
    let hash = xxh3_64(organisation.as_str().as_bytes());
    #[allow(clippy::cast_possible_truncation)]
    let shard = (hash % QUOTA_SHARDS as u64) as usize;
    shard
}

/// What a node is to a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardRole {
    /// Whether the node is the shard owner.
    pub is_owner: bool,
    /// Share of the VMs that the platform no longer lists, if one of them would own the shard: it may
    /// still grant tokens to nodes that are cut off together with it.
    pub unlisted_share: f64,
}

/// Owner of each shard by a list of VMs. All nodes with the same list agree on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardOwners {
    owners: Vec<Option<VmName>>,
    first_of_all: Vec<Option<VmName>>,
    unlisted: usize,
    nodes: usize,
}

impl ShardOwners {
    /// Returns the owners for a list of VMs: by rendezvous hash the first that is not about to leave
    /// and that the platform lists, if there is one.
    #[must_use]
    pub fn new(list: &VmList) -> Self {
        let shards = 0..QUOTA_SHARDS as u64;
        let first = |shard: u64, state_rank: fn(VmState) -> u8| {
            let entries = list.vms.iter();
            let first = entries
                .min_by_key(|entry| (state_rank(entry.state), rank(entry, shard), &entry.vm));
            first.map(|entry| entry.vm.clone())
        };
        let is_unlisted = |entry: &&std::sync::Arc<VmEntry>| entry.state == VmState::Unlisted;
        Self {
            owners: shards.clone().map(|s| first(s, state_rank)).collect(),
            first_of_all: shards.map(|s| first(s, previous_state_rank)).collect(),
            unlisted: list.vms.iter().filter(is_unlisted).count(),
            nodes: list.vms.len(),
        }
    }

    /// Returns the number of VMs in the list.
    #[must_use]
    pub fn node_count(&self) -> usize {
        self.nodes
    }

    /// Returns the owner of a shard.
    #[must_use]
    pub fn owner(&self, shard: usize) -> Option<&VmName> {
        self.owners.get(shard)?.as_ref()
    }

    /// Returns what a node is to each shard.
    #[must_use]
    pub fn roles(&self, vm: &VmName) -> Vec<ShardRole> {
        #[allow(clippy::cast_precision_loss)]
        let unlisted_share = self.unlisted as f64 / self.nodes.max(1) as f64;
        let pairs = self.owners.iter().zip(&self.first_of_all);
        let role = |(owner, first): (&Option<VmName>, &Option<VmName>)| ShardRole {
            is_owner: owner.as_ref() == Some(vm),
            unlisted_share: if owner == first { 0.0 } else { unlisted_share },
        };
        pairs.map(role).collect()
    }
}

fn state_rank(state: VmState) -> u8 {
    match state {
        VmState::Live => 0,
        VmState::Unlisted => 1,
        VmState::Leaving => 2,
    }
}

/// Ranks VMs as before the platform stopped listing some of them.
fn previous_state_rank(state: VmState) -> u8 {
    match state {
        VmState::Live | VmState::Unlisted => 0,
        VmState::Leaving => 2,
    }
}

fn rank(entry: &VmEntry, shard: u64) -> u64 {
    xxh3_64_with_seed(entry.vm.as_str().as_bytes(), shard)
}
