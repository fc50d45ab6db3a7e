//! Decides which links a replica opens and closes.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{
    LinkId, Output, Replica, ReplicaEvent,
    dial::{DialState, HEDGE_DELAY},
    link::Link,
};
use crate::{
    name::{DomainName, VmName},
    overlay::{FAN_OUT, RELAYS_PER_DOMAIN},
    vm::VmEntry,
};

/// Time without a message after which a link is closed.
const LINK_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time limit for the hello of a neighbour.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum age of a link that is closed as unused.
const SURPLUS_LINK_AGE: Duration = Duration::from_secs(2);
/// Mean time between two checks for children without a link.
const CHILD_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// Number of positions that link to other failure domains while they read the platform.
const MAX_CROSS_DOMAIN_POSITIONS: usize = 4;
/// Maximum number of parallel dial attempts of a joining node.
const MAX_JOIN_DIALS: usize = 4;

/// Links and pending attempts to selected candidates.
#[derive(Default)]
struct Selection {
    links: Vec<LinkId>,
    pending: usize,
}

impl Replica {
    /// Handles a new link; `address` is `None` if the neighbour opened it.
    pub fn handle_link_up(&mut self, id: LinkId, address: Option<SocketAddr>, now: Instant) {
        self.links.insert(id, Link::new(address, now));
        if let Some(address) = address {
            self.dials.record_link(address, id, now);
        }
        self.send_hello(id, now);
    }

    /// Handles a failed dial attempt.
    pub fn handle_dial_failure(&mut self, address: SocketAddr, now: Instant, rng: &mut impl Rng) {
        self.dials.record_failure(address, now, rng);
        let vm = self.vm_at(address);
        if let Some(vm) = vm.filter(|vm| self.link_to(vm).is_none()) {
            self.emit(ReplicaEvent::Unreachable(vm));
        }
        self.plan_links(now, rng);
    }

