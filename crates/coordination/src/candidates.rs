//! Upstreams of each service that are eligible for new calls.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    config::{Config, Upstream},
    drain::DrainList,
    name::{DomainName, ServiceName, VmName},
    vm::{VmEntry, VmList, VmState},
};

/// An upstream and the address of its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// Address on which the node of the VM accepts connections from other nodes.
    pub address: SocketAddr,
    /// Whether the platform lists the upstream. For an unlisted one, only the node on its VM knows
    /// whether it still serves.
    pub is_listed: bool,
}

/// Upstreams that are eligible for new calls, by service.
///
/// Excludes upstreams whose VM is not listed by the platform, is listed as leaving, or is drained
/// by an operator, either itself or through its failure domain.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    services: HashMap<ServiceName, Vec<Candidate>>,
    addresses: HashMap<VmName, SocketAddr>,
}

impl Candidates {
    /// Computes the candidates from a configuration, a list of VMs and the drain orders.
    #[must_use]
    pub fn new(config: &Config, vms: &VmList, drains: &DrainList) -> Self {
        let entries: HashMap<&VmName, &VmEntry> =
            vms.vms.iter().map(|entry| (&entry.vm, &**entry)).collect();
        let mut services: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
        let configured = config.upstreams.values().cloned();
        let listed_upstreams = vms.vms.iter().flat_map(|entry| entry.listed_upstreams());
        for upstream in configured.chain(listed_upstreams) {
            let Some(entry) = entries.get(&upstream.vm) else {
                continue;
            };
            if entry.state == VmState::Leaving || is_drained(&upstream, entry, drains) {
                continue;
            }
            let candidates = services.entry(upstream.service.clone()).or_default();
            let address = entry.address;
            candidates.push(Candidate {
                upstream,
                address,
                is_listed: entry.state != VmState::Unlisted,
            });
        }
        let addresses = entries
            .iter()
            .map(|(vm, entry)| ((*vm).clone(), entry.address));
        let addresses = addresses.collect();
        Self {
            services,
            addresses,
        }
    }

    /// Returns the candidates of a service, ordered by upstream name.
    #[must_use]
    pub fn for_service(&self, service: &ServiceName) -> &[Candidate] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the address of the node on a VM listed by the platform, whether or not it is
    /// drained.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.addresses.get(vm).copied()
    }

    /// Returns the addresses of at most `limit` sidecars to which the node on `vm` keeps
    /// connections open.
    ///
    /// Sidecars in the same failure domain come first. Within each group the order is a hash of
    /// both VM names, so that the nodes of a large fleet don't all select the same sidecars.
    #[must_use]
    pub fn neighbours(&self, vm: &VmName, domain: &DomainName, limit: usize) -> Vec<SocketAddr> {
        let seed = xxh3_64(vm.as_str().as_bytes());
        let rank = |candidate: &Candidate| {
            let name = candidate.upstream.vm.as_str();
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            (candidate.upstream.domain != *domain, hash)
        };
        let ranked = self.iter().map(|c| (rank(c), c.address));
        let ranked: BTreeSet<_> = ranked.collect();
        let mut addresses: Vec<SocketAddr> = ranked.into_iter().map(|(_, at)| at).collect();
        addresses.dedup();
        addresses.truncate(limit);
        addresses
    }

    /// Iterates over the candidates of all services in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.services.values().flatten()
    }
}

/// Returns whether a drain order applies to an upstream.
///
/// The release note and the platform may state different failure domains; an order for either one
/// applies.
fn is_drained(upstream: &Upstream, entry: &VmEntry, drains: &DrainList) -> bool {
    drains.is_drained(&upstream.vm, &upstream.domain)
        || drains.is_drained(&upstream.vm, &entry.domain)
}
