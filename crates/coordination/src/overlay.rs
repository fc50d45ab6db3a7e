//! Positions of nodes in the tree of their failure domain.

use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    name::{DomainName, VmName},
    vm::{VmEntry, VmList, VmState},
};

/// Children of one node of the tree.
pub(crate) const FAN_OUT: usize = 8;
/// Nodes of a failure domain that read the platform.
pub(crate) const RELAYS_PER_DOMAIN: usize = 2;

/// The nodes of all failure domains in the order of their rendezvous hash.
///
/// Nodes with the same list of VMs compute the same overlay.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    ranked: BTreeMap<DomainName, Vec<Arc<VmEntry>>>,
}

impl Overlay {
    /// Returns the overlay of a list of VMs.
    #[must_use]
    pub fn new(list: &VmList) -> Self {
        let mut ranked: BTreeMap<DomainName, Vec<Arc<VmEntry>>> = BTreeMap::new();
        for entry in &list.vms {
            let nodes = ranked.entry(entry.domain.clone()).or_default();
            nodes.push(Arc::clone(entry));
        }
        for nodes in ranked.values_mut() {
            nodes.sort_by_cached_key(|entry| {
                (
                    entry.state == VmState::Leaving,
                    rank(entry),
                    entry.vm.clone(),
                )
            });
        }
        Self { ranked }
    }

    /// Returns the nodes of a failure domain by position.
    #[must_use]
    pub fn nodes(&self, domain: &DomainName) -> &[Arc<VmEntry>] {
        self.ranked.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the position of a node; one that the list does not name comes last.
    #[must_use]
    pub fn position(&self, domain: &DomainName, vm: &VmName) -> usize {
        let nodes = self.nodes(domain);
        let position = nodes.iter().position(|entry| entry.vm == *vm);
        position.unwrap_or(nodes.len())
    }

    /// Returns the nodes that a node takes as parent, the best one first.
    #[must_use]
    pub fn parents(&self, domain: &DomainName, vm: &VmName) -> Arc<[Arc<VmEntry>]> {
        let nodes = self.nodes(domain);
        let order = parent_positions(self.position(domain, vm));
        order.iter().map(|at| Arc::clone(&nodes[*at])).collect()
    }

    /// Iterates over the failure domains and their nodes.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, &[Arc<VmEntry>])> {
        self.ranked
            .iter()
            .map(|(domain, nodes)| (domain, nodes.as_slice()))
    }

    /// Returns the count of all nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranked.values().map(Vec::len).sum()
    }

    /// Returns whether the list names no node.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }
}

/// Returns the positions that a node takes as parent, the best one first: its
/// ancestors, the siblings of its parent, then all other lower positions.
#[must_use]
pub fn parent_positions(position: usize) -> Vec<usize> {
    let mut order = Vec::new();
    let mut at = position;
    while at > 0 {
        at = (at - 1) / FAN_OUT;
        order.push(at);
    }
    let Some(&parent) = order.first() else {
        return order;
    };
    if parent > 0 {
        let first = (parent - 1) / FAN_OUT * FAN_OUT + 1;
        let siblings = (0..FAN_OUT).map(|i| first + (position + i) % FAN_OUT);
        order.extend(siblings.filter(|&at| at != parent && at < position));
    }
    let rest: Vec<_> = (0..position).filter(|at| !order.contains(at)).collect();
    order.extend(rest);
    order
}

fn rank(entry: &VmEntry) -> u64 {
    let seed = xxh3_64_with_seed(entry.domain.as_str().as_bytes(), 0);
    xxh3_64_with_seed(entry.vm.as_str().as_bytes(), seed)
}