    /// Handles a broken link.
    pub fn handle_link_down(&mut self, id: LinkId, now: Instant, rng: &mut impl Rng) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.uplinks.retain(|up| *up != id);
        if let Some(address) = link.address {
            self.dials.record_failure(address, now, rng);
        }
        self.emit_link_down(link);
        self.plan_links(now, rng);
    }

    pub(super) fn close_timed_out_links(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_timed_out = |link: &Link| {
            let idle = now.saturating_duration_since(link.last_received);
            let limit = if link.peer.is_some() {
                LINK_TIMEOUT
            } else {
                HELLO_TIMEOUT
            };
            idle > limit
        };
        let timed_out = self.links.iter().filter(|(_, link)| is_timed_out(link));
        let timed_out: Vec<_> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            self.outputs.push(Output::Close(id));
            self.handle_link_down(id, now, rng);
        }
    }

    /// Closes a link without counting it as failed.
    pub(super) fn close(&mut self, id: LinkId, now: Instant) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.uplinks.retain(|up| *up != id);
        if let Some(address) = link.address {
            self.dials.record_close(address, now);
        }
        self.outputs.push(Output::Close(id));
        self.emit_link_down(link);
    }

    fn emit_link_down(&mut self, link: Link) {
        let Some(peer) = link.peer else { return };
        if self.link_to(&peer.vm).is_none() {
            self.emit(ReplicaEvent::LinkDown(peer.vm));
        }
    }

    pub(super) fn plan_links(&mut self, now: Instant, rng: &mut impl Rng) {
        let mut wanted = BTreeSet::new();
        if self.overlay.is_empty() {
            self.plan_seeds(&mut wanted, now, rng);
        } else {
            self.plan_parents(&mut wanted, now);
            if !self.is_serving && self.uplinks.is_empty() {
                self.plan_join_queries(&mut wanted, now);
            }
            self.plan_children(&mut wanted, now, rng);
            self.redial_unreachable(now);
            let position = self.effective_position();
            if position < RELAYS_PER_DOMAIN
                || (self.is_relay() && position < MAX_CROSS_DOMAIN_POSITIONS)
            {
                self.plan_cross_domain(&mut wanted, now);
            }
        }
        self.update_push_requests(now);
        self.close_unused_links(&wanted, now);
    }

    fn plan_seeds(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant, _rng: &mut impl Rng) {
        let seeds = self.identity.seeds.clone();
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
        let count = if self.is_platform_suspect(now) { 2 } else { 1 };
        let selection = self.select_links(&candidates, count, now);
        wanted.extend(selection.links.iter().copied());
        self.uplinks = selection.links;
    }

    fn plan_join_queries(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant) {
        let nodes = self.overlay.nodes(&self.identity.domain).to_vec();
        for entry in nodes {
            if entry.vm == self.identity.vm || self.has_local_serving() {
                continue;
            }
            if let Some(id) = self.link_to(&entry.vm) {
                wanted.insert(id);
                continue;
            }
            if self.dials.pending_count(now) < MAX_JOIN_DIALS {
                self.dial_if_ready(entry.address, now);
            }
        }
        let ids: Vec<_> = self.links.keys().copied().collect();
        wanted.extend(ids);
    }

    /// Redials unreachable nodes at lower positions if this node is a relay only because of them.
    fn redial_unreachable(&mut self, now: Instant) {
        let position = self
            .overlay
            .position(&self.identity.domain, &self.identity.vm);
        if position < RELAYS_PER_DOMAIN || self.effective_position() >= RELAYS_PER_DOMAIN {
            return;
        }
        let lower = &self.overlay.nodes(&self.identity.domain)[..position];
        let unreachable = lower.iter().filter(|entry| self.is_unreachable(entry));
        let unreachable: Vec<_> = unreachable.map(|entry| entry.address).collect();
        for address in unreachable {
            self.dial_if_ready(address, now);
        }
    }

    /// Dials children without a link, as they may not know the address of their parent.
    fn plan_children(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant, rng: &mut impl Rng) {
        let is_due = self.children_due <= now;
        if is_due {
            self.children_due = now + CHILD_CHECK_INTERVAL.mul_f64(rng.random_range(0.7..1.3));
        }
        let position = self
            .overlay
            .position(&self.identity.domain, &self.identity.vm);
        let nodes = self.overlay.nodes(&self.identity.domain);
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

    fn plan_cross_domain(&mut self, wanted: &mut BTreeSet<LinkId>, now: Instant) {
        let domains: Vec<_> = self
            .overlay
            .domains()
            .filter(|(domain, _)| **domain != self.identity.domain)
            .map(|(domain, nodes)| (domain.clone(), nodes.to_vec()))
            .collect();
        let shift = self.effective_position() % RELAYS_PER_DOMAIN;
        for (domain, mut nodes) in domains {
            if let Some(id) = self.cross_domain_link(&domain, true, now) {
                wanted.insert(id);
                continue;
            }
            if shift < nodes.len() {
                nodes[..=shift].rotate_right(1);
            }
            let selection = self.select_links(&nodes, 1, now);
            if selection.links.is_empty() {
                wanted.extend(self.cross_domain_link(&domain, false, now));
            }
            wanted.extend(selection.links);
        }
    }

    /// Goes through candidates in order and dials them until `count` are linked or being dialled.
    fn select_links(
        &mut self,
        candidates: &[Arc<VmEntry>],
        count: usize,
        now: Instant,
    ) -> Selection {
        let mut selection = Selection::default();
        for entry in candidates {
            if selection.links.len() + selection.pending >= count {
                break;
            }
            if entry.vm == self.identity.vm {
                continue;
            }
            if let Some(id) = self.link_to(&entry.vm) {
                if !self.links[&id].is_lagging(now) {
                    selection.links.push(id);
                }
                continue;
            }
            match self.dials.state(entry.address, now) {
                DialState::Ready => {
                    self.dial(entry.address, now);
                    selection.pending += 1;
                }
                DialState::Pending => selection.pending += 1,
                DialState::Linked(id) if self.is_awaiting_hello(id, now) => selection.pending += 1,
                DialState::Linked(_) | DialState::Slow | DialState::BackingOff => {}
            }
        }
        selection
    }

    /// Returns the neighbour that has to push changes: the preferred uplink, or one that knows a
    /// newer answer of the platform if the uplink reports none; no neighbour if this node reads the
    /// platform.
    fn push_source(&self, now: Instant) -> Option<LinkId> {
        let is_reader = self.is_relay() && self.readers.is_fresh(&self.identity.vm, now);
        if is_reader || !self.policy.relay {
            return None;
        }
        let max_age = self.policy.timing.fresh_age();
        let contact = |id: &LinkId| {
            let link = self.links.get(id).filter(|link| link.peer.is_some())?;
            let at = link.contact_known?;
            (now.saturating_duration_since(at) < max_age).then_some(at)
        };
        let current = self.links.iter().find(|(_, link)| link.push_requested);
        let current = current.map(|(id, _)| *id);
        let preferred = self.uplinks.iter().copied().chain(current);
        let newest = || self.links.keys().copied().max_by_key(|id| contact(id));
        let mut fresh = preferred.filter(|id| contact(id).is_some());
        let source = fresh
            .next()
            .or_else(|| newest().filter(|id| contact(id).is_some()));
        source.or_else(|| self.uplinks.first().copied())
    }

    /// Requests pushes from one neighbour only.
    fn update_push_requests(&mut self, now: Instant) {
        let first = self.push_source(now);
        let mut changed = Vec::new();
        for (id, link) in &mut self.links {
            let push = Some(*id) == first;
            if link.push_requested != push {
                link.push_requested = push;
                changed.push(*id);
            }
        }
        for id in changed {
            if self.has_hello(id) {
                self.send_digest(id, now);
            }
        }
    }

    fn close_unused_links(&mut self, wanted: &BTreeSet<LinkId>, now: Instant) {
        let unused = self.links.iter().filter(|(id, link)| {
            let age = now.saturating_duration_since(link.opened);
            let is_used = link.peer.as_ref().is_some_and(|peer| peer.digest.push);
            link.address.is_some() && !wanted.contains(id) && !is_used && age > SURPLUS_LINK_AGE
        });
        let unused: Vec<_> = unused.map(|(id, _)| *id).collect();
        for id in unused {
            self.close(id, now);
        }
    }

    fn dial_if_ready(&mut self, address: SocketAddr, now: Instant) {
        if self.dials.state(address, now) == DialState::Ready {
            self.dial(address, now);
        }
    }

    fn dial(&mut self, address: SocketAddr, now: Instant) {
        self.dials.record_attempt(address, now);
        self.outputs.push(Output::Dial(address));
    }

    /// Returns the position of this node when unreachable nodes are left out.
    pub(super) fn effective_position(&self) -> usize {
        let position = self
            .overlay
            .position(&self.identity.domain, &self.identity.vm);
        let lower = &self.overlay.nodes(&self.identity.domain)[..position];
        lower
            .iter()
            .filter(|entry| !self.is_unreachable(entry))
            .count()
    }

    fn is_unreachable(&self, entry: &VmEntry) -> bool {
        self.dials.has_failed(entry.address) && self.link_to(&entry.vm).is_none()
    }

    /// Returns the link on which the hello of a VM arrived.
    pub(super) fn link_to(&self, vm: &VmName) -> Option<LinkId> {
        let is_match = |link: &Link| link.peer.as_ref().is_some_and(|peer| peer.vm == *vm);
        let mut links = self.links.iter();
        links.find(|(_, link)| is_match(link)).map(|(id, _)| *id)
    }

    /// Returns a link to another failure domain; only to one of its relays if `relay_only` is set.
    fn cross_domain_link(
        &self,
        domain: &DomainName,
        relay_only: bool,
        now: Instant,
    ) -> Option<LinkId> {
        let is_match = |link: &Link| {
            let peer = link.peer.as_ref();
            let peer = peer.filter(|peer| peer.domain == *domain && !link.is_lagging(now));
            peer.is_some_and(|peer| peer.digest.relay || !relay_only)
        };
        let mut links = self.links.iter();
        links.find(|(_, link)| is_match(link)).map(|(id, _)| *id)
    }

    fn vm_at(&self, address: SocketAddr) -> Option<VmName> {
        let mut vms = self.vms.vms.iter();
        vms.find(|entry| entry.address == address)
            .map(|entry| entry.vm.clone())
    }

    fn has_hello(&self, id: LinkId) -> bool {
        self.links.get(&id).is_some_and(|link| link.peer.is_some())
    }

    /// Returns whether the link is younger than `HEDGE_DELAY` and its hello has not arrived.
    fn is_awaiting_hello(&self, id: LinkId, now: Instant) -> bool {
        self.links.get(&id).is_some_and(|link| {
            let age = now.saturating_duration_since(link.opened);
            link.peer.is_none() && age < HEDGE_DELAY
        })
    }

    fn has_local_serving(&self) -> bool {
        self.links.values().any(|link| {
            let peer = link.peer.as_ref();
            peer.is_some_and(|peer| peer.digest.serving && peer.domain == self.identity.domain)
        })
    }
}
