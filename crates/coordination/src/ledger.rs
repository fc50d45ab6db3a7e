//! Record of the requests whose idempotency keys this process owns.

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{key::IdempotencyKey, name::ServiceName};

/// Requests with an idempotency key that this process owns.
///
/// A key is accepted only as long as its entry would be retained. An unknown key of acceptable age
/// is therefore new, unless an earlier process of this VM or a previous owner may have accepted it.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    clock: MonotonicClock,
    started_ms: u64,
    entries: HashMap<RequestId, Entry>,
    expiry: VecDeque<(Instant, RequestId, u64)>,
    answer_bytes: usize,
    claim_count: u64,
}

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Time for which an entry is retained.
    pub retention: Duration,
    /// Maximum clock skew between callers and nodes.
    pub skew: Duration,
    /// Maximum number of entries; new keys are rejected once it is reached.
    pub max_entries: usize,
    /// Maximum size of all recorded answers in bytes.
    pub max_bytes: usize,
    /// Maximum size of one recorded answer in bytes.
    pub max_answer: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            skew: Duration::from_secs(2),
            max_entries: 100_000,
            max_bytes: 16 << 20,
            max_answer: 16 << 10,
        }
    }
}

/// Identity of a request, the same for all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Service to which the request goes.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
}

/// Decision on one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request is new. The caller must run it and report its outcome.
    Run,
    /// Another attempt is running.
    InProgress,
    /// The request ran and returned this answer.
    Replay(Arc<RecordedAnswer>),
    /// The request ran; its answer was not recorded.
    Ran,
    /// The request may have run.
    Unknown,
    /// The key was created before this process became its only owner. This attempt did not run;
    /// earlier ones may have.
    Stale,
    /// The creation time of the key is in the future; the request did not run.
    TooNew,
    /// The key is older than the retention time; the request may have run and its entry expired.
    TooOld,
    /// The ledger is full; this attempt did not run.
    Full,
}

/// Outcome of the execution of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// The request ran; the answer, if any, is recorded unless it is too large.
    Ran(Option<RecordedAnswer>),
    /// The request may have run.
    Unknown,
    /// The request certainly did not run.
    DidNotRun,
}

/// Recorded answer that is replayed to later attempts of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers passed on to the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Entry {
    state: State,
    claim: u64,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Done(Option<Arc<RecordedAnswer>>),
    Unknown,
}

impl Ledger {
    /// Returns the ledger of a process that starts now.
    #[must_use]
    pub fn new(settings: LedgerSettings, now: Instant, wall_ms: u64) -> Self {
        Self {
            settings,
            clock: MonotonicClock::new(now, wall_ms),
            started_ms: wall_ms,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            answer_bytes: 0,
            claim_count: 0,
        }
    }

    /// Decides on an attempt of a request. Requests with a key created before `floor_ms` may have
    /// run on a previous owner.
    ///
    /// After [`Claim::Run`] the caller must report the outcome through [`Self::finish`].
    pub fn claim(&mut self, id: &RequestId, floor_ms: u64, now: Instant, wall_ms: u64) -> Claim {
        self.expire(now);
        if let Some(entry) = self.entries.get(id) {
            return entry.decision();
        }
        let clock_ms = self.clock.read(now, wall_ms);
        let skew = millis(self.settings.skew);
        let created_ms = id.key.created_ms();
        if created_ms > clock_ms.saturating_add(skew) {
            return Claim::TooNew;
        }
        let max_age_ms = millis(self.settings.retention).saturating_sub(skew);
        if created_ms < clock_ms.saturating_sub(max_age_ms) {
            return Claim::TooOld;
        }
        if created_ms < self.started_ms.saturating_add(skew).max(floor_ms) {
            return Claim::Stale;
        }
        if self.entries.len() >= self.settings.max_entries {
            return Claim::Full;
        }
        self.insert_running(id, now);
        Claim::Run
    }

