//! Poison requests: detection of requests that crash upstreams.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::UpstreamName;

/// Crash history of requests by fingerprint.
///
/// Merging reports is commutative, associative and idempotent, so nodes may exchange them in any
/// order and any number of times.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: BTreeMap<u64, Suspect>,
    completed: HashSet<u64>,
    completed_order: VecDeque<u64>,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Not suspected; runs normally.
    Clear,
    /// In flight at a crash, or due for a trial after it was refused; runs alone.
    Suspect,
    /// In flight at two crashes; refused until it is due for a trial.
    Refused,
}

/// A request in flight on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether no other request ran concurrently.
    pub alone: bool,
    /// Whether the request was already suspected when it started.
    pub is_trial: bool,
}

/// Crash history of one request, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Identifiers of the crashes at which the request was in flight.
    pub crashes: BTreeSet<u64>,
    /// Identifiers of the crashes of which the request was cleared by running to completion.
    pub cleared: BTreeSet<u64>,
    /// Identifiers of the crashes at which the request was already suspected when it started.
    #[serde(default)]
    pub trials: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    trials: BTreeSet<u64>,
    /// Time at which a crash or a completion was last learned.
    changed: Instant,
}

/// Number of crashes from which on a request runs at one upstream at a time only.
const CRASHES_TO_REFUSE: usize = 2;
/// Time for which a request is refused after the first trial that ended in a crash. It doubles with
/// each further one.
const REFUSAL_TIME: Duration = Duration::from_secs(30);
/// Time between the first trials at two upstreams of a service, long enough for a crash to become
/// known everywhere.
const TRIAL_STEP: Duration = Duration::from_secs(5);
/// Maximum number of crashes, and of trials, that are recorded for one request.
const MAX_KEPT_CRASHES: usize = 16;
/// Time after the last crash from which a request is no longer suspected.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of completed requests that are recorded.
const MAX_COMPLETED: usize = 8_192;
/// Maximum number of suspects that are recorded.
const MAX_SUSPECTS: usize = 10_000;

impl PoisonTracker {
    /// Returns how a request is treated.
    ///
    /// A request that was in flight when several upstreams crashed together need not be the cause. So
    /// one upstream after the other tries it again, by the `rank` of each, see [`trial_rank`]: at once
    /// as long as no trial has ended in a crash, and later after each one that has.
    #[must_use]
    pub fn suspicion(
        &self,
        fingerprint: u64,
        now: Instant,
        rank: impl FnOnce() -> u32,
    ) -> Suspicion {
        if self.completed.contains(&fingerprint) {
            return Suspicion::Clear;
        }
        let suspect = self.suspects.get(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| !suspect.is_expired(now)) else {
            return Suspicion::Clear;
        };
        match suspect.open_crashes() {
            0 => Suspicion::Clear,
            crashes if crashes < CRASHES_TO_REFUSE => Suspicion::Suspect,
            _ if suspect.is_due(now, rank) => Suspicion::Suspect,
            _ => Suspicion::Refused,
        }
    }

    /// Records a crash and returns reports on the requests blamed for it.
    ///
    /// Requests that have completed on this node before are considered only if all of them have. Of
    /// the requests considered, those that ran alone are blamed; if there are none, those already
    /// suspected, so that requests that ran concurrently with a suspect are not; if there are none
    /// either, all of them. Repeated requests share a fingerprint: one that completed is not
    /// suspected until it is in flight at a crash and doesn't complete again.
    pub fn record_crash(
        &mut self,
        crash: u64,
        requests: &[InFlight],
        now: Instant,
    ) -> Vec<PoisonReport> {
        let has_completed = |request: &&InFlight| self.completed.contains(&request.fingerprint);
        let unproven: Vec<_> = requests
            .iter()
            .filter(|request| !has_completed(request))
            .copied()
            .collect();
        for request in requests {
            self.completed.remove(&request.fingerprint);
        }
        let requests = if unproven.is_empty() {
            requests
        } else {
            &unproven
        };
        let is_suspect =
            |request: &InFlight| self.suspicion(request.fingerprint, now, || 0) != Suspicion::Clear;
        let mut blamed: Vec<_> = requests.iter().filter(|request| request.alone).collect();
        if blamed.is_empty() {
            blamed = requests
                .iter()
                .filter(|request| is_suspect(request))
                .collect();
        }
        if blamed.is_empty() {
            blamed = requests.iter().collect();
        }
        let mut fingerprints: BTreeMap<u64, bool> = BTreeMap::new();
        for request in blamed {
            *fingerprints.entry(request.fingerprint).or_default() |= request.is_trial;
        }
        let blame = |(&fingerprint, &is_trial): (&u64, &bool)| {
            let suspect = self.entry(fingerprint, now);
            suspect.add_crash(crash, is_trial);
            suspect.changed = now;
            suspect.report(fingerprint)
        };
        fingerprints.iter().map(blame).collect()
    }

