//! Requests that were in flight when an upstream crashed.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// What is known of requests that may crash upstreams, by their fingerprint.
///
/// Merging reports is commutative, associative and idempotent, so it doesn't
/// matter how often and in which order nodes exchange them.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    suspects: BTreeMap<u64, Suspect>,
    good: HashSet<u64>,
    good_order: VecDeque<u64>,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It runs like any other.
    Clear,
    /// It was in flight at one crash and runs alone.
    Suspect,
    /// It was in flight at two crashes and is refused.
    Refused,
}

/// A request that is in flight on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether nothing else ran beside it.
    pub alone: bool,
}

/// What a node tells others of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Crashes at which the request was in flight.
    pub crashes: BTreeSet<u64>,
    /// Crashes of which the request was cleared by running whole.
    pub cleared: BTreeSet<u64>,
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    seen: Instant,
}

/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;
/// Crashes that are remembered of one request.
const KEPT_CRASHES: usize = 16;
/// Time for which a request is remembered.
const KEPT: Duration = Duration::from_secs(600);
/// Requests that ran whole and are remembered.
const MAX_GOOD: usize = 8_192;
/// Requests that are remembered.
const MAX_SUSPECTS: usize = 10_000;

impl PoisonTracker {
    /// Returns how a request is treated.
    #[must_use]
    pub fn suspicion(&self, fingerprint: u64, now: Instant) -> Suspicion {
        if self.good.contains(&fingerprint) {
            return Suspicion::Clear;
        }
        let suspect = self.suspects.get(&fingerprint);
        let suspect = suspect.filter(|suspect| !suspect.is_old(now));
        match suspect.map_or(0, Suspect::open_crashes) {
            0 => Suspicion::Clear,
            crashes if crashes < MAX_CRASHES => Suspicion::Suspect,
            _ => Suspicion::Refused,
        }
    }

    /// Takes in a crash and returns reports on the requests that are blamed.
    ///
    /// A request that ran alone is the cause. Otherwise suspects are blamed if
    /// there are any, so that no request that merely ran beside them is, and
    /// last those that have not run whole here before. Requests that are sent
    /// again and again share a fingerprint: what ran whole is not suspected,
    /// until it is in flight at a crash and doesn't run whole again.
    pub fn record_crash(
        &mut self,
        crash: u64,
        runs: &[InFlight],
        now: Instant,
    ) -> Vec<PoisonReport> {
        let is_good = |run: &&InFlight| self.good.contains(&run.fingerprint);
        let unproven: Vec<_> = runs.iter().filter(|run| !is_good(run)).copied().collect();
        for run in runs {
            self.good.remove(&run.fingerprint);
        }
        let runs = if unproven.is_empty() { runs } else { &unproven };
        let is_suspect = |run: &InFlight| self.suspicion(run.fingerprint, now) != Suspicion::Clear;
        let mut blamed: Vec<_> = runs.iter().filter(|run| run.alone).collect();
        if blamed.is_empty() {
            blamed = runs.iter().filter(|run| is_suspect(run)).collect();
        }
        if blamed.is_empty() {
            blamed = runs.iter().collect();
        }
        let fingerprints: BTreeSet<_> = blamed.iter().map(|run| run.fingerprint).collect();
        let blame = |&fingerprint| {
            let suspect = self.entry(fingerprint, now);
            suspect.crashes.insert(crash);
            suspect.report(fingerprint)
        };
        fingerprints.iter().map(blame).collect()
    }

    /// Clears a request that ran whole; returns a report if it was suspected.
    pub fn record_completion(&mut self, fingerprint: u64, now: Instant) -> Option<PoisonReport> {
        self.remember_good(fingerprint);
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if suspect.open_crashes() == 0 {
            return None;
        }
        suspect.cleared.extend(&suspect.crashes);
        suspect.seen = now;
        Some(suspect.report(fingerprint))
    }

    /// Merges the report of another node; returns whether anything was new.
    pub fn merge(&mut self, report: &PoisonReport, now: Instant) -> bool {
        let suspect = self.entry(report.fingerprint, now);
        let before = suspect.crashes.len() + suspect.cleared.len();
        suspect.crashes.extend(&report.crashes);
        suspect.cleared.extend(&report.cleared);
        suspect.crashes.len() + suspect.cleared.len() > before
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn remember_good(&mut self, fingerprint: u64) {
        if !self.good.insert(fingerprint) {
            return;
        }
        self.good_order.push_back(fingerprint);
        if self.good_order.len() > MAX_GOOD
            && let Some(oldest) = self.good_order.pop_front()
        {
            self.good.remove(&oldest);
        }
    }

    fn entry(&mut self, fingerprint: u64, now: Instant) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: BTreeSet::new(),
            cleared: BTreeSet::new(),
            seen: now,
        });
        if suspect.is_old(now) || suspect.crashes.len() > KEPT_CRASHES {
            suspect.crashes.clear();
            suspect.cleared.clear();
        }
        suspect.seen = now;
        suspect
    }

    fn make_room(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_old(now));
        while self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.seen);
            let Some((&oldest, _)) = oldest else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    fn is_old(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen) > KEPT
    }

    fn open_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    fn report(&self, fingerprint: u64) -> PoisonReport {
        PoisonReport {
            fingerprint,
            crashes: self.crashes.clone(),
            cleared: self.cleared.clone(),
        }
    }
}
