//! Tree of the nodes of each failure domain, derived from the list of VMs.

use std::{collections::BTreeMap, sync::Arc};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    name::{DomainName, VmName},
    vm::{VmEntry, VmList, VmState},
};

/// Maximum number of children of a tree node.
pub(crate) const FAN_OUT: usize = 8;
/// Number of nodes of a failure domain that read the platform.
pub(crate) const RELAYS_PER_DOMAIN: usize = 2;

/// Nodes of all failure domains, ordered by rendezvous hash with leaving VMs last.
///
/// All nodes with the same list of VMs compute the same overlay.
#[derive(Clone, Debug, Default)]
pub struct Overlay {
    domain_nodes: BTreeMap<DomainName, Vec<Arc<VmEntry>>>,
}

impl Overlay {
    /// Returns the overlay for a list of VMs.
    #[must_use]
    pub fn new(list: &VmList) -> Self {
        let mut domain_nodes: BTreeMap<DomainName, Vec<Arc<VmEntry>>> = BTreeMap::new();
        for entry in &list.vms {
            let nodes = domain_nodes.entry(entry.domain.clone()).or_default();
            nodes.push(Arc::clone(entry));
        }
        for nodes in domain_nodes.values_mut() {
            nodes.sort_by_cached_key(|entry| {
                (
                    entry.state == VmState::Leaving,
                    rendezvous_hash(entry),
                    entry.vm.clone(),
                )
            });
        }
        Self { domain_nodes }
    }

    /// Returns the nodes of a failure domain in order of position.
    #[must_use]
    pub fn nodes(&self, domain: &DomainName) -> &[Arc<VmEntry>] {
        self.domain_nodes.get(domain).map_or(&[], Vec::as_slice)
    }

    /// Returns the position of a node; an unlisted node comes after all others.
    #[must_use]
    pub fn position(&self, domain: &DomainName, vm: &VmName) -> usize {
        let nodes = self.nodes(domain);
        let position = nodes.iter().position(|entry| entry.vm == *vm);
        position.unwrap_or(nodes.len())
    }

    /// Returns the candidate parents of a node in order of preference.
    #[must_use]
    pub fn parents(&self, domain: &DomainName, vm: &VmName) -> Arc<[Arc<VmEntry>]> {
        let nodes = self.nodes(domain);
        let order = parent_positions(self.position(domain, vm));
        order
            .iter()
            .map(|position| Arc::clone(&nodes[*position]))
            .collect()
    }

    /// Iterates over the failure domains and their nodes.
    pub fn domains(&self) -> impl Iterator<Item = (&DomainName, &[Arc<VmEntry>])> {
        self.domain_nodes
            .iter()
            .map(|(domain, nodes)| (domain, nodes.as_slice()))
    }

    /// Returns the number of nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.domain_nodes.values().map(Vec::len).sum()
    }

    /// Returns whether the list has no node.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domain_nodes.is_empty()
    }
}

/// Returns the positions of the candidate parents of a node in order of preference: its
/// ancestors, the siblings of its parent, then all other lower positions.
#[must_use]
pub fn parent_positions(position: usize) -> Vec<usize> {
    let mut order = Vec::new();
    let mut ancestor = position;
    while ancestor > 0 {
        ancestor = (ancestor - 1) / FAN_OUT;
        order.push(ancestor);
    }
    let Some(&parent) = order.first() else {
        return order;
    };
    if parent > 0 {
        let first = (parent - 1) / FAN_OUT * FAN_OUT + 1;
        let siblings = (0..FAN_OUT).map(|i| first + (position + i) % FAN_OUT);
        order.extend(siblings.filter(|&sibling| sibling != parent && sibling < position));
    }
    let rest: Vec<_> = (0..position)
        .filter(|other| !order.contains(other))
        .collect();
    order.extend(rest);
    order
}

fn rendezvous_hash(entry: &VmEntry) -> u64 {
    let seed = xxh3_64_with_seed(entry.domain.as_str().as_bytes(), 0);
    xxh3_64_with_seed(entry.vm.as_str().as_bytes(), seed)
}
