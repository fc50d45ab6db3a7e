//! Sending of notes, snapshots, lists of VMs, drain orders and digests to neighbours.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{LinkId, Replica, link::Link};
use crate::{
    message::{Digest, Hello, Message, SnapshotPart, Versions},
    sequence::Sequence,
};

/// Mean time between two digests on a link.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of a pull while the missing notes are expected to be pushed.
const PULL_DELAY: Duration = Duration::from_millis(40);
/// Minimum time before data that a neighbour still lacks is sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
/// Age of a link before the list of VMs is sent to a neighbour that did not request pushes.
const VMS_SEND_DELAY: Duration = Duration::from_millis(700);
/// Limit for the text of all notes in one message; a longer note is sent alone.
const MAX_NOTES_BYTES: usize = 512 << 10;
/// Size of a snapshot part.
const SNAPSHOT_PART_BYTES: usize = 256 << 10;
/// Maximum time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

impl Link {
    /// Returns whether the last push is old enough to be repeated.
    pub(super) fn may_push_again(&self, now: Instant) -> bool {
        may_resend(self.last_push, now)
    }
}

impl Replica {
    /// Returns the time until the next tick is due.
    #[must_use]
    pub fn next_tick_delay(&self, now: Instant) -> Duration {
        if self.is_tick_due {
            return Duration::ZERO;
        }
        let pulls = self.links.values().filter_map(|link| link.pull_due);
        let others = self.platform_due().into_iter().chain(self.list_due());
        let next = pulls.chain(others).filter(|due| *due > now).min();
        let next = next.map(|due| due.saturating_duration_since(now));
        next.unwrap_or(MAX_TICK_INTERVAL)
            .clamp(Duration::from_millis(5), MAX_TICK_INTERVAL)
    }

    pub(super) fn send_hello(&mut self, id: LinkId, now: Instant) {
        let hello = Hello {
            vm: self.identity.vm.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            digest: self.digest(id, now),
        };
        self.record_report(id);
        self.send(id, Message::Hello(hello));
    }

    /// Records that the newest answer of the platform is being reported to a neighbour.
    fn record_report(&mut self, id: LinkId) {
        let newest = self.readers.last_answer();
        if let Some(link) = self.links.get_mut(&id) {
            link.contact_sent = link.contact_sent.max(newest);
        }
    }

