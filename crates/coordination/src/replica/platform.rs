//! Decides which nodes read the platform.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{PlatformMode, Replica, ReplicaEvent, ReplicaPolicy};
use crate::{
    apply_timing::ApplyTiming, message::Contact, name::VmName, overlay::RELAYS_PER_DOMAIN,
};

/// Number of nodes of a failure domain that share the platform's read rate.
pub(super) const MAX_READERS: usize = 8;
/// Time for which a contact with the platform is remembered.
const CONTACT_RETENTION: Duration = Duration::from_secs(12);
/// Time for which a reader at a lower position must be fresh before a node that took over stops.
const HANDBACK_DELAY: Duration = Duration::from_secs(3);
/// Time for which a node must hold the position of a relay before it reads the platform while others
/// read it. Positions change often while VMs start or are replaced.
const RELAY_PROMOTION_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before a node without seeds reads the list of VMs.
const MAX_VMS_DELAY_MS: u64 = 2_000;
/// Maximum delay on a platform where reading the list is cheap. Callers wait while a fleet starts, and
/// a node that others reach before needs no read.
const MAX_CHEAP_VMS_DELAY_MS: u64 = 150;
/// Range of the additional delay of a node with seeds; a quarter of the drawn value is used.
const SEEDS_VMS_DELAY_MS: u64 = 4_000;

/// Known readers of the platform and when it last answered.
#[derive(Clone, Debug)]
pub(super) struct Readers {
    mode: PlatformMode,
    timing: ApplyTiming,
    contacts: BTreeMap<VmName, (u32, Instant)>,
    is_fresh: bool,
    /// Time since which a reader at a lower position has been fresh.
    better_since: Option<Instant>,
    /// When this node took over from the relays.
    takeover: Option<Instant>,
    /// Time since which the list of VMs has been known.
    listed_since: Option<Instant>,
    /// Time since which this node has held the position of a relay.
    relay_since: Option<Instant>,
    vms_due: Instant,
    last_answer: Option<Instant>,
}

impl Readers {
    pub(super) fn new(
        has_seeds: bool,
        policy: &ReplicaPolicy,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let limit = if policy.consistent_reads {
            MAX_CHEAP_VMS_DELAY_MS
        } else {
            MAX_VMS_DELAY_MS
        };
        let mut delay = rng.random_range(limit / 20..limit);
        if has_seeds {
            delay += rng.random_range(0..SEEDS_VMS_DELAY_MS) / 4;
        }
        Self {
            mode: PlatformMode::Off,
            timing: policy.timing,
            contacts: BTreeMap::new(),
            is_fresh: false,
            better_since: None,
            takeover: None,
            listed_since: None,
            relay_since: None,
            vms_due: now + Duration::from_millis(delay),
            last_answer: None,
        }
    }

    /// Returns whether the platform answered a node recently.
    pub(super) fn is_fresh(&self, vm: &VmName, now: Instant) -> bool {
        let contact = self.contacts.get(vm);
        contact.is_some_and(|(_, at)| self.is_fresh_at(*at, now))
    }

    fn is_fresh_at(&self, answered: Instant, now: Instant) -> bool {
        now.saturating_duration_since(answered) < self.timing.fresh_age()
    }

