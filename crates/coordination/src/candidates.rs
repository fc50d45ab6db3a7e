//! Upstreams of each service that are eligible for new calls.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
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

/// Maximum number of upstreams of a service in other failure domains among which one node
/// distributes its calls.
///
/// Each node prefers others, so that all upstreams get calls. With few choices a node sends each of
/// them enough calls to know its load, and the connections between nodes grow with the fleet, not
/// with its square.
pub(crate) const MAX_REMOTE_CHOICES: usize = 24;

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

    /// Returns the given candidates of one service.
    #[cfg(test)]
    pub(crate) fn of_service(service: ServiceName, candidates: Vec<Candidate>) -> Self {
        Self {
            services: HashMap::from([(service, candidates)]),
            addresses: HashMap::new(),
        }
    }

    /// Orders the candidates of each service by the preference of the node on `vm`: those in its
    /// failure domain first, each group by a hash of both VM names, so that the nodes of a large
    /// fleet do not all prefer the same upstreams.
    #[must_use]
    pub fn ordered_for(mut self, vm: &VmName, domain: &DomainName) -> Self {
        let seed = xxh3_64(vm.as_str().as_bytes());
        for candidates in self.services.values_mut() {
            candidates.sort_by_cached_key(|candidate| {
                let name = candidate.upstream.vm.as_str();
                let hash = xxh3_64_with_seed(name.as_bytes(), seed);
                (candidate.upstream.domain != *domain, hash)
            });
        }
        self
    }

    /// Returns the candidates of a service in order of preference.
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

    /// Returns the addresses of at most `limit` sidecars to which a node keeps connections open:
    /// those of all services in its failure domain first, then those among which it distributes
    /// calls to other failure domains. The candidates must be ordered for the node.
    #[must_use]
    pub fn neighbours(&self, domain: &DomainName, limit: usize) -> Vec<SocketAddr> {
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for candidates in self.services.values() {
            let first_remote = candidates.partition_point(|c| c.upstream.domain == *domain);
            let (near, far) = candidates.split_at(first_remote);
            local.extend(near.iter().map(|c| c.address));
            remote.extend(far.iter().take(MAX_REMOTE_CHOICES).map(|c| c.address));
        }
        local.extend(remote);
        let mut seen = HashSet::new();
        local.retain(|address| seen.insert(*address));
        local.truncate(limit);
        local
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