    /// Clears a request that ran to completion and returns a report if it was suspected.
    pub fn record_completion(&mut self, fingerprint: u64, now: Instant) -> Option<PoisonReport> {
        self.insert_completed(fingerprint);
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if suspect.open_crashes() == 0 {
            return None;
        }
        suspect.cleared.extend(&suspect.crashes);
        suspect.changed = now;
        Some(suspect.report(fingerprint))
    }

    /// Merges a report from another node and returns whether it contained anything new.
    pub fn merge(&mut self, report: &PoisonReport, now: Instant) -> bool {
        let suspect = self.entry(report.fingerprint, now);
        let known = suspect.evidence();
        for crash in &report.crashes {
            suspect.add_crash(*crash, report.trials.contains(crash));
        }
        suspect.cleared.extend(&report.cleared);
        let is_new = suspect.evidence() > known;
        if is_new {
            suspect.changed = now;
        }
        is_new
    }

    /// Returns the number of recorded suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no suspects are recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn insert_completed(&mut self, fingerprint: u64) {
        if !self.completed.insert(fingerprint) {
            return;
        }
        self.completed_order.push_back(fingerprint);
        if self.completed_order.len() > MAX_COMPLETED
            && let Some(oldest) = self.completed_order.pop_front()
        {
            self.completed.remove(&oldest);
        }
    }

    fn entry(&mut self, fingerprint: u64, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_suspects(now);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            trials: BTreeSet::new(),
            changed: now,
        });
        let is_full = suspect.crashes.len() >= MAX_KEPT_CRASHES;
        if suspect.is_expired(now) || is_full && suspect.open_crashes() == 0 {
            suspect.crashes.clear();
            suspect.cleared.clear();
            suspect.trials.clear();
            suspect.changed = now;
        }
        suspect
    }

    fn evict_suspects(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| suspect.changed);
            let Some((&oldest, _)) = oldest else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed) > RETENTION
    }

    fn open_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    fn add_crash(&mut self, crash: u64, is_trial: bool) {
        let kept = if is_trial {
            &mut self.trials
        } else {
            &mut self.crashes
        };
        if kept.len() >= MAX_KEPT_CRASHES {
            return;
        }
        kept.insert(crash);
        self.crashes.insert(crash);
    }

    /// Returns whether the upstream with the rank may try the request.
    fn is_due(&self, now: Instant, rank: impl FnOnce() -> u32) -> bool {
        let due = self.changed + self.refusal_time();
        now >= due && now >= due + TRIAL_STEP * rank()
    }

    /// Returns the time for which no upstream tries the request.
    fn refusal_time(&self) -> Duration {
        let trials = self.trials.difference(&self.cleared).count();
        let Some(doublings) = trials.checked_sub(1) else {
            return Duration::ZERO;
        };
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let time = REFUSAL_TIME.saturating_mul(2_u32.saturating_pow(doublings));
        time.min(RETENTION)
    }

    /// Returns how much is known about the request.
    fn evidence(&self) -> usize {
        self.crashes.len() + self.cleared.len() + self.trials.len()
    }

    fn report(&self, fingerprint: u64) -> PoisonReport {
        PoisonReport {
            fingerprint,
            crashes: self.crashes.clone(),
            cleared: self.cleared.clone(),
            trials: self.trials.clone(),
        }
    }
}

/// Returns the position of an upstream in the order in which the upstreams of a service try a refused
/// request again, so that only one of them is at risk at a time.
#[must_use]
pub fn trial_rank<'a>(
    fingerprint: u64,
    own: &UpstreamName,
    upstreams: impl Iterator<Item = &'a UpstreamName>,
) -> u32 {
    let position = |name: &UpstreamName| xxh3_64_with_seed(name.as_str().as_bytes(), fingerprint);
    let own = position(own);
    let earlier = upstreams.filter(|name| position(name) < own).count();
    u32::try_from(earlier).unwrap_or(u32::MAX)
}
