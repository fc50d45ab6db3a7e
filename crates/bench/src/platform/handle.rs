//! Control over a platform stand-in from the same process.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde::Serialize;
use tokio::sync::watch;

use crate::platform::{
    faults::Faults,
    meter::Meter,
    store::{Entry, Gone, Store, WatchAnswer},
};

/// Chance that a crossed answer leaves its older half to the next watch.
const LATER_CHANCE: f64 = 0.3;
/// Bytes of the heads of a request and its answer.
const HEAD_BYTES: u64 = 250;
/// Revisions that a repeated answer goes back.
const REPEATED_REVISIONS: u64 = 5;

/// Shared control over a platform stand-in.
#[derive(Clone)]
pub struct PlatformHandle {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Notified of each write and each change of faults.
    changed: watch::Sender<u64>,
}

struct State {
    store: Store,
    faults: Faults,
    meter: Meter,
    rng: SmallRng,
    bytes: u64,
    watchers: BTreeMap<IpAddr, usize>,
}

/// A watch that is counted until it is dropped.
pub(crate) struct Watcher {
    shared: Arc<Shared>,
    peer: IpAddr,
}

impl Drop for Watcher {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock();
        let watches = state.watchers.entry(self.peer).or_default();
        *watches = watches.saturating_sub(1);
        if *watches == 0 {
            state.watchers.remove(&self.peer);
        }
    }
}

/// Calls that a platform stand-in has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All calls, refused ones too; a waiting watch counts one each second.
    pub calls: u64,
    /// Calls that were refused because the rate was used up.
    pub refused: u64,
    /// Most calls of any window of one second, refused ones too.
    pub peak: usize,
    /// Bytes of requests and answers; those of their heads are estimated.
    pub bytes: u64,
}

impl PlatformHandle {
    /// Returns the control over a fresh stand-in that admits `rate` calls a second.
    #[must_use]
    pub fn new(rate: usize, seed: u64) -> Self {
        let state = State {
            store: Store::default(),
            faults: Faults::default(),
            meter: Meter::new(rate),
            rng: SmallRng::seed_from_u64(seed),
            bytes: 0,
            watchers: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: watch::Sender::new(0),
            }),
        }
    }

    /// Writes a value and returns its revision.
    pub fn publish(&self, key: &str, value: &str) -> u64 {
        let revision = self.shared.state.lock().store.put(key, value);
        self.notify();
        revision
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Arc<str>> {
        let state = self.shared.state.lock();
        let entry = state.store.get(key, u64::MAX);
        entry.map(|entry| Arc::clone(&entry.value))
    }

    /// Changes the faults that are in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state.lock().faults);
        self.notify();
    }

    /// Lets a share of the answers, in percent, stand still at the revision of now.
    pub fn freeze(&self, percent: u8) {
        let revision = self.revision();
        self.set_faults(|faults| {
            faults.stale_at = Some(revision);
            faults.stale_percent = Some(percent);
        });
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.set_faults(|faults| *faults = Faults::default());
    }

    /// Returns the faults that are in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.state.lock().faults.clone()
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.state.lock().store.revision()
    }

    /// Forgets what watches were to be told of changes up to now.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        let revision = state.store.revision();
        state.store.compact(revision);
    }

    /// Returns the calls that were counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let state = self.shared.state.lock();
        Counts {
            calls: state.meter.total(),
            refused: state.meter.refused(),
            peak: state.meter.peak(),
            bytes: state.bytes,
        }
    }

    /// Starts the peak of calls afresh.
    pub fn reset_peak(&self) {
        self.shared.state.lock().meter.reset_peak();
    }

    /// Returns the addresses from which watches are waiting.
    #[must_use]
    pub fn watchers(&self) -> Vec<IpAddr> {
        let state = self.shared.state.lock();
        state.watchers.keys().copied().collect()
    }

    /// Counts a waiting watch of a reader.
    pub(crate) fn watcher(&self, peer: IpAddr) -> Watcher {
        let mut state = self.shared.state.lock();
        *state.watchers.entry(peer).or_default() += 1;
        Watcher {
            shared: Arc::clone(&self.shared),
            peer,
        }
    }

    /// Counts one call, or returns the time after which one is admitted again.
    pub(crate) fn count(&self) -> Result<(), Duration> {
        self.shared.state.lock().meter.count(Instant::now())
    }

    /// Returns whether the address of the stand-in is cut off.
    pub(crate) fn is_cut(&self, local: IpAddr) -> bool {
        self.shared.state.lock().faults.cut.contains(&local)
    }

    /// Returns a receiver that is told of each write and each change of faults.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Returns the value of a key as the faults let it be seen, and the store's revision.
    pub(crate) fn read(&self, key: &str) -> (Option<Entry>, u64) {
        let mut state = self.shared.state.lock();
        let at = state.visible();
        let entry = state.store.get(key, at).cloned();
        let value = entry.as_ref().map_or(0, |entry| entry.value.len() as u64);
        state.bytes += HEAD_BYTES + value;
        (entry, at)
    }

    /// Returns what was written after a revision as the faults let it be seen.
    pub(crate) fn since(&self, after: u64) -> Result<WatchAnswer, Gone> {
        let mut state = self.shared.state.lock();
        let at = state.visible();
        let mut answer = state.store.since(after, at)?;
        if answer.events.is_empty() {
            answer.revision = after;
            return Ok(answer);
        }
        if state.faults.repeated {
            let earlier = after.saturating_sub(REPEATED_REVISIONS);
            answer = state.store.since(earlier, at).unwrap_or(answer);
        }
        if state.faults.crossed {
            cross(&mut answer, after, &mut state.rng);
        }
        let bytes = |event: &Entry| (event.key.len() + event.value.len()) as u64;
        let bytes: u64 = answer.events.iter().map(bytes).sum();
        state.bytes += HEAD_BYTES + bytes;
        Ok(answer)
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|changes| *changes += 1);
    }
}

impl State {
    /// Returns the revision up to which an answer shows the store.
    fn visible(&mut self) -> u64 {
        let newest = self.store.revision();
        let Some(stale_at) = self.faults.stale_at else {
            return newest;
        };
        let percent = self.faults.stale_percent.unwrap_or(100).min(100);
        if self.rng.random_ratio(percent.into(), 100) {
            return stale_at.min(newest);
        }
        newest
    }
}

/// Shuffles the events, and now and then leaves the older half to the next watch.
fn cross(answer: &mut WatchAnswer, after: u64, rng: &mut SmallRng) {
    if answer.events.len() > 1 && rng.random_bool(LATER_CHANCE) {
        answer.events.drain(..answer.events.len() / 2);
        answer.revision = after;
    }
    answer.events.shuffle(rng);
}

#[cfg(test)]
mod tests;
