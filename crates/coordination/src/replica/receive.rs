//! What a replica learns from a message of a neighbour.

use std::{sync::Arc, time::Instant};

use rand::Rng;

use super::{LinkId, Output, Replica, ReplicaEvent, link::Peer, snapshot};
use crate::{
    message::{Digest, Hello, Message, SnapshotPart, Versions},
    sequence::Sequence,
};

/// Parts of one snapshot that are kept at most.
const MAX_PARTS: u32 = 256;

impl Replica {
    /// Takes in a message of a neighbour.
    pub fn receive(&mut self, id: LinkId, message: Message, now: Instant, rng: &mut impl Rng) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.heard = now;
        if let Message::Hello(hello) = message {
            self.receive_hello(id, hello, now, rng);
            return;
        }
        if link.peer.is_none() {
            return;
        }
        match message {
            Message::Hello(_) => {}
            Message::Digest(digest) => self.receive_digest(id, digest, now),
            Message::Announce(have) => self.receive_announce(id, have, now),
            Message::Notes(notes) => self.receive_notes(id, notes, now),
            Message::Snapshot(part) => self.receive_part(id, part, now),
            Message::Vms(list) => {
                self.set_vms(&list, Some(id), now);
                self.plan_links(now, rng);
            }
            Message::Drains(orders) => self.merge_orders(&orders, Some(id), now),
            Message::Reports(reports) => self.merge_reports(&reports, Some(id), now),
            Message::Fleet(reports) => self.receive_fleet(id, &reports, now),
            Message::Pull(after) => self.push_after(id, after, now),
        }
    }

    fn receive_hello(&mut self, id: LinkId, hello: Hello, now: Instant, rng: &mut impl Rng) {
        let address = self.links.get(&id).and_then(|link| link.address);
        if hello.vm == self.me.vm {
            self.close(id, now);
            if let Some(address) = address {
                self.dials.own(address, now);
            }
            return;
        }
        if let Some(address) = address {
            self.dials.hello_received(address, now);
        }
        let is_known = self.link_to(&hello.vm).is_some();
        let is_again = self.links[&id].peer.is_some();
        let vm = hello.vm.clone();
        let incarnation = hello.incarnation;
        let digest = hello.digest;
        let peer = Peer {
            vm: hello.vm,
            domain: hello.domain,
            incarnation,
            digest: digest.clone(),
            behind: None,
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.sent = digest.have.sequence;
            link.peer = Some(peer);
        }
        if !is_known {
            self.event(ReplicaEvent::LinkUp(vm));
        }
        if !is_again && !self.keep_one_link(id, now) {
            return;
        }
        self.answer_hello(id, now);
        self.receive_digest(id, digest, now);
        self.plan_links(now, rng);
    }

    /// Closes the worse one of two links to one neighbour; returns whether `id` stays.
    fn keep_one_link(&mut self, id: LinkId, now: Instant) -> bool {
        let link = &self.links[&id];
        let Some(peer) = &link.peer else { return true };
        let twin = self.links.iter().find(|(other, twin)| {
            **other != id && twin.peer.as_ref().is_some_and(|p| p.vm == peer.vm)
        });
        let Some((twin_id, twin)) = twin.map(|(id, twin)| (*id, twin)) else {
            return true;
        };
        let Some(twin_peer) = &twin.peer else {
            return true;
        };
        if twin_peer.incarnation < peer.incarnation {
            self.close(twin_id, now);
            return true;
        }
        if twin_peer.incarnation > peer.incarnation {
            self.close(id, now);
            return false;
        }
        let dials_first = self.me.vm < peer.vm;
        let same_side = twin.address.is_some() == link.address.is_some();
        let is_kept = !same_side && link.address.is_some() == dials_first;
        self.close(if is_kept { twin_id } else { id }, now);
        is_kept
    }

    fn answer_hello(&mut self, id: LinkId, now: Instant) {
        let reports = self.reports.live(now);
        if !reports.is_empty() {
            self.send(id, Message::Reports(reports));
        }
        let fleet = self.fleet.reports(now);
        if !fleet.is_empty() {
            self.send(id, Message::Fleet(fleet));
        }
    }

    fn receive_digest(&mut self, id: LinkId, digest: Digest, now: Instant) {
        for contact in &digest.contacts {
            self.readers.insert(contact, now);
        }
        let have = digest.have;
        self.compare(id, &digest);
        self.raise_highest(have.highest.max(have.sequence), now);
        let highest = self.highest;
        let mine = self.have();
        let repairs = self.policy.digest;
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let is_first = link.pushed.is_none();
        if let Some(peer) = &mut link.peer {
            peer.digest = digest;
            peer.set_have(have, highest, now);
        }
        if !repairs && !is_first {
            return;
        }
        if have.sequence < link.sent && link.is_push_old(now) {
            link.sent = have.sequence;
        }
        self.repair_notes(id, have, now);
        self.repair_vms(id, have, mine, now);
        self.repair_drains(id, have, mine, now);
    }

    /// Checks that neighbours reach the same verdicts.
    fn compare(&mut self, id: LinkId, digest: &Digest) {
        let is_same_sequence = digest.have.sequence == self.fold.sequence();
        if is_same_sequence && digest.config != self.config_hash {
            let vm = self.peer_vm(id);
            self.outputs
                .extend(vm.map(|vm| Output::Event(ReplicaEvent::SplitVerdict(vm))));
        }
    }

    fn repair_notes(&mut self, id: LinkId, have: Versions, now: Instant) {
        let mine = self.fold.sequence();
        if have.sequence > mine {
            self.plan_pull(id, now);
            return;
        }
        let is_wanted = self.peer_wants_push(id);
        if have.sequence < mine && is_wanted {
            self.push_notes(id, now);
        }
    }

    fn receive_announce(&mut self, id: LinkId, have: Versions, now: Instant) {
        self.raise_highest(have.highest.max(have.sequence), now);
        let highest = self.highest;
        if let Some(peer) = self.links.get_mut(&id).and_then(|link| link.peer.as_mut()) {
            peer.set_have(have, highest, now);
        }
        if have.sequence > self.fold.sequence() {
            self.plan_pull(id, now);
        }
    }

    fn receive_notes(&mut self, id: LinkId, notes: Vec<(Sequence, Arc<[u8]>)>, now: Instant) {
        let Some(&(last, _)) = notes.last() else {
            return;
        };
        self.peer_has(id, last, now);
        let mut events = Vec::new();
        for (sequence, text) in notes {
            events.extend(self.fold.offer(sequence, text));
        }
        self.folded(events, Some(id), now);
        self.after_pull(id, now);
    }

    fn receive_part(&mut self, id: LinkId, part: SnapshotPart, now: Instant) {
        let sequence = part.sequence;
        self.raise_highest(sequence, now);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if part.index == 0 {
            link.parts.clear();
        }
        let is_next = part.index as usize == link.parts.len() && part.parts <= MAX_PARTS;
        let is_same = link.parts.iter().all(|p| p.sequence == sequence);
        if !is_next || !is_same {
            link.parts.clear();
            return;
        }
        let is_last = part.index + 1 >= part.parts;
        link.parts.push(part);
        if !is_last {
            return;
        }
        let parts = std::mem::take(&mut link.parts);
        self.peer_has(id, sequence, now);
        if sequence <= self.fold.sequence() {
            return;
        }
        let text: Vec<u8> = parts.iter().flat_map(|p| p.bytes.iter().copied()).collect();
        match snapshot::expand(&text) {
            Ok(config) => self.install(config, Some(id), now),
            Err(err) => {
                let vm = self.peer_vm(id);
                let reason = err.into();
                self.outputs
                    .extend(vm.map(|vm| Output::Event(ReplicaEvent::SnapshotRefused(vm, reason))));
            }
        }
        self.after_pull(id, now);
    }

    fn after_pull(&mut self, id: LinkId, now: Instant) {
        self.pulling_until = None;
        let have = self.links.get(&id).map(|link| link.have().sequence);
        if have.is_some_and(|have| have > self.fold.sequence()) || self.fold.gap().is_some() {
            self.plan_pull(id, now);
        }
    }

    fn peer_has(&mut self, id: LinkId, sequence: Sequence, now: Instant) {
        self.raise_highest(sequence, now);
        let highest = self.highest;
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.sent = link.sent.max(sequence);
        let Some(peer) = &mut link.peer else { return };
        let mut have = peer.digest.have;
        have.sequence = have.sequence.max(sequence);
        peer.set_have(have, highest, now);
    }
}
