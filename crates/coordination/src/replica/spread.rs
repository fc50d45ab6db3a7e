//! What a replica sends to which neighbour, and when.

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
const DIGEST_EVERY: Duration = Duration::from_secs(1);
/// Delay before missing notes are asked for, while they may come by themselves.
const PULL_DELAY: Duration = Duration::from_millis(40);
/// Time after which missing notes are asked for again.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which what was sent and is still missing is sent again.
const RESEND: Duration = Duration::from_secs(2);
/// Age of a link from which a list is sent to a neighbour that did not ask for pushes.
const LIST_DELAY: Duration = Duration::from_millis(700);
/// Bytes of note text in one message.
const MAX_NOTES_BYTES: usize = 512 << 10;
/// Bytes of a snapshot in one message.
const PART_BYTES: usize = 256 << 10;
/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(200);

impl Link {
    /// Returns whether what was pushed last should have arrived.
    pub(super) fn is_push_old(&self, now: Instant) -> bool {
        is_old(self.pushed, now)
    }
}

impl Replica {
    /// Returns the time until the next tick is due.
    #[must_use]
    pub fn next_tick_delay(&self, now: Instant) -> Duration {
        let pulls = self.links.values().filter_map(|link| link.pull_due);
        let next = pulls.min().map(|due| due.saturating_duration_since(now));
        next.unwrap_or(TICK).clamp(Duration::from_millis(5), TICK)
    }

    pub(super) fn send_hello(&mut self, id: LinkId, now: Instant) {
        let hello = Hello {
            vm: self.me.vm.clone(),
            domain: self.me.domain.clone(),
            incarnation: self.me.incarnation,
            digest: self.digest(id, now),
        };
        self.send(id, Message::Hello(hello));
    }

    pub(super) fn send_digest(&mut self, id: LinkId, now: Instant) {
        let digest = self.digest(id, now);
        self.send(id, Message::Digest(digest));
    }

    fn digest(&self, id: LinkId, now: Instant) -> Digest {
        let is_up = self.uplinks.first() == Some(&id);
        Digest {
            have: self.have(),
            config: self.config_hash,
            serving: self.is_serving,
            relay: self.is_relay(),
            push: self.links.get(&id).is_some_and(|link| link.push),
            contacts: self.readers.newest(now),
            subtree: is_up.then(|| self.subtree()),
        }
    }

    pub(super) fn send_digests(&mut self, now: Instant, rng: &mut impl Rng) {
        let mut due = Vec::new();
        for (id, link) in &mut self.links {
            if link.peer.is_some() && link.digest_due <= now {
                link.digest_due = now + DIGEST_EVERY.mul_f64(rng.random_range(0.9..1.1));
                due.push(*id);
            }
        }
        for id in due {
            self.send_digest(id, now);
        }
    }

    /// Passes new notes on to the neighbours that lack them.
    pub(super) fn spread_notes(&mut self, from: Option<LinkId>, now: Instant) {
        if !self.policy.relay {
            return;
        }
        let mine = self.fold.sequence();
        let lacking = self.links.iter().filter(|(id, link)| {
            Some(**id) != from && link.peer.is_some() && link.have().sequence < mine
        });
        let lacking: Vec<_> = lacking.map(|(id, _)| *id).collect();
        for id in lacking {
            if self.peer_wants_push(id) {
                self.push_notes(id, now);
            } else {
                let have = self.have();
                self.send(id, Message::Announce(have));
            }
        }
    }

    pub(super) fn peer_wants_push(&self, id: LinkId) -> bool {
        let link = self.links.get(&id);
        let peer = link.and_then(|link| link.peer.as_ref());
        peer.is_some_and(|peer| peer.digest.push)
    }

    /// Sends what a neighbour lacks and was not sent before.
    pub(super) fn push_notes(&mut self, id: LinkId, now: Instant) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        let known = link.have().sequence.max(link.sent);
        self.push_after(id, known, now);
    }

    /// Sends all notes after a sequence, or a snapshot where they are not known.
    pub(super) fn push_after(&mut self, id: LinkId, after: Sequence, now: Instant) {
        let mine = self.fold.sequence();
        if after >= mine {
            return;
        }
        let notes = self.fold.history().since(after);
        let notes = notes.filter(|notes| !notes.is_empty() && self.policy.delta);
        match notes {
            Some(notes) => self.send_notes(id, notes),
            None => self.send_snapshot(id),
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.sent = mine;
            link.pushed = Some(now);
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
        let text = self.snapshot.of(self.fold.config());
        let chunks: Vec<Arc<[u8]>> = text.chunks(PART_BYTES).map(Arc::from).collect();
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

    pub(super) fn spread_vms(&mut self, from: Option<LinkId>, now: Instant) {
        let number = self.vms.number;
        let lacking = self.links.iter().filter(|(id, link)| {
            let have = link.have().vms;
            let is_due = !self.policy.digest || self.peer_wants_push(**id);
            Some(**id) != from && link.peer.is_some() && have < number && is_due
        });
        let lacking: Vec<_> = lacking.map(|(id, _)| *id).collect();
        for id in lacking {
            self.send_vms(id, now);
        }
    }

    fn send_vms(&mut self, id: LinkId, now: Instant) {
        if let Some(link) = self.links.get_mut(&id) {
            link.listed = Some(now);
        }
        self.send(id, Message::Vms(Arc::clone(&self.vms)));
    }

    pub(super) fn repair_vms(&mut self, id: LinkId, have: Versions, mine: Versions, now: Instant) {
        let is_wanted = self.peer_wants_push(id);
        let is_due = self.links.get(&id).is_some_and(|link| {
            let age = now.saturating_duration_since(link.opened);
            is_old(link.listed, now) && (is_wanted || age >= LIST_DELAY)
        });
        if have.vms < mine.vms && is_due {
            self.send_vms(id, now);
        }
    }

    pub(super) fn repair_drains(
        &mut self,
        id: LinkId,
        have: Versions,
        mine: Versions,
        now: Instant,
    ) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if have.drains == mine.drains || !is_old(link.ordered, now) {
            return;
        }
        link.ordered = Some(now);
        let orders: Vec<_> = self.drains.iter().collect();
        if !orders.is_empty() {
            self.send(id, Message::Drains(orders));
        }
    }

    /// Plans to ask a neighbour for notes, unless they come by themselves before.
    pub(super) fn plan_pull(&mut self, id: LinkId, now: Instant) {
        let comes_anyway = self.is_platform_fresh();
        let delay = if comes_anyway {
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
        let mine = self.fold.sequence();
        if self.pulling_until.is_some_and(|until| until > now) {
            return;
        }
        for link in self.links.values_mut() {
            if link.have().sequence <= mine {
                link.pull_due = None;
            }
        }
        let due = self.links.iter().filter(|(_, link)| {
            let is_due = link.pull_due.is_some_and(|due| due <= now);
            is_due && link.have().sequence > mine
        });
        let best = due.max_by_key(|(_, link)| link.have().sequence);
        let Some(id) = best.map(|(id, _)| *id) else {
            return;
        };
        self.pulling_until = Some(now + PULL_TIMEOUT);
        if let Some(link) = self.links.get_mut(&id) {
            link.pull_due = Some(now + PULL_TIMEOUT);
        }
        self.send(id, Message::Pull(mine));
    }
}

fn is_old(sent: Option<Instant>, now: Instant) -> bool {
    sent.is_none_or(|sent| now.saturating_duration_since(sent) >= RESEND)
}
