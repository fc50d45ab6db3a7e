//! Inputs of the join decision, and its outcome.

use std::{net::SocketAddr, time::Instant};

use super::{Replica, ReplicaEvent};
use crate::{
    join::{JoinInputs, JoinRule},
    name::DomainName,
    vm::VmEntry,
};

/// Number of nodes of each other failure domain that must have answered or failed.
const QUERIED_PER_DOMAIN: usize = 3;

impl Replica {
    pub(super) fn try_join(&mut self, now: Instant) {
        if self.is_serving {
            return;
        }
        let inputs = self.join_inputs(now);
        match self.join.decide(inputs, now) {
            Ok(rule) => self.complete_join(rule),
            Err(wait) => self.join_wait = Some(wait),
        }
    }

    fn complete_join(&mut self, rule: JoinRule) {
        assert!(
            self.fold.sequence() >= self.highest,
            "a node must not serve while a higher sequence is known than the one in force"
        );
        self.is_serving = true;
        self.emit(ReplicaEvent::Joined(rule));
        for link in self.links.values_mut() {
            link.digest_due = self.last_tick;
        }
    }

    fn has_peer_in(&self, domain: &DomainName) -> bool {
        let mut peers = self.links.values().filter_map(|link| link.peer.as_ref());
        peers.any(|peer| peer.domain == *domain)
    }

    pub(super) fn join_inputs(&self, now: Instant) -> JoinInputs {
        let peers: Vec<_> = self
            .links
            .values()
            .filter_map(|link| link.peer.as_ref())
            .collect();
        let is_local = |domain: &DomainName| *domain == self.identity.domain;
        let serving = || peers.iter().filter(|peer| peer.digest.serving);
        JoinInputs {
            sequence: self.fold.sequence(),
            highest: self.highest,
            local_serving: serving().any(|peer| is_local(&peer.domain)),
            remote_serving: serving().any(|peer| !is_local(&peer.domain)),
            has_peer: !peers.is_empty(),
            has_parent: !self.uplinks.is_empty() && !self.overlay.is_empty(),
            queried_all: self.has_queried_all(now),
            platform_answered: self.platform_age(now).is_some(),
            only_node: self.is_only_node(),
            consistent_reads: self.policy.consistent_reads && !self.overlay.is_empty(),
        }
    }

    fn is_only_node(&self) -> bool {
        if self.overlay.is_empty() {
            return self.vms_missing && self.identity.seeds.is_empty();
        }
        let mut vms = self.vms.vms.iter();
        vms.all(|entry| entry.vm == self.identity.vm)
    }

    fn has_queried_all(&self, _now: Instant) -> bool {
        if self.overlay.is_empty() {
            let mut seeds = self.identity.seeds.iter();
            return self.vms_missing && seeds.all(|seed| self.was_queried(*seed));
        }
        let nodes = self.overlay.nodes(&self.identity.domain);
        let others = nodes.iter().filter(|entry| entry.vm != self.identity.vm);
        let is_queried =
            |entry: &VmEntry| self.link_to(&entry.vm).is_some() || self.was_queried(entry.address);
        if !others.into_iter().all(|entry| is_queried(entry)) {
            return false;
        }
        let mut domains = self.overlay.domains();
        domains.all(|(domain, nodes)| {
            *domain == self.identity.domain
                || self.has_peer_in(domain)
                || nodes
                    .iter()
                    .take(QUERIED_PER_DOMAIN)
                    .all(|entry| is_queried(entry))
        })
    }

    fn was_queried(&self, address: SocketAddr) -> bool {
        let link = self.links.values();
        let mut known = link.filter(|link| link.peer.is_some());
        self.dials.has_failed(address) || known.any(|link| link.address == Some(address))
    }
}