    /// Records the outcome of a claimed request.
    ///
    /// # Panics
    ///
    /// Panics if the request was not claimed or its outcome is already recorded.
    pub fn finish(&mut self, id: &RequestId, outcome: ExecutionOutcome) {
        let entry = self
            .entries
            .get_mut(id)
            .expect("finished request must have been claimed");
        assert!(
            matches!(entry.state, State::Running),
            "outcome of a request must be recorded only once"
        );
        match outcome {
            ExecutionOutcome::DidNotRun => {
                self.entries.remove(id);
            }
            ExecutionOutcome::Unknown => entry.state = State::Unknown,
            ExecutionOutcome::Ran(answer) => {
                let answer = answer.filter(|answer| {
                    let bytes = answer.size_bytes();
                    bytes <= self.settings.max_answer
                        && self.answer_bytes + bytes <= self.settings.max_bytes
                });
                self.answer_bytes += answer.as_ref().map_or(0, RecordedAnswer::size_bytes);
                entry.state = State::Done(answer.map(Arc::new));
            }
        }
    }

    /// Adds a request from the ledger of a previous owner; it may have run there.
    pub fn import(&mut self, id: &RequestId, now: Instant) {
        if self.entries.contains_key(id) {
            return;
        }
        self.claim_count += 1;
        let entry = Entry {
            state: State::Unknown,
            claim: self.claim_count,
        };
        self.entries.insert(id.clone(), entry);
        self.schedule_expiry(id, now);
    }

    /// Iterates over the recorded requests.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.entries.keys()
    }

    /// Returns the time in milliseconds since the Unix epoch before which an earlier process of
    /// this VM may have accepted keys.
    #[must_use]
    pub fn floor_ms(&self) -> u64 {
        self.started_ms.saturating_add(millis(self.settings.skew))
    }

    /// Returns the time of the ledger's monotonic clock, in milliseconds since the Unix epoch.
    pub fn wall_ms(&mut self, now: Instant, wall_ms: u64) -> u64 {
        self.clock.read(now, wall_ms)
    }

    /// Returns the maximum clock skew between callers and nodes.
    #[must_use]
    pub fn skew(&self) -> Duration {
        self.settings.skew
    }

    /// Returns the number of recorded requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert_running(&mut self, id: &RequestId, now: Instant) {
        self.claim_count += 1;
        let entry = Entry {
            state: State::Running,
            claim: self.claim_count,
        };
        let previous = self.entries.insert(id.clone(), entry);
        assert!(previous.is_none(), "request must not be claimed twice");
        self.schedule_expiry(id, now);
    }

    /// Schedules the expiry of the newest entry for when no node accepts its key any more.
    fn schedule_expiry(&mut self, id: &RequestId, now: Instant) {
        let expires_at = now + self.settings.retention + self.settings.skew * 2;
        self.expiry
            .push_back((expires_at, id.clone(), self.claim_count));
    }

    /// Removes expired entries, whose keys are now rejected as too old. Running requests are kept.
    fn expire(&mut self, now: Instant) {
        while let Some((expires_at, _, _)) = self.expiry.front() {
            if *expires_at > now {
                return;
            }
            let Some((_, id, claim)) = self.expiry.pop_front() else {
                return;
            };
            self.remove_expired(id, claim, now);
        }
    }

    fn remove_expired(&mut self, id: RequestId, claim: u64, now: Instant) {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.claim == claim) else {
            return;
        };
        match &entry.state {
            State::Running => {
                let expires_at = now + self.settings.retention;
                self.expiry.push_back((expires_at, id, claim));
                return;
            }
            State::Done(Some(answer)) => self.answer_bytes -= answer.size_bytes(),
            State::Done(None) | State::Unknown => {}
        }
        self.entries.remove(&id);
    }
}

impl Entry {
    fn decision(&self) -> Claim {
        match &self.state {
            State::Running => Claim::InProgress,
            State::Done(Some(answer)) => Claim::Replay(Arc::clone(answer)),
            State::Done(None) => Claim::Ran,
            State::Unknown => Claim::Unknown,
        }
    }
}

impl RecordedAnswer {
    fn size_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + headers
    }
}

/// Wall clock that follows forward steps of the system clock and ignores backward steps.
///
/// A backward step would make keys acceptable again whose entries have expired.
#[derive(Clone, Debug)]
struct MonotonicClock {
    anchor: Instant,
    wall_ms: u64,
}

impl MonotonicClock {
    fn new(anchor: Instant, wall_ms: u64) -> Self {
        Self { anchor, wall_ms }
    }

    fn read(&mut self, now: Instant, wall_ms: u64) -> u64 {
        let passed = millis(now.saturating_duration_since(self.anchor));
        let expected = self.wall_ms.saturating_add(passed);
        if wall_ms > expected {
            self.anchor = now;
            self.wall_ms = wall_ms;
        }
        wall_ms.max(expected)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
