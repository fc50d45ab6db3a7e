//! Which nodes read the platform.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::Rng;

use super::{PlatformMode, Replica, ReplicaEvent};
use crate::{message::Contact, name::VmName, overlay::RELAYS_PER_DOMAIN};

/// Nodes of a failure domain that read the platform at most, while it is silent.
pub(super) const MAX_READERS: usize = 8;
/// Age up to which a contact with the platform is fresh.
const FRESH: Duration = Duration::from_secs(6);
/// Delay before the first further node reads a silent platform.
const STEP_IN: Duration = Duration::from_secs(1);
/// Further delay for each position.
const STEP_IN_EACH: Duration = Duration::from_millis(300);
/// Delay before a node without any link reads the platform.
const STEP_IN_ALONE: Duration = Duration::from_secs(5);
/// Delay before a node that stepped in leaves the reading to others.
const STEP_OUT: Duration = Duration::from_secs(3);
/// Longest delay before a node without seeds reads the list of VMs.
const LIST_DELAY_MS: u64 = 2_000;
/// The same, where reading the list costs the platform little.
const CHEAP_LIST_DELAY_MS: u64 = 400;
/// Longest further delay of a node with seeds.
const LIST_DELAY_SEEDS_MS: u64 = 4_000;
/// Contacts that a digest carries.
const MAX_CONTACTS: usize = 1;

/// Who reads the platform, and when it last answered.
#[derive(Clone, Debug)]
pub(super) struct Readers {
    mode: PlatformMode,
    contacts: BTreeMap<VmName, (u32, Instant)>,
    /// Start of the present span with or without a fresh contact.
    since: Instant,
    is_fresh: bool,
    /// Since when a better reader is fresh.
    better: Option<Instant>,
    has_stepped_in: bool,
    list_due: Instant,
    jitter: Duration,
    last_answer: Option<Instant>,
}

impl Readers {
    pub(super) fn new(has_seeds: bool, is_cheap: bool, now: Instant, rng: &mut impl Rng) -> Self {
        let limit = if is_cheap {
            CHEAP_LIST_DELAY_MS
        } else {
            LIST_DELAY_MS
        };
        let mut delay = rng.random_range(limit / 20..limit);
        if has_seeds {
            delay += rng.random_range(0..LIST_DELAY_SEEDS_MS) / 4;
        }
        Self {
            mode: PlatformMode::Off,
            contacts: BTreeMap::new(),
            since: now,
            is_fresh: false,
            better: None,
            has_stepped_in: false,
            list_due: now + Duration::from_millis(delay),
            jitter: Duration::from_millis(rng.random_range(0..LIST_DELAY_MS)),
            last_answer: None,
        }
    }

    /// Returns whether a node reads the platform with success.
    pub(super) fn is_fresh(&self, vm: &VmName, now: Instant) -> bool {
        let contact = self.contacts.get(vm);
        contact.is_some_and(|(_, at)| now.saturating_duration_since(*at) < FRESH)
    }

    /// Returns the newest contacts.
    pub(super) fn newest(&self, now: Instant) -> Vec<Contact> {
        let mut fresh: Vec<_> = self
            .contacts
            .iter()
            .filter(|(vm, _)| self.is_fresh(vm, now))
            .collect();
        fresh.sort_by_key(|(_, (_, at))| Reverse(*at));
        fresh.truncate(MAX_CONTACTS);
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

    /// Takes in a contact of another reader.
    pub(super) fn insert(&mut self, contact: &Contact, now: Instant) {
        let age = Duration::from_millis(u64::from(contact.age_ms));
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        self.put(contact.vm.clone(), contact.position, at);
    }

    fn put(&mut self, vm: VmName, position: u32, at: Instant) {
        self.last_answer = self.last_answer.max(Some(at));
        let entry = self.contacts.entry(vm).or_insert((position, at));
        if entry.1 <= at {
            *entry = (position, at);
        }
    }

    fn has_better(&self, position: u32, vm: &VmName, now: Instant) -> bool {
        self.contacts
            .iter()
            .any(|(other, (at, _))| (*at, other) < (position, vm) && self.is_fresh(other, now))
    }

    fn any_fresh(&self, now: Instant) -> bool {
        self.contacts.keys().any(|vm| self.is_fresh(vm, now))
    }
}

impl Replica {
    /// Takes in that the platform answered and all that it holds has been passed in.
    pub fn record_platform_answer(&mut self, now: Instant) {
        let position = self.effective_position();
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        self.readers.put(self.me.vm.clone(), position, now);
    }

    /// Returns the time since any reader in reach heard the platform.
    #[must_use]
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        let answer = self.readers.last_answer?;
        Some(now.saturating_duration_since(answer))
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

    /// Returns whether a reader in reach has heard the platform lately.
    pub(super) fn is_platform_fresh(&self) -> bool {
        self.readers.is_fresh
    }

    pub(super) fn plan_platform(&mut self, now: Instant) {
        self.note_freshness(now);
        let mode = self.choose_mode(now);
        if mode == self.readers.mode {
            return;
        }
        self.readers.mode = mode;
        self.event(ReplicaEvent::PlatformMode(mode));
    }

    fn note_freshness(&mut self, now: Instant) {
        let readers = &mut self.readers;
        readers
            .contacts
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < FRESH * 2);
        let is_fresh = readers.any_fresh(now);
        if is_fresh == readers.is_fresh {
            return;
        }
        readers.is_fresh = is_fresh;
        readers.since = now;
        self.event(if is_fresh {
            ReplicaEvent::PlatformFound
        } else {
            ReplicaEvent::PlatformLost
        });
    }

    fn choose_mode(&mut self, now: Instant) -> PlatformMode {
        if !self.policy.relay || self.is_unlisted {
            return PlatformMode::Watch;
        }
        if self.overlay.is_empty() {
            let is_due = now >= self.readers.list_due;
            return if is_due {
                PlatformMode::Vms
            } else {
                PlatformMode::Off
            };
        }
        let position = self.effective_position();
        if position < RELAYS_PER_DOMAIN {
            self.readers.has_stepped_in = false;
            return PlatformMode::Watch;
        }
        self.step(position, now);
        if self.readers.has_stepped_in {
            return PlatformMode::Watch;
        }
        PlatformMode::Off
    }

    fn step(&mut self, position: usize, now: Instant) {
        if self.readers.has_stepped_in {
            self.step_out(position, now);
            return;
        }
        self.readers.better = None;
        if self.readers.is_fresh {
            return;
        }
        let quiet = now.saturating_duration_since(self.readers.since);
        let is_alone = self.neighbours().is_empty();
        let steps = u32::try_from(position - RELAYS_PER_DOMAIN).unwrap_or(u32::MAX);
        let delay = STEP_IN + STEP_IN_EACH.saturating_mul(steps.min(64));
        let is_due = position < MAX_READERS && quiet > delay;
        let is_alone_due = is_alone && quiet > STEP_IN_ALONE + self.readers.jitter;
        self.readers.has_stepped_in = is_due || is_alone_due;
    }

    fn step_out(&mut self, position: usize, now: Instant) {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let has_better = self.readers.has_better(position, &self.me.vm, now);
        if !has_better {
            self.readers.better = None;
            return;
        }
        let since = *self.readers.better.get_or_insert(now);
        if now.saturating_duration_since(since) > STEP_OUT {
            self.readers.has_stepped_in = false;
        }
    }
}
