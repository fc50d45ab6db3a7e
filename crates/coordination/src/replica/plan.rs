//! Which links a replica opens and closes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{
    LinkId, Output, Replica, ReplicaEvent,
    dial::{DialState, HEDGE},
    link::Link,
};
use crate::{
    name::{DomainName, VmName},
    overlay::{FAN_OUT, RELAYS_PER_DOMAIN},
    vm::VmEntry,
};

/// Silence after which a link is given up.
const SILENCE: Duration = Duration::from_millis(2_200);
/// Time in which a neighbour has to say hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Age after which a link that is no longer wanted is closed.
const SURPLUS_AGE: Duration = Duration::from_secs(2);
/// Time between two looks for children that are not linked.
const CHILDREN_EVERY: Duration = Duration::from_secs(3);
/// Positions that link to other failure domains at most.
const MAX_ACROSS: usize = 4;
/// Attempts that a joining node has under way at once.
const ASKED_AT_ONCE: usize = 4;
/// Links and attempts that a walk over candidates found.
#[derive(Default)]
struct Walk {
    links: Vec<LinkId>,
    pending: usize,
}

impl Replica {
    /// Takes in that a link came up; `address` is what was dialled, if it was.
    pub fn handle_link_up(&mut self, id: LinkId, address: Option<SocketAddr>, now: Instant) {
        self.links.insert(id, Link::new(address, now));
        if let Some(address) = address {
            self.dials.linked(address, id, now);
        }
        self.send_hello(id, now);
    }

    /// Takes in that an address could not be reached.
    pub fn handle_dial_failure(&mut self, address: SocketAddr, now: Instant, rng: &mut impl Rng) {
        self.dials.failed(address, now, rng);
        let vm = self.vm_at(address);
        if let Some(vm) = vm.filter(|vm| self.link_to(vm).is_none()) {
            self.event(ReplicaEvent::Unreachable(vm));
        }
        self.plan_links(now, rng);
    }

