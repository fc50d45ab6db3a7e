//! Upstreams of each service that may be given new work.

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
    /// Address on which the VM's node accepts other nodes.
    pub address: SocketAddr,
    /// Whether the platform lists the upstream; of others only the node beside them knows whether
    /// they still serve.
    pub is_listed: bool,
}

/// Upstreams that may be given new work, by service.
///
/// An upstream is left out when the platform does not list its VM or lists it as leaving,
/// and when an operator's order drains its VM or failure domain.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    services: HashMap<ServiceName, Vec<Candidate>>,
    addresses: HashMap<VmName, SocketAddr>,
}

impl Candidates {
    /// Returns the candidates of a configuration, list of VMs and drain orders.
    #[must_use]
    pub fn new(config: &Config, vms: &VmList, drains: &DrainList) -> Self {
        let entries: HashMap<&VmName, &VmEntry> =
            vms.vms.iter().map(|entry| (&entry.vm, &**entry)).collect();
        let mut services: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
        let noted = config.upstreams.values().cloned();
        let listed = vms.vms.iter().flat_map(|entry| entry.listed_upstreams());
        for upstream in noted.chain(listed) {
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

    /// Returns the candidates of a service, in the order of their upstreams' names.
    #[must_use]
    pub fn for_service(&self, service: &ServiceName) -> &[Candidate] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the address of the node on a VM that the platform lists, drained or not.
    #[must_use]
    pub fn address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.addresses.get(vm).copied()
    }

    /// Returns the addresses of the sidecars to which the node on `vm` keeps connections, at most
    /// `limit` of them: those of its own failure domain first, then others by a hash of both ends,
    /// so that the nodes of a large fleet don't all choose the same ones.
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

    /// Iterates over all candidates of all services, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.services.values().flatten()
    }
}

/// Both the note and the platform name a failure domain; an order for either one counts.
fn is_drained(upstream: &Upstream, entry: &VmEntry, drains: &DrainList) -> bool {
    drains.is_drained(&upstream.vm, &upstream.domain)
        || drains.is_drained(&upstream.vm, &entry.domain)
}
