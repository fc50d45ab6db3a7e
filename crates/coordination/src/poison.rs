//! Poison requests: detection of requests that crash upstreams.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, HashSet, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

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
    /// In flight at one crash; runs alone.
    Suspect,
    /// In flight at two crashes; refused.
    Refused,
}

/// A request in flight on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlight {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Whether no other request ran concurrently.
    pub alone: bool,
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
}

#[derive(Clone, Debug)]
struct Suspect {
    crashes: BTreeSet<u64>,
    cleared: BTreeSet<u64>,
    seen: Instant,
}

/// Number of crashes at which a request is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// Number of crashes recorded for one request above which its history is reset.
const MAX_KEPT_CRASHES: usize = 16;
/// Time after the last crash or report from which a request is no longer suspected.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of completed requests that are recorded.
const MAX_COMPLETED: usize = 8_192;
/// Maximum number of suspects that are recorded.
const MAX_SUSPECTS: usize = 10_000;

impl PoisonTracker {
    /// Returns how a request is treated.
    #[must_use]
    pub fn suspicion(&self, fingerprint: u64, now: Instant) -> Suspicion {
        if self.completed.contains(&fingerprint) {
            return Suspicion::Clear;
        }
        let suspect = self.suspects.get(&fingerprint);
        let suspect = suspect.filter(|suspect| !suspect.is_expired(now));
        match suspect.map_or(0, Suspect::open_crashes) {
            0 => Suspicion::Clear,
            crashes if crashes < CRASHES_TO_REFUSE => Suspicion::Suspect,
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
            |request: &InFlight| self.suspicion(request.fingerprint, now) != Suspicion::Clear;
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
        let fingerprints: BTreeSet<_> = blamed.iter().map(|request| request.fingerprint).collect();
        let blame = |&fingerprint| {
            let suspect = self.entry(fingerprint, now);
            suspect.crashes.insert(crash);
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
        suspect.seen = now;
        Some(suspect.report(fingerprint))
    }

    /// Merges a report from another node and returns whether it contained anything new.
    pub fn merge(&mut self, report: &PoisonReport, now: Instant) -> bool {
        let suspect = self.entry(report.fingerprint, now);
        let known = suspect.crashes.len() + suspect.cleared.len();
        suspect.crashes.extend(&report.crashes);
        suspect.cleared.extend(&report.cleared);
        suspect.crashes.len() + suspect.cleared.len() > known
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
            seen: now,
        });
        if suspect.is_expired(now) || suspect.crashes.len() > MAX_KEPT_CRASHES {
            suspect.crashes.clear();
            suspect.cleared.clear();
        }
        suspect.seen = now;
        suspect
    }

    fn evict_suspects(&mut self, now: Instant) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
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
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen) > RETENTION
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