    /// Reports the newest answer of the platform to the neighbours that know only older ones, as
    /// each node has to notice in time that readers get no answers.
    pub(super) fn report_contact(&mut self, from: Option<LinkId>, now: Instant) {
        let Some(newest) = self.readers.last_answer() else {
            return;
        };
        let gap = self.policy.timing.report_gap();
        let is_due = |link: &Link| {
            let known = link.contact_sent.max(link.contact_known);
            link.peer.is_some() && known.is_none_or(|known| known + gap <= newest)
        };
        let due = self
            .links
            .iter()
            .filter(|(id, link)| Some(**id) != from && is_due(link));
        let due: Vec<_> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.send_digest(id, now);
        }
    }

    pub(super) fn send_digest(&mut self, id: LinkId, now: Instant) {
        let digest = self.digest(id, now);
        self.record_report(id);
        self.send(id, Message::Digest(digest));
    }

    fn digest(&self, id: LinkId, now: Instant) -> Digest {
        let is_uplink = self.uplinks.first() == Some(&id);
        Digest {
            have: self.versions(),
            config: self.config_hash,
            serving: self.is_serving,
            relay: self.is_relay(),
            push: self.links.get(&id).is_some_and(|link| link.push_requested),
            contacts: self.readers.digest_contacts(now),
            subtree: is_uplink.then(|| self.subtree()),
        }
    }

    pub(super) fn send_digests(&mut self, now: Instant, rng: &mut impl Rng) {
        let mut due = Vec::new();
        for (id, link) in &mut self.links {
            if link.peer.is_some() && link.digest_due <= now {
                link.digest_due = now + DIGEST_INTERVAL.mul_f64(rng.random_range(0.9..1.1));
                due.push(*id);
            }
        }
        for id in due {
            self.send_digest(id, now);
        }
    }

    /// Sends new notes to neighbours that want pushes, and announces them to the others.
    pub(super) fn propagate_notes(&mut self, from: Option<LinkId>, now: Instant) {
        if !self.policy.relay {
            return;
        }
        let own = self.fold.sequence();
        let behind = self.links.iter().filter(|(id, link)| {
            Some(**id) != from && link.peer.is_some() && link.versions().sequence < own
        });
        let behind: Vec<_> = behind.map(|(id, _)| *id).collect();
        for id in behind {
            if self.wants_push(id) {
                self.push_notes(id, now);
            } else {
                let versions = self.versions();
                self.send(id, Message::Announce(versions));
            }
        }
    }

    pub(super) fn wants_push(&self, id: LinkId) -> bool {
        let link = self.links.get(&id);
        let peer = link.and_then(|link| link.peer.as_ref());
        peer.is_some_and(|peer| peer.digest.push)
    }

    /// Sends the notes that a neighbour lacks and that were not sent to it before.
    pub(super) fn push_notes(&mut self, id: LinkId, now: Instant) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let known = link.versions().sequence.max(link.sent);
        self.send_notes_after(id, known, now);
    }

    /// Sends all notes after a sequence, or a snapshot if they are no longer in the history.
    pub(super) fn send_notes_after(&mut self, id: LinkId, after: Sequence, now: Instant) {
        let own = self.fold.sequence();
        if after >= own {
            return;
        }
        let notes = self.fold.history().since(after);
        let notes = notes.filter(|notes| !notes.is_empty() && self.policy.delta);
        match notes {
            Some(notes) => self.send_notes(id, notes),
            None => self.send_snapshot(id),
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.sent = own;
            link.last_push = Some(now);
        }
    }

    fn send_notes(&mut self, id: LinkId, notes: Vec<(Sequence, Arc<[u8]>)>) {
        let mut batch = Vec::new();
        let mut bytes = 0;
        for (sequence, text) in notes {
            if bytes + text.len() > MAX_NOTES_BYTES && !batch.is_empty() {
                self.send(id, Message::Notes(std::mem::take(&mut batch)));
                bytes = 0;
            }
            bytes += text.len();
            batch.push((sequence, text));
        }
        self.send(id, Message::Notes(batch));
    }

    fn send_snapshot(&mut self, id: LinkId) {
        let sequence = self.fold.sequence();
        let text = self.snapshot.compressed(self.fold.config());
        let chunks: Vec<Arc<[u8]>> = text.chunks(SNAPSHOT_PART_BYTES).map(Arc::from).collect();
        let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        for (index, bytes) in (0..).zip(chunks) {
            let part = SnapshotPart {
                sequence,
                index,
                parts,
                bytes,
            };
            self.send(id, Message::Snapshot(part));
        }
    }

    pub(super) fn propagate_vms(&mut self, from: Option<LinkId>, now: Instant) {
        let number = self.vms.number;
        let behind = self.links.iter().filter(|(id, link)| {
            Some(**id) != from && link.peer.is_some() && link.versions().vms < number
        });
        let behind: Vec<_> = behind.map(|(id, _)| *id).collect();
        for id in behind {
            if !self.policy.digest || self.wants_push(id) {
                self.send_vms(id, now);
            } else {
                let versions = self.versions();
                self.send(id, Message::Announce(versions));
            }
        }
    }

    /// Schedules a request for a newer list of VMs that a neighbour has. A reader of the platform
    /// normally gets the list from there before the request is due.
    pub(super) fn schedule_list_pull(&mut self, id: LinkId, now: Instant) {
        let due = now + self.policy.timing.list_delay();
        self.list_pull.get_or_insert((due, id));
    }

    fn list_due(&self) -> Option<Instant> {
        self.list_pull.map(|(due, _)| due)
    }

    /// Requests a newer list of VMs by asking the neighbour that has it for pushes.
    pub(super) fn send_list_pull(&mut self, now: Instant) {
        let Some((due, id)) = self.list_pull else {
            return;
        };
        let is_behind = |link: &Link| link.versions().vms > self.vms.number;
        if !self.links.get(&id).is_some_and(is_behind) {
            self.list_pull = None;
            return;
        }
        if due > now {
            return;
        }
        self.list_pull = None;
        if let Some(link) = self.links.get_mut(&id) {
            link.push_requested = true;
        }
        self.send_digest(id, now);
    }

    fn send_vms(&mut self, id: LinkId, now: Instant) {
        if let Some(link) = self.links.get_mut(&id) {
            link.vms_sent = Some((now, self.vms.number));
        }
        self.send(id, Message::Vms(Arc::clone(&self.vms)));
    }

    pub(super) fn repair_vms(&mut self, id: LinkId, theirs: Versions, own: Versions, now: Instant) {
        let is_push_wanted = self.wants_push(id);
        let is_due = self.links.get(&id).is_some_and(|link| {
            let age = now.saturating_duration_since(link.opened);
            let is_newer = link.vms_sent.is_none_or(|(_, sent)| sent < own.vms);
            let may_resend = may_resend(link.vms_sent.map(|(at, _)| at), now);
            let may_send = is_newer && is_push_wanted;
            may_send || (may_resend && (is_push_wanted || age >= VMS_SEND_DELAY))
        });
        if theirs.vms < own.vms && is_due {
            self.send_vms(id, now);
        }
    }

    pub(super) fn repair_drains(
        &mut self,
        id: LinkId,
        theirs: Versions,
        own: Versions,
        now: Instant,
    ) {
        let resend = self.policy.timing.pull_timeout();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let is_sent = link.drains_sent.is_some_and(|(at, sent)| {
            sent == own.drains && now.saturating_duration_since(at) < resend
        });
        if theirs.drains == own.drains || is_sent {
            return;
        }
        link.drains_sent = Some((now, own.drains));
        let orders: Vec<_> = self.drains.iter().collect();
        if !orders.is_empty() {
            self.send(id, Message::Drains(orders));
        }
    }

    /// Schedules a pull from a neighbour; it is delayed if the notes are expected to be pushed.
    pub(super) fn schedule_pull(&mut self, id: LinkId, now: Instant) {
        let is_push_expected = self.is_platform_fresh();
        let delay = if is_push_expected {
            PULL_DELAY
        } else {
            Duration::ZERO
        };
        if let Some(link) = self.links.get_mut(&id) {
            link.pull_due.get_or_insert(now + delay);
        }
        if delay.is_zero() {
            self.send_pulls(now);
        }
    }

    pub(super) fn send_pulls(&mut self, now: Instant) {
        let own = self.fold.sequence();
        if self.pull_deadline.is_some_and(|deadline| deadline > now) {
            return;
        }
        for link in self.links.values_mut() {
            if link.versions().sequence <= own {
                link.pull_due = None;
            }
        }
        let due = self.links.iter().filter(|(_, link)| {
            let is_due = link.pull_due.is_some_and(|due| due <= now);
            is_due && link.versions().sequence > own
        });
        let best = due.max_by_key(|(_, link)| link.versions().sequence);
        let Some(id) = best.map(|(id, _)| *id) else {
            return;
        };
        let timeout = self.policy.timing.pull_timeout();
        self.pull_deadline = Some(now + timeout);
        if let Some(link) = self.links.get_mut(&id) {
            link.pull_due = Some(now + timeout);
        }
        self.send(id, Message::Pull(own));
    }
}

fn may_resend(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|sent| now.saturating_duration_since(sent) >= RESEND_INTERVAL)
}
