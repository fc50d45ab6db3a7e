//! Handle that controls a simulated platform from the same process.

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
    rate_limiter::RateLimiter,
    store::{Entry, Gone, Store, WatchAnswer},
};

/// Probability that a crossed response defers the older half of its events to the next watch.
const DEFER_PROBABILITY: f64 = 0.3;
/// Estimated bytes of the heads of a request and its response.
const HEAD_BYTES: u64 = 250;
/// Number of earlier revisions whose events a repeated response includes.
const REPEATED_REVISIONS: u64 = 5;

/// Shared handle of a simulated platform.
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
    limiter: RateLimiter,
    rng: SmallRng,
    bytes: u64,
    watchers: BTreeMap<IpAddr, usize>,
}

/// Guard that counts a waiting watch until it is dropped.
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

/// Calls and bytes counted by a simulated platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Number of calls, including refused ones; a waiting watch counts once per second.
    pub calls: u64,
    /// Number of calls refused because the rate was exceeded.
    pub refused: u64,
    /// Highest number of calls in any window of one second, including refused ones.
    pub peak: usize,
    /// Bytes of requests and responses; the size of their heads is estimated.
    pub bytes: u64,
}

impl PlatformHandle {
    /// Returns the handle of an empty simulated platform that admits `rate` calls per second.
    #[must_use]
    pub fn new(rate: usize, seed: u64) -> Self {
        let state = State {
            store: Store::default(),
            faults: Faults::default(),
            limiter: RateLimiter::new(rate),
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

    /// Changes the faults in effect.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state.lock().faults);
        self.notify();
    }

    /// Makes a percentage of the responses stale, at the current revision.
    pub fn freeze(&self, percent: u8) {
        let revision = self.revision();
        self.set_faults(|faults| {
            faults.stale_at = Some(revision);
            faults.stale_percent = Some(percent);
        });
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.set_faults(|faults| *faults = Faults::default());
    }

    /// Returns the faults in effect.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.shared.state.lock().faults.clone()
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.state.lock().store.revision()
    }

    /// Discards the watch history up to the current revision.
    pub fn compact(&self) {
        let mut state = self.shared.state.lock();
        let revision = state.store.revision();
        state.store.compact(revision);
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let state = self.shared.state.lock();
        Counts {
            calls: state.limiter.total(),
            refused: state.limiter.refused(),
            peak: state.limiter.peak(),
            bytes: state.bytes,
        }
    }

    /// Resets the peak of calls to zero.
    pub fn reset_peak(&self) {
        self.shared.state.lock().limiter.reset_peak();
    }

    /// Returns the addresses of clients with waiting watches.
    #[must_use]
    pub fn watchers(&self) -> Vec<IpAddr> {
        let state = self.shared.state.lock();
        state.watchers.keys().copied().collect()
    }

    /// Counts a waiting watch of a client until the returned guard is dropped.
    pub(crate) fn watcher(&self, peer: IpAddr) -> Watcher {
        let mut state = self.shared.state.lock();
        *state.watchers.entry(peer).or_default() += 1;
        Watcher {
            shared: Arc::clone(&self.shared),
            peer,
        }
    }

    /// Counts one call; if the rate is exceeded, returns the time until the next can be admitted.
    pub(crate) fn count(&self) -> Result<(), Duration> {
        self.shared.state.lock().limiter.count(Instant::now())
    }

    /// Returns whether an address of the simulated platform is cut off.
    pub(crate) fn is_cut(&self, local: IpAddr) -> bool {
        self.shared.state.lock().faults.cut.contains(&local)
    }

    /// Returns a receiver that is notified of each write and each change of faults.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Returns the value of a key and the revision at which it was read, with stale reads applied.
    pub(crate) fn read(&self, key: &str) -> (Option<Entry>, u64) {
        let mut state = self.shared.state.lock();
        let at = state.visible_revision();
        let entry = state.store.get(key, at).cloned();
        let value = entry.as_ref().map_or(0, |entry| entry.value.len() as u64);
        state.bytes += HEAD_BYTES + value;
        (entry, at)
    }

    /// Returns the changes after a revision, with the faults in effect applied.
    pub(crate) fn since(&self, after: u64) -> Result<WatchAnswer, Gone> {
        let mut state = self.shared.state.lock();
        let at = state.visible_revision();
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
            reorder_events(&mut answer, after, &mut state.rng);
        }
        let event_bytes = |event: &Entry| (event.key.len() + event.value.len()) as u64;
        let bytes: u64 = answer.events.iter().map(event_bytes).sum();
        state.bytes += HEAD_BYTES + bytes;
        Ok(answer)
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|changes| *changes += 1);
    }
}

impl State {
    /// Returns the revision of the store that a response shows.
    fn visible_revision(&mut self) -> u64 {
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

/// Shuffles the events, and at random defers the older half to the next watch.
fn reorder_events(answer: &mut WatchAnswer, after: u64, rng: &mut SmallRng) {
    if answer.events.len() > 1 && rng.random_bool(DEFER_PROBABILITY) {
        answer.events.drain(..answer.events.len() / 2);
        answer.revision = after;
    }
    answer.events.shuffle(rng);
}

#[cfg(test)]
mod tests;
