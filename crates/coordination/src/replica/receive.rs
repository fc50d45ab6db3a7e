//! Handling of messages from neighbours.

use std::{sync::Arc, time::Instant};

use rand::Rng;

use super::{LinkId, Output, Replica, ReplicaEvent, link::Peer, snapshot};
use crate::{
    message::{Digest, Hello, Message, SnapshotPart, Versions},
    sequence::Sequence,
};

/// Maximum number of parts of a snapshot.
const MAX_SNAPSHOT_PARTS: u32 = 256;

impl Replica {
    /// Handles a message of a neighbour.
    pub fn receive(&mut self, id: LinkId, message: Message, now: Instant, rng: &mut impl Rng) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.last_received = now;
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
            Message::Announce(theirs) => self.receive_announce(id, theirs, now),
            Message::Notes(notes) => self.receive_notes(id, notes, now),
            Message::Snapshot(part) => self.receive_snapshot_part(id, part, now),
            Message::Vms(list) => {
                self.install_vms(&list, Some(id), now);
                self.plan_links(now, rng);
            }
            Message::Drains(orders) => {
                let origin = self.origin_of(Some(id));
                self.merge_orders(&orders, &origin, Some(id));
            }
            Message::Reports(reports) => self.merge_reports(&reports, Some(id), now),
            Message::Fleet(reports) => self.receive_fleet(id, &reports, now),
            Message::Pull(after) => self.send_notes_after(id, after, now),
        }
    }

    fn receive_hello(&mut self, id: LinkId, hello: Hello, now: Instant, rng: &mut impl Rng) {
        let address = self.links.get(&id).and_then(|link| link.address);
        if hello.vm == self.identity.vm {
            self.close(id, now);
            if let Some(address) = address {
                self.dials.mark_own(address, now);
            }
            return;
        }
        if let Some(address) = address {
            self.dials.record_hello(address, now);
        }
        let was_linked = self.link_to(&hello.vm).is_some();
        let is_repeated = self.links[&id].peer.is_some();
        let vm = hello.vm.clone();
        let incarnation = hello.incarnation;
        let digest = hello.digest;
        let peer = Peer {
            vm: hello.vm,
            domain: hello.domain,
            incarnation,
            digest: digest.clone(),
            behind_since: None,
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.sent = digest.have.sequence;
            link.peer = Some(peer);
        }
        if !was_linked {
            self.emit(ReplicaEvent::LinkUp(vm));
        }
        if !is_repeated && !self.resolve_duplicate_link(id, now) {
            return;
        }
        self.send_stored_reports(id, now);
        self.receive_digest(id, digest, now);
        self.plan_links(now, rng);
    }

    /// Closes one of two links to the same neighbour; returns whether `id` stays open.
    ///
    /// The link to the newer process stays. For the same process, both sides keep the link that the
    /// VM with the lower name dialled. If one side dialled both, the link already in use stays.
    fn resolve_duplicate_link(&mut self, id: LinkId, now: Instant) -> bool {
        let link = &self.links[&id];
        let Some(peer) = &link.peer else { return true };
        let duplicate = self.links.iter().find(|(other, duplicate)| {
            **other != id && duplicate.peer.as_ref().is_some_and(|p| p.vm == peer.vm)
        });
        let Some((duplicate_id, duplicate)) = duplicate.map(|(id, duplicate)| (*id, duplicate))
        else {
            return true;
        };
        let Some(duplicate_peer) = &duplicate.peer else {
            return true;
        };
        if duplicate_peer.incarnation < peer.incarnation {
            self.close(duplicate_id, now);
            return true;
        }
        if duplicate_peer.incarnation > peer.incarnation {
            self.close(id, now);
            return false;
        }
        let keeps_own_dial = self.identity.vm < peer.vm;
        let is_same_side = duplicate.address.is_some() == link.address.is_some();
        let is_kept = !is_same_side && link.address.is_some() == keeps_own_dial;
        self.close(if is_kept { duplicate_id } else { id }, now);
        is_kept
    }

    fn send_stored_reports(&mut self, id: LinkId, now: Instant) {
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
        let theirs = digest.have;
        self.compare_config(id, &digest);
        // A contact is passed on together with the sequence that its reader knew.
        self.raise_highest(theirs.highest.max(theirs.sequence), now);
        self.record_contacts(id, &digest, now);
        let highest = self.highest;
        let own = self.versions();
        let is_repairing = self.policy.digest;
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let is_first = link.last_push.is_none();
        if let Some(peer) = &mut link.peer {
            peer.digest = digest;
            peer.set_versions(theirs, highest, now);
        }
        if !is_repairing && !is_first {
            return;
        }
        if theirs.sequence < link.sent && link.may_push_again(now) {
            link.sent = theirs.sequence;
        }
        self.repair_notes(id, theirs, now);
        self.repair_vms(id, theirs, own, now);
        if theirs.vms > own.vms {
            self.schedule_list_pull(id, now);
        }
        self.repair_drains(id, theirs, own, now);
    }

    /// Records the answers of the platform that a neighbour reports, and passes them on.
    fn record_contacts(&mut self, id: LinkId, digest: &Digest, now: Instant) {
        let contacts = digest.contacts.iter();
        let times: Vec<_> = contacts
            .filter_map(|contact| self.readers.record_contact(contact, now))
            .collect();
        let newest = times.into_iter().max();
        self.is_tick_due |= newest.is_some() && !self.is_serving;
        if let Some(link) = self.links.get_mut(&id) {
            link.contact_known = link.contact_known.max(newest);
        }
        self.report_contact(Some(id), now);
    }

    /// Reports a neighbour whose configuration differs at the same sequence.
    fn compare_config(&mut self, id: LinkId, digest: &Digest) {
        let is_same_sequence = digest.have.sequence == self.fold.sequence();
        if is_same_sequence && digest.config != self.config_hash {
            let vm = self.peer_vm(id);
            self.outputs
                .extend(vm.map(|vm| Output::Event(ReplicaEvent::SplitVerdict(vm))));
        }
    }

    fn repair_notes(&mut self, id: LinkId, theirs: Versions, now: Instant) {
        let own = self.fold.sequence();
        if theirs.sequence > own {
            self.schedule_pull(id, now);
            return;
        }
        let is_push_wanted = self.wants_push(id);
        if theirs.sequence < own && is_push_wanted {
            self.push_notes(id, now);
        }
    }

    fn receive_announce(&mut self, id: LinkId, theirs: Versions, now: Instant) {
        self.raise_highest(theirs.highest.max(theirs.sequence), now);
        let highest = self.highest;
        if let Some(peer) = self.links.get_mut(&id).and_then(|link| link.peer.as_mut()) {
            peer.set_versions(theirs, highest, now);
        }
        if theirs.sequence > self.fold.sequence() {
            self.schedule_pull(id, now);
        }
        if theirs.vms > self.vms.number {
            self.schedule_list_pull(id, now);
        }
    }

    fn receive_notes(&mut self, id: LinkId, notes: Vec<(Sequence, Arc<[u8]>)>, now: Instant) {
        let Some(&(last, _)) = notes.last() else {
            return;
        };
        self.update_peer_sequence(id, last, now);
        let mut events = Vec::new();
        for (sequence, text) in notes {
            events.extend(self.fold.insert(sequence, text));
        }
        self.handle_fold_events(events, Some(id), now);
        self.finish_pull(id, now);
    }

    fn receive_snapshot_part(&mut self, id: LinkId, part: SnapshotPart, now: Instant) {
        let sequence = part.sequence;
        self.raise_highest(sequence, now);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if part.index == 0 {
            link.parts.clear();
        }
        let is_next = part.index as usize == link.parts.len() && part.parts <= MAX_SNAPSHOT_PARTS;
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
        self.update_peer_sequence(id, sequence, now);
        if sequence <= self.fold.sequence() {
            return;
        }
        let text: Vec<u8> = parts.iter().flat_map(|p| p.bytes.iter().copied()).collect();
        match snapshot::decompress(&text) {
            Ok(config) => self.install_config(config, Some(id), now),
            Err(err) => {
                let vm = self.peer_vm(id);
                let reason = err.into();
                self.outputs
                    .extend(vm.map(|vm| Output::Event(ReplicaEvent::SnapshotRefused(vm, reason))));
            }
        }
        self.finish_pull(id, now);
    }

    fn finish_pull(&mut self, id: LinkId, now: Instant) {
        self.pull_deadline = None;
        let theirs = self.links.get(&id).map(|link| link.versions().sequence);
        if theirs.is_some_and(|theirs| theirs > self.fold.sequence()) || self.fold.gap().is_some() {
            self.schedule_pull(id, now);
        }
    }

    fn update_peer_sequence(&mut self, id: LinkId, sequence: Sequence, now: Instant) {
        self.raise_highest(sequence, now);
        let highest = self.highest;
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.sent = link.sent.max(sequence);
        let Some(peer) = &mut link.peer else { return };
        let mut theirs = peer.digest.have;
        theirs.sequence = theirs.sequence.max(sequence);
        peer.set_versions(theirs, highest, now);
    }
}
