//! What the owner of idempotency keys knows of their requests.

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
/// An entry is kept for the retention time, and a key is accepted only while
/// an entry of it would still be kept. So an unknown key is new, unless an
/// earlier process may have known it.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: LedgerSettings,
    clock: Clock,
    started: u64,
    entries: HashMap<RequestId, Entry>,
    expiry: VecDeque<(Instant, RequestId, u64)>,
    bytes: usize,
    claims: u64,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Time for which an entry is kept.
    pub retention: Duration,
    /// Largest difference between the clocks of callers and nodes.
    pub skew: Duration,
    /// Entries that are kept at most; new keys are refused when it is reached.
    pub max_entries: usize,
    /// Bytes of answers that are kept at most.
    pub max_bytes: usize,
    /// Bytes of one answer that is kept.
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

/// Identity of a request over all its sendings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Service to which the request goes.
    pub service: ServiceName,
    /// Idempotency key of the request.
    pub key: IdempotencyKey,
}

/// Decision on a sending of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The request is new; it runs, and its end must be told.
    Run,
    /// Another sending of it runs.
    InProgress,
    /// It ran, and this was the answer.
    Replay(Arc<RecordedAnswer>),
    /// It ran; the answer was not kept.
    Ran,
    /// It may have run.
    Unknown,
    /// The key was minted before this process decided alone; this sending did not run, what
    /// became of earlier ones is not known.
    Stale,
    /// The key was minted in the future; the request did not run.
    TooNew,
    /// The key is so old that it may have run and been forgotten.
    TooOld,
    /// No more keys can be remembered; this sending did not run.
    Full,
}

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionOutcome {
    /// It ran; the answer is kept if it is there and small enough.
    Ran(Option<RecordedAnswer>),
    /// It may have run.
    Unknown,
    /// It is proved that it did not run.
    DidNotRun,
}

/// Answer that is given to resends of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
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
            clock: Clock::new(now, wall_ms),
            started: wall_ms,
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            bytes: 0,
            claims: 0,
        }
    }

    /// Decides on a sending. Keys minted before `floor` may have run at an earlier owner.
    ///
    /// After [`Claim::Run`] the caller must tell the end by [`Self::finish`].
    pub fn claim(&mut self, id: &RequestId, floor: u64, now: Instant, wall_ms: u64) -> Claim {
        self.expire(now);
        if let Some(entry) = self.entries.get(id) {
            return entry.claim();
        }
        let wall = self.clock.read(now, wall_ms);
        let skew = millis(self.settings.skew);
        let minted = id.key.minted_ms();
        if minted > wall.saturating_add(skew) {
            return Claim::TooNew;
        }
        let kept = millis(self.settings.retention).saturating_sub(skew);
        if minted < wall.saturating_sub(kept) {
            return Claim::TooOld;
        }
        if minted < self.started.saturating_add(skew).max(floor) {
            return Claim::Stale;
        }
        if self.entries.len() >= self.settings.max_entries {
            return Claim::Full;
        }
        self.start(id, now);
        Claim::Run
    }

    /// Takes in how a claimed request ended.
    ///
    /// # Panics
    ///
    /// Panics when the request was not claimed or has ended before.
    pub fn finish(&mut self, id: &RequestId, ending: ExecutionOutcome) {
        let entry = self.entries.get_mut(id).expect("the request was claimed");
        assert!(
            matches!(entry.state, State::Running),
            "a request ends only once"
        );
        match ending {
            ExecutionOutcome::DidNotRun => {
                self.entries.remove(id);
            }
            ExecutionOutcome::Unknown => entry.state = State::Unknown,
            ExecutionOutcome::Ran(answer) => {
                let answer = answer.filter(|answer| {
                    let bytes = answer.bytes();
                    bytes <= self.settings.max_answer
                        && self.bytes + bytes <= self.settings.max_bytes
                });
                self.bytes += answer.as_ref().map_or(0, RecordedAnswer::bytes);
                entry.state = State::Done(answer.map(Arc::new));
            }
        }
    }

    /// Takes in a request that another owner knows; it may have run.
    pub fn import(&mut self, id: &RequestId, now: Instant) {
        if self.entries.contains_key(id) {
            return;
        }
        self.claims += 1;
        let entry = Entry {
            state: State::Unknown,
            claim: self.claims,
        };
        self.entries.insert(id.clone(), entry);
        self.keep(id, now);
    }

    /// Iterates over the requests that are remembered.
    pub fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.entries.keys()
    }

    /// Returns the time in milliseconds since the Unix epoch before which an earlier process of
    /// this VM may have accepted keys.
    #[must_use]
    pub fn floor_ms(&self) -> u64 {
        self.started.saturating_add(millis(self.settings.skew))
    }

    /// Returns the time on the ledger's clock, in milliseconds since the Unix epoch.
    pub fn wall_ms(&mut self, now: Instant, wall_ms: u64) -> u64 {
        self.clock.read(now, wall_ms)
    }

    /// Returns the largest difference between clocks.
    #[must_use]
    pub fn skew(&self) -> Duration {
        self.settings.skew
    }

    /// Returns how many requests are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn start(&mut self, id: &RequestId, now: Instant) {
        self.claims += 1;
        let entry = Entry {
            state: State::Running,
            claim: self.claims,
        };
        let before = self.entries.insert(id.clone(), entry);
        assert!(before.is_none(), "a request starts at most once");
        self.keep(id, now);
    }

    /// Keeps the newest claim for as long as any node may accept its key.
    fn keep(&mut self, id: &RequestId, now: Instant) {
        let due = now + self.settings.retention + self.settings.skew * 2;
        self.expiry.push_back((due, id.clone(), self.claims));
    }

    /// Forgets entries whose keys are refused as too old by now; never one that runs.
    fn expire(&mut self, now: Instant) {
        while let Some((due, _, _)) = self.expiry.front() {
            if *due > now {
                return;
            }
            let Some((_, id, claim)) = self.expiry.pop_front() else {
                return;
            };
            self.forget(id, claim, now);
        }
    }

    fn forget(&mut self, id: RequestId, claim: u64, now: Instant) {
        let Some(entry) = self.entries.get(&id).filter(|entry| entry.claim == claim) else {
            return;
        };
        match &entry.state {
            State::Running => {
                let due = now + self.settings.retention;
                self.expiry.push_back((due, id, claim));
                return;
            }
            State::Done(Some(answer)) => self.bytes -= answer.bytes(),
            State::Done(None) | State::Unknown => {}
        }
        self.entries.remove(&id);
    }
}

impl Entry {
    fn claim(&self) -> Claim {
        match &self.state {
            State::Running => Claim::InProgress,
            State::Done(Some(answer)) => Claim::Replay(Arc::clone(answer)),
            State::Done(None) => Claim::Ran,
            State::Unknown => Claim::Unknown,
        }
    }
}

impl RecordedAnswer {
    fn bytes(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + headers
    }
}

/// Wall clock that follows steps forward and ignores steps back.
///
/// A step back must not bring keys back to life whose entries are gone.
#[derive(Clone, Debug)]
struct Clock {
    anchor: Instant,
    wall: u64,
}

impl Clock {
    fn new(anchor: Instant, wall: u64) -> Self {
        Self { anchor, wall }
    }

    fn read(&mut self, now: Instant, wall_ms: u64) -> u64 {
        let passed = millis(now.saturating_duration_since(self.anchor));
        let expected = self.wall.saturating_add(passed);
        if wall_ms > expected {
            self.anchor = now;
            self.wall = wall_ms;
        }
        wall_ms.max(expected)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
