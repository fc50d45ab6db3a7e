//! Decides which nodes read the platform.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{PlatformMode, Replica, ReplicaEvent};
use crate::{message::Contact, name::VmName, overlay::RELAYS_PER_DOMAIN};

/// Maximum number of linked nodes of a failure domain that read the platform during an outage.
pub(super) const MAX_READERS: usize = 8;
/// Age from which a contact with the platform is no longer fresh.
const MAX_FRESH_AGE: Duration = Duration::from_secs(6);
/// Time without a fresh contact before the first node after the relays reads the platform.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Additional delay for each further position.
const TAKEOVER_DELAY_STEP: Duration = Duration::from_millis(300);
/// Delay before a node without neighbours reads the platform.
const ISOLATED_TAKEOVER_DELAY: Duration = Duration::from_secs(5);
/// Time for which a reader at a lower position must be fresh before a node that took over stops.
const HANDBACK_DELAY: Duration = Duration::from_secs(3);
/// Time for which a node must hold the position of a relay before it reads the platform while others
/// read it. Positions change often while VMs start or are replaced.
const RELAY_PROMOTION_DELAY: Duration = Duration::from_secs(1);
/// Maximum delay before a node without seeds reads the list of VMs; also the range of the jitter
/// added to `ISOLATED_TAKEOVER_DELAY`.
const MAX_VMS_DELAY_MS: u64 = 2_000;
/// Maximum delay on a platform where reading the list is cheap.
const MAX_CHEAP_VMS_DELAY_MS: u64 = 400;
/// Range of the additional delay of a node with seeds; a quarter of the drawn value is used.
const SEEDS_VMS_DELAY_MS: u64 = 4_000;
/// Maximum number of contacts in a digest.
const MAX_DIGEST_CONTACTS: usize = 1;

/// Known readers of the platform and when it last answered.
#[derive(Clone, Debug)]
pub(super) struct Readers {
    mode: PlatformMode,
    contacts: BTreeMap<VmName, (u32, Instant)>,
    /// When `is_fresh` last changed.
    state_since: Instant,
    is_fresh: bool,
    /// Time since which a reader at a lower position has been fresh.
    better_since: Option<Instant>,
    has_taken_over: bool,
    /// Time since which the list of VMs has been known.
    listed_since: Option<Instant>,
    /// Time since which this node has held the position of a relay.
    relay_since: Option<Instant>,
    vms_due: Instant,
    jitter: Duration,
    last_answer: Option<Instant>,
}

impl Readers {
    pub(super) fn new(
        has_seeds: bool,
        has_cheap_reads: bool,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let limit = if has_cheap_reads {
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
            contacts: BTreeMap::new(),
            state_since: now,
            is_fresh: false,
            better_since: None,
            has_taken_over: false,
            listed_since: None,
            relay_since: None,
            vms_due: now + Duration::from_millis(delay),
            jitter: Duration::from_millis(rng.random_range(0..MAX_VMS_DELAY_MS)),
            last_answer: None,
        }
    }

    /// Returns whether the platform answered a node recently.
    pub(super) fn is_fresh(&self, vm: &VmName, now: Instant) -> bool {
        let contact = self.contacts.get(vm);
        contact.is_some_and(|(_, at)| now.saturating_duration_since(*at) < MAX_FRESH_AGE)
    }

    /// Returns the newest fresh contacts, for a digest.
    pub(super) fn newest_contacts(&self, now: Instant) -> Vec<Contact> {
        let mut fresh: Vec<_> = self
            .contacts
            .iter()
            .filter(|(vm, _)| self.is_fresh(vm, now))
            .collect();
        fresh.sort_by_key(|(_, (_, at))| Reverse(*at));
        fresh.truncate(MAX_DIGEST_CONTACTS);
        let contact = |(vm, (position, at)): (&VmName, &(u32, Instant))| {
            let age = now.saturating_duration_since(*at).as_millis();
            Contact {
                position: *position,
                vm: vm.clone(),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            }
        };
        fresh.into_iter().map(contact).collect()
    }

    /// Records a contact of another reader.
    pub(super) fn record_contact(&mut self, contact: &Contact, now: Instant) {
        let age = Duration::from_millis(u64::from(contact.age_ms));
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        self.record(contact.vm.clone(), contact.position, at);
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

    fn has_fresh_contact(&self, now: Instant) -> bool {
        self.contacts.keys().any(|vm| self.is_fresh(vm, now))
    }
}

impl Replica {
    /// Records that the platform answered and that all its values have been applied.
    pub fn record_platform_answer(&mut self, now: Instant) {
        let position = self.effective_position();
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        self.readers.record(self.identity.vm.clone(), position, now);
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
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < MAX_FRESH_AGE * 2);
        let is_fresh = readers.has_fresh_contact(now);
        if is_fresh == readers.is_fresh {
            return;
        }
        readers.is_fresh = is_fresh;
        readers.state_since = now;
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
            self.readers.has_taken_over = false;
            return self.relay_mode(now);
        }
        self.readers.relay_since = None;
        self.update_takeover(position, now);
        if self.readers.has_taken_over {
            return PlatformMode::Watch;
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

    fn update_takeover(&mut self, position: usize, now: Instant) {
        if self.readers.has_taken_over {
            self.update_handback(position, now);
            return;
        }
        self.readers.better_since = None;
        if self.readers.is_fresh {
            return;
        }
        let expected_since = self
            .readers
            .listed_since
            .max(Some(self.readers.state_since));
        let outage = expected_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let is_isolated = self.neighbours().is_empty();
        let steps = u32::try_from(position - RELAYS_PER_DOMAIN).unwrap_or(u32::MAX);
        let delay = TAKEOVER_DELAY + TAKEOVER_DELAY_STEP.saturating_mul(steps.min(64));
        let is_due = position < MAX_READERS && outage > delay;
        let is_isolated_due = is_isolated && outage > ISOLATED_TAKEOVER_DELAY + self.readers.jitter;
        self.readers.has_taken_over = is_due || is_isolated_due;
    }

    fn update_handback(&mut self, position: usize, now: Instant) {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let has_better_reader = self
            .readers
            .has_better_reader(position, &self.identity.vm, now);
        if !has_better_reader {
            self.readers.better_since = None;
            return;
        }
        let since = *self.readers.better_since.get_or_insert(now);
        if now.saturating_duration_since(since) > HANDBACK_DELAY {
            self.readers.has_taken_over = false;
        }
    }
}