    /// Takes in that a link ended.
    pub fn handle_link_down(&mut self, id: LinkId, now: Instant, rng: &mut impl Rng) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.uplinks.retain(|up| *up != id);
        if let Some(address) = link.address {
            self.dials.failed(address, now, rng);
        }
        self.report_down(link);
        self.plan_links(now, rng);
    }

    pub(super) fn drop_silent(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_silent = |link: &Link| {
            let silence = now.saturating_duration_since(link.heard);
            let limit = if link.peer.is_some() {
                SILENCE
            } else {
                HELLO_TIMEOUT
            };
            silence > limit
        };
        let silent = self.links.iter().filter(|(_, link)| is_silent(link));
        let silent: Vec<_> = silent.map(|(id, _)| *id).collect();
        for id in silent {
            self.outputs.push(Output::Close(id));
            self.handle_link_down(id, now, rng);
        }
    }

    /// Closes a link on purpose.
    pub(super) fn close(&mut self, id: LinkId, now: Instant) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.uplinks.retain(|up| *up != id);
        if let Some(address) = link.address {
            self.dials.released(address, now);
        }
        self.outputs.push(Output::Close(id));
        self.report_down(link);
    }

    fn report_down(&mut self, link: Link) {
        let Some(peer) = link.peer else { return };
        if self.link_to(&peer.vm).is_none() {
            self.event(ReplicaEvent::LinkDown(peer.vm));
        }
    }

    pub(super) fn plan_links(&mut self, now: Instant, rng: &mut impl Rng) {
        let mut wanted = BTreeSet::new();
        if self.overlay.is_empty() {
            self.plan_seeds(&mut wanted, now, rng);
        } else {
            self.plan_parents(&mut wanted, now);
            if !self.is_serving && self.uplinks.is_empty() {
                self.plan_questions(&mut wanted, now);
            }
            self.plan_children(&mut wanted, now, rng);
            self.check_dead(now);
            let position = self.effective_position();
            if position < RELAYS_PER_DOMAIN || (self.is_relay() && position < MAX_ACROSS) {
                self.plan_across(&mut wanted, now);
            }
        }
        self.update_push(now);
        self.close_surplus(&wanted, now);
    }

    fn plan_seeds(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant, _rng: &mut impl Rng) {
        let seeds = self.me.seeds.clone();
        let mut uplinks = Vec::new();
        for seed in seeds {
            match self.dials.state(seed, now) {
                DialState::Ready => self.dial(seed, now),
                DialState::Linked(id) => uplinks.push(id),
                _ => {}
            }
        }
        wanted.extend(uplinks.iter().copied());
        uplinks.retain(|id| self.has_hello(*id));
        self.uplinks = uplinks;
    }

    fn plan_parents(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant) {
        let candidates = Arc::clone(&self.parents);
        let count = if self.is_platform_fresh() { 1 } else { 2 };
        let walk = self.walk(&candidates, count, now);
        wanted.extend(walk.links.iter().copied());
        self.uplinks = walk.links;
    }

    fn plan_questions(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant) {
        let nodes = self.overlay.nodes(&self.me.domain).to_vec();
        for entry in nodes {
            if entry.vm == self.me.vm || self.has_near_serving() {
                continue;
            }
            if let Some(id) = self.link_to(&entry.vm) {
                wanted.insert(id);
                continue;
            }
            if self.dials.pending(now) < ASKED_AT_ONCE {
                self.dial_if_ready(entry.address, now);
            }
        }
        let ids: Vec<_> = self.links.keys().copied().collect();
        wanted.extend(ids);
    }

    /// Dials the lower positions again whose death makes this node a relay.
    fn check_dead(&mut self, now: Instant) {
        let position = self.overlay.position(&self.me.domain, &self.me.vm);
        if position < RELAYS_PER_DOMAIN || self.effective_position() >= RELAYS_PER_DOMAIN {
            return;
        }
        let lower = &self.overlay.nodes(&self.me.domain)[..position];
        let dead = lower.iter().filter(|entry| self.is_dead(entry));
        let dead: Vec<_> = dead.map(|entry| entry.address).collect();
        for address in dead {
            self.dial_if_ready(address, now);
        }
    }

    /// Looks for listed children that are not linked, as they may not know whom to dial.
    fn plan_children(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant, rng: &mut impl Rng) {
        let is_due = self.children_due <= now;
        if is_due {
            self.children_due = now + CHILDREN_EVERY.mul_f64(rng.random_range(0.7..1.3));
        }
        let position = self.overlay.position(&self.me.domain, &self.me.vm);
        let nodes = self.overlay.nodes(&self.me.domain);
        let first = (position * FAN_OUT + 1).min(nodes.len());
        let last = (first + FAN_OUT).min(nodes.len());
        let children = nodes[first..last].to_vec();
        for child in children {
            match self.link_to(&child.vm) {
                Some(id) => drop(wanted.insert(id)),
                None if is_due => self.dial_if_ready(child.address, now),
                None => {}
            }
        }
    }

    fn plan_across(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant) {
        let domains: Vec<_> = self
            .overlay
            .domains()
            .filter(|(domain, _)| **domain != self.me.domain)
            .map(|(domain, nodes)| (domain.clone(), nodes.to_vec()))
            .collect();
        let shift = self.effective_position() % RELAYS_PER_DOMAIN;
        for (domain, mut nodes) in domains {
            if let Some(id) = self.link_across(&domain, true, now) {
                wanted.insert(id);
                continue;
            }
            if shift < nodes.len() {
                nodes[..=shift].rotate_right(1);
            }
            let walk = self.walk(&nodes, 1, now);
            if walk.links.is_empty() {
                wanted.extend(self.link_across(&domain, false, now));
            }
            wanted.extend(walk.links);
        }
    }

    /// Walks candidates in order until enough are linked or being dialled.
    fn walk(&mut self, candidates: &[Arc<VmEntry>], count: usize, now: Instant) -> Walk {
        let mut walk = Walk::default();
        for entry in candidates {
            if walk.links.len() + walk.pending >= count {
                break;
            }
            if entry.vm == self.me.vm {
                continue;
            }
            if let Some(id) = self.link_to(&entry.vm) {
                if !self.links[&id].is_stale(now) {
                    walk.links.push(id);
                }
                continue;
            }
            match self.dials.state(entry.address, now) {
                DialState::Ready => {
                    self.dial(entry.address, now);
                    walk.pending += 1;
                }
                DialState::Pending => walk.pending += 1,
                DialState::Linked(id) if self.awaits_hello(id, now) => walk.pending += 1,
                DialState::Linked(_) | DialState::Slow | DialState::Waiting => {}
            }
        }
        walk
    }

    /// Asks for pushes from the nearest uplink only.
    fn update_push(&mut self, now: Instant) {
        let is_reader = self.is_relay() && self.readers.is_fresh(&self.me.vm, now);
        let first = self.uplinks.first().copied();
        let first = first.filter(|_| !is_reader && self.policy.relay);
        let mut changed = Vec::new();
        for (id, link) in &mut self.links {
            let push = Some(*id) == first;
            if link.push != push {
                link.push = push;
                changed.push(*id);
            }
        }
        for id in changed {
            if self.has_hello(id) {
                self.send_digest(id, now);
            }
        }
    }

    fn close_surplus(&mut self, wanted: &BTreeSet<LinkId>, now: Instant) {
        let surplus = self.links.iter().filter(|(id, link)| {
            let age = now.saturating_duration_since(link.opened);
            let is_used = link.peer.as_ref().is_some_and(|peer| peer.digest.push);
            link.address.is_some() && !wanted.contains(id) && !is_used && age > SURPLUS_AGE
        });
        let surplus: Vec<_> = surplus.map(|(id, _)| *id).collect();
        for id in surplus {
            self.close(id, now);
        }
    }

    fn dial_if_ready(&mut self, address: SocketAddr, now: Instant) {
        if self.dials.state(address, now) == DialState::Ready {
            self.dial(address, now);
        }
    }

    fn dial(&mut self, address: SocketAddr, now: Instant) {
        self.dials.begin(address, now);
        self.outputs.push(Output::Dial(address));
    }

    /// Returns the position among the nodes that are not known to be dead.
    pub(super) fn effective_position(&self) -> usize {
        let position = self.overlay.position(&self.me.domain, &self.me.vm);
        let lower = &self.overlay.nodes(&self.me.domain)[..position];
        lower.iter().filter(|entry| !self.is_dead(entry)).count()
    }

    fn is_dead(&self, entry: &VmEntry) -> bool {
        self.dials.has_failed(entry.address) && self.link_to(&entry.vm).is_none()
    }

    /// Returns the link to a VM that has said hello.
    pub(super) fn link_to(&self, vm: &VmName) -> Option<LinkId> {
        let is_to = |link: &Link| link.peer.as_ref().is_some_and(|peer| peer.vm == *vm);
        let mut links = self.links.iter();
        links.find(|(_, link)| is_to(link)).map(|(id, _)| *id)
    }

    /// Returns a link to another failure domain, to one of its relays if asked for.
    fn link_across(&self, domain: &DomainName, is_relay: bool, now: Instant) -> Option<LinkId> {
        let is_to = |link: &Link| {
            let peer = link.peer.as_ref();
            let peer = peer.filter(|peer| peer.domain == *domain && !link.is_stale(now));
            peer.is_some_and(|peer| peer.digest.relay || !is_relay)
        };
        let mut links = self.links.iter();
        links.find(|(_, link)| is_to(link)).map(|(id, _)| *id)
    }

    fn vm_at(&self, address: SocketAddr) -> Option<VmName> {
        let mut vms = self.vms.vms.iter();
        vms.find(|entry| entry.address == address)
            .map(|entry| entry.vm.clone())
    }

    fn has_hello(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.peer.is_some())
    }

    /// Returns whether a neighbour may still be about to say hello.
    fn awaits_hello(&self, id: LinkId, now: Instant) -> bool {
        self.links.get(&id).is_some_and(|link| {
            let age = now.saturating_duration_since(link.opened);
            link.peer.is_none() && age < HEDGE
        })
    }

    fn has_near_serving(&self) -> bool {
        self.links.values().any(|link| {
            let peer = link.peer.as_ref();
            peer.is_some_and(|peer| peer.digest.serving && peer.domain == self.me.domain)
        })
    }
}
