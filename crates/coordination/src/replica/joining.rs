//! When a replica begins to take work.

use std::{net::SocketAddr, time::Instant};

use super::{Replica, ReplicaEvent};
use crate::{
    join::{JoinInputs, JoinRule},
    name::DomainName,
    vm::VmEntry,
};

/// Nodes of each other failure domain that a joining node asks.
const ASKED_ACROSS: usize = 3;

impl Replica {
    pub(super) fn try_join(&mut self, now: Instant) {
        if self.is_serving {
            return;
        }
        let facts = self.join_facts(now);
        match self.join.decide(facts, now) {
            Ok(rule) => self.joined(rule),
            Err(wait) => self.wait = Some(wait),
        }
    }

    fn joined(&mut self, rule: JoinRule) {
        assert!(
            self.fold.sequence() >= self.highest,
            "a node must not serve behind what it has heard of"
        );
        self.is_serving = true;
        self.event(ReplicaEvent::Joined(rule));
        for link in self.links.values_mut() {
            link.digest_due = self.ticked;
        }
    }

    fn has_peer_in(&self, domain: &DomainName) -> bool {
        let mut peers = self.links.values().filter_map(|link| link.peer.as_ref());
        peers.any(|peer| peer.domain == *domain)
    }

    pub(super) fn join_facts(&self, now: Instant) -> JoinInputs {
        let peers: Vec<_> = self
            .links
            .values()
            .filter_map(|link| link.peer.as_ref())
            .collect();
        let is_near = |domain: &DomainName| *domain == self.me.domain;
        let serving = || peers.iter().filter(|peer| peer.digest.serving);
        JoinInputs {
            have: self.fold.sequence(),
            highest: self.highest,
            near_serving: serving().any(|peer| is_near(&peer.domain)),
            far_serving: serving().any(|peer| !is_near(&peer.domain)),
            has_peer: !peers.is_empty(),
            has_parent: !self.uplinks.is_empty() && !self.overlay.is_empty(),
            asked_all: self.has_asked_all(now),
            platform: self.platform_age(now).is_some(),
            only_node: self.is_only_node(),
            consistent_reads: self.policy.consistent_reads && !self.overlay.is_empty(),
        }
    }

    fn is_only_node(&self) -> bool {
        if self.overlay.is_empty() {
            return self.is_unlisted && self.me.seeds.is_empty();
        }
        let mut vms = self.vms.vms.iter();
        vms.all(|entry| entry.vm == self.me.vm)
    }

    fn has_asked_all(&self, _now: Instant) -> bool {
        if self.overlay.is_empty() {
            let mut seeds = self.me.seeds.iter();
            return self.is_unlisted && seeds.all(|seed| self.was_asked(*seed));
        }
        let nodes = self.overlay.nodes(&self.me.domain);
        let others = nodes.iter().filter(|entry| entry.vm != self.me.vm);
        let is_asked =
            |entry: &VmEntry| self.link_to(&entry.vm).is_some() || self.was_asked(entry.address);
        if !others.into_iter().all(|entry| is_asked(entry)) {
            return false;
        }
        let mut across = self.overlay.domains();
        across.all(|(domain, nodes)| {
            *domain == self.me.domain
                || self.has_peer_in(domain)
                || nodes.iter().take(ASKED_ACROSS).all(|entry| is_asked(entry))
        })
    }

    fn was_asked(&self, address: SocketAddr) -> bool {
        let link = self.links.values();
        let mut known = link.filter(|link| link.peer.is_some());
        self.dials.has_failed(address) || known.any(|link| link.address == Some(address))
    }
}