    /// Returns the contacts for a digest: the newest one, and the one of the reader that all others
    /// hand back to.
    pub(super) fn digest_contacts(&self, now: Instant) -> Vec<Contact> {
        let fresh = || {
            self.contacts
                .iter()
                .filter(|(vm, _)| self.is_fresh(vm, now))
        };
        let newest = fresh().max_by_key(|(_, (_, at))| *at);
        let first = fresh().min_by_key(|(vm, (position, _))| (*position, *vm));
        let first = first.filter(|(vm, _)| newest.is_none_or(|(other, _)| other != *vm));
        let contact = |(vm, (position, at)): (&VmName, &(u32, Instant))| {
            // Rounded up, so that a contact doesn't become younger on its way.
            let age = now.saturating_duration_since(*at).as_millis() + 1;
            Contact {
                position: *position,
                vm: vm.clone(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        };
        newest.into_iter().chain(first).map(contact).collect()
    }

    /// Records a contact of another reader and returns its time.
    pub(super) fn record_contact(&mut self, contact: &Contact, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(u64::from(contact.age_ms));
        let at = now.checked_sub(age)?;
        self.record(contact.vm.clone(), contact.position, at);
        Some(at)
    }

    /// Returns when the platform last answered any reachable reader.
    pub(super) fn last_answer(&self) -> Option<Instant> {
        self.last_answer
    }

    fn record(&mut self, vm: VmName, position: u32, at: Instant) {
        self.last_answer = self.last_answer.max(Some(at));
        let entry = self.contacts.entry(vm).or_insert((position, at));
        if entry.1 <= at {
            *entry = (position, at);
        }
    }

    fn has_better_reader(&self, position: u32, vm: &VmName, now: Instant) -> bool {
        self.contacts
            .iter()
            .any(|(other, (at, _))| (*at, other) < (position, vm) && self.is_fresh(other, now))
    }

    /// Returns when a node probes the platform, unless a reader reports an answer before.
    fn probe_due(&self, position: usize) -> Option<Instant> {
        let listed = self.listed_since?;
        let due = match self.last_answer {
            Some(answered) => listed.max(answered + self.timing.fresh_age()),
            None => listed + self.timing.first_answer(),
        };
        Some(due + self.timing.probe_delay(position))
    }

    /// Returns whether the platform has not answered this node for long after it took over.
    fn has_failed(&self, vm: &VmName, now: Instant) -> bool {
        let answered = self.contacts.get(vm).map(|(_, at)| *at);
        let since = self.takeover.max(answered);
        since.is_some_and(|at| now.saturating_duration_since(at) > self.timing.fresh_age() * 2)
    }
}

impl Replica {
    /// Records that the platform answered and that all its values have been applied.
    pub fn record_platform_answer(&mut self, now: Instant) {
        let position = self.effective_position();
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        self.readers.record(self.identity.vm.clone(), position, now);
        self.is_tick_due |= !self.is_serving;
        self.report_contact(None, now);
    }

    /// Records that the platform answered a probe of this node. The node begins to read the platform
    /// if no reader has got an answer meanwhile.
    pub fn record_platform_probe(&mut self, now: Instant) {
        if self.readers.mode != PlatformMode::Probe {
            return;
        }
        self.update_freshness(now);
        if !self.readers.is_fresh {
            self.readers.better_since = None;
            self.readers.takeover = Some(now);
        }
        self.plan_platform(now);
    }

    /// Returns when the node next has to decide whether it probes the platform.
    pub(super) fn platform_due(&self) -> Option<Instant> {
        if self.readers.mode != PlatformMode::Off || self.overlay.is_empty() {
            return None;
        }
        self.readers.probe_due(self.effective_position())
    }

    /// Returns the time since the platform answered any reachable reader.
    #[must_use]
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        let answer = self.readers.last_answer?;
        Some(now.saturating_duration_since(answer))
    }

    /// Returns the position of this node among the reachable nodes of its failure domain, in the
    /// order in which they read the platform.
    #[must_use]
    pub fn reader_position(&self) -> usize {
        self.effective_position()
    }

    /// Returns how the node reads the platform.
    #[must_use]
    pub fn platform_mode(&self) -> PlatformMode {
        self.readers.mode
    }

    /// Returns whether the node reads the platform on behalf of others.
    pub(super) fn is_relay(&self) -> bool {
        self.readers.mode == PlatformMode::Watch
    }

    /// Returns whether the platform answered any reachable reader recently.
    pub(super) fn is_platform_fresh(&self) -> bool {
        self.readers.is_fresh
    }

    /// Returns whether the platform may no longer answer any reachable reader.
    pub(super) fn is_platform_suspect(&self, now: Instant) -> bool {
        let max_age = self.policy.timing.suspect_age();
        let age = self.platform_age(now);
        age.is_none_or(|age| age >= max_age)
    }

    pub(super) fn plan_platform(&mut self, now: Instant) {
        self.update_freshness(now);
        let mode = self.choose_mode(now);
        if mode == self.readers.mode {
            return;
        }
        self.readers.mode = mode;
        self.emit(ReplicaEvent::PlatformMode(mode));
    }

    fn update_freshness(&mut self, now: Instant) {
        let readers = &mut self.readers;
        readers
            .contacts
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < CONTACT_RETENTION);
        let last = readers.last_answer;
        let is_fresh = last.is_some_and(|at| readers.is_fresh_at(at, now));
        if is_fresh == readers.is_fresh {
            return;
        }
        readers.is_fresh = is_fresh;
        self.emit(if is_fresh {
            ReplicaEvent::PlatformFound
        } else {
            ReplicaEvent::PlatformLost
        });
    }

    fn choose_mode(&mut self, now: Instant) -> PlatformMode {
        if !self.policy.relay || self.vms_missing {
            return PlatformMode::Watch;
        }
        if self.overlay.is_empty() {
            let is_due = now >= self.readers.vms_due;
            return if is_due {
                PlatformMode::Vms
            } else {
                PlatformMode::Off
            };
        }
        self.readers.listed_since.get_or_insert(now);
        let position = self.effective_position();
        if position < RELAYS_PER_DOMAIN {
            self.readers.takeover = None;
            return self.relay_mode(now);
        }
        self.readers.relay_since = None;
        self.update_takeover(position, now);
        if self.readers.takeover.is_some() {
            return PlatformMode::Watch;
        }
        let is_due = self
            .readers
            .probe_due(position)
            .is_some_and(|due| due <= now);
        if is_due && !self.readers.is_fresh {
            return PlatformMode::Probe;
        }
        PlatformMode::Off
    }

    /// Returns the mode of a node at the position of a relay. While others read the platform, a new
    /// relay waits until its position is stable, because each new reader reads everything.
    fn relay_mode(&mut self, now: Instant) -> PlatformMode {
        let readers = &mut self.readers;
        let since = *readers.relay_since.get_or_insert(now);
        let is_stable = now.saturating_duration_since(since) >= RELAY_PROMOTION_DELAY;
        if is_stable || !readers.is_fresh || readers.mode == PlatformMode::Watch {
            return PlatformMode::Watch;
        }
        PlatformMode::Off
    }

    /// Ends the reading of a node that is not a relay if the platform no longer answers it, or if a
    /// reader at a lower position gets answers again.
    fn update_takeover(&mut self, position: usize, now: Instant) {
        if self.readers.takeover.is_none() {
            return;
        }
        let vm = &self.identity.vm;
        if self.readers.has_failed(vm, now) {
            self.readers.takeover = None;
            return;
        }
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        if !self.readers.has_better_reader(position, vm, now) {
            self.readers.better_since = None;
            return;
        }
        let since = *self.readers.better_since.get_or_insert(now);
        if now.saturating_duration_since(since) > HANDBACK_DELAY {
            self.readers.takeover = None;
        }
    }
}
