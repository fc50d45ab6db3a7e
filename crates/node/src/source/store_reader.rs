//! Reads a store that holds the newest configuration in full, as long as the node is to do so.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use log::{info, warn};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{sync::watch, time::sleep};
use wagtaillever_coordination::{
    Backoff, ConfigStore, PlatformMode, PlatformValue, Registrations, StoreChange, StoreChanges,
    StoreFailure, StoreState, UnusableValue,
};

use crate::{peers::PeersHandle, view::ViewCell};

/// Delays after failed readings; the longest is below the time in which a silent reader is replaced.
const RETRY: Backoff = Backoff {
    first: Duration::from_millis(100),
    limit: Duration::from_millis(800),
};
/// Longest wait of a watch: with the time for its answer well below the 6 s for which an answer of the
/// platform counts as fresh, so that a watch that has gone silent is noticed in time.
const WATCH: Duration = Duration::from_secs(2);
/// Pause between two readings of the registrations by a node that knows no other node yet: a third of
/// the time in which upstreams renew theirs.
const LIST_EVERY: Duration = Duration::from_millis(500);
/// Shortest time between the starts of two watches that find changes, so that a series of them costs
/// few calls: a fifth of the two seconds in which the platform's pages want a change in force.
const WATCH_EVERY: Duration = Duration::from_millis(400);

/// Reader of a store.
pub(super) struct StoreReader<S> {
    store: S,
    peers: PeersHandle,
    view: ViewCell,
    mode: watch::Receiver<PlatformMode>,
    registrations: Registrations,
    rng: SmallRng,
    failures: u32,
}

impl<S: ConfigStore> StoreReader<S> {
    /// Returns a reader that feeds the peers service.
    pub(super) fn new(store: S, peers: PeersHandle, view: ViewCell) -> Self {
        Self {
            store,
            mode: peers.mode(),
            peers,
            view,
            registrations: Registrations::default(),
            rng: SmallRng::from_os_rng(),
            failures: 0,
        }
    }

    /// Reads until the node ends.
    pub(super) async fn run(mut self) {
        loop {
            let mode = *self.mode.borrow_and_update();
            let result = match mode {
                PlatformMode::Off => {
                    if self.mode.changed().await.is_err() {
                        return;
                    }
                    continue;
                }
                PlatformMode::Vms => self.read_list().await,
                PlatformMode::Watch => self.follow().await,
            };
            match result {
                Ok(()) => self.succeeded(),
                Err(err) => self.pause_after(&err).await,
            }
        }
    }

    fn succeeded(&mut self) {
        if self.failures > 0 {
            info!(failures = self.failures; "the store answers again");
        }
        self.failures = 0;
    }

    async fn pause_after(&mut self, err: &S::Error) {
        self.failures += 1;
        metrics::counter!("platform_reads_total", "result" => "failed").increment(1);
        if self.failures.is_power_of_two() {
            warn!(failures = self.failures; "the store gave no usable answer: {err}");
        }
        let mut delay = RETRY.delay(self.failures, &mut self.rng);
        if let StoreFailure::Busy { after } = S::failure(err) {
            delay += after;
        }
        tokio::select! {
            () = sleep(delay) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
    }

    /// Reads the registrations alone, to learn of the other nodes.
    async fn read_list(&mut self) -> Result<(), S::Error> {
        let asked = Instant::now();
        let state = self.store.read_registrations().await?;
        self.apply_state(state, asked).await;
        // An early reading may find no registration yet.
        tokio::select! {
            () = sleep(LIST_EVERY) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
        Ok(())
    }

    /// Reads all, then follows the changes while the node is to read.
    async fn follow(&mut self) -> Result<(), S::Error> {
        self.resume();
        let asked = Instant::now();
        let state = self.store.read().await?;
        let mut after = state.revision;
        self.apply_state(state, asked).await;
        self.peers.platform_answered().await;
        self.succeeded();
        while *self.mode.borrow() == PlatformMode::Watch {
            let wait = self.wait();
            let asked = Instant::now();
            let changes = self.store.watch(after, wait).await?;
            after = after.max(changes.revision);
            let is_changed = !changes.changes.is_empty();
            self.apply_changes(changes, asked).await;
            self.peers.platform_answered().await;
            self.succeeded();
            if is_changed {
                sleep(pause_after_changes(asked.elapsed())).await;
            }
        }
        Ok(())
    }

    /// Starts from what other readers last told.
    fn resume(&mut self) {
        let silence = self.peers.status().platform_age_ms;
        let silence = Duration::from_millis(silence.unwrap_or(0));
        let list = &self.view.load().vms;
        self.registrations = Registrations::resume(list, silence, Instant::now());
    }

    /// Returns how long the next watch waits.
    fn wait(&self) -> Duration {
        let Some(until) = self.registrations.hold_until() else {
            return WATCH;
        };
        let left = until.saturating_duration_since(Instant::now());
        left.clamp(Duration::from_millis(1), WATCH)
    }

    async fn apply_state(&mut self, state: StoreState, asked: Instant) {
        let now = Instant::now();
        let orders = state.orders(&self.view.load().drains);
        self.registrations.record_answer(asked, now);
        self.registrations
            .replace(state.registrations, state.revision, now);
        state.unusable.iter().for_each(report);
        let mut values: Vec<_> = state.config.map(PlatformValue::Base).into_iter().collect();
        if !orders.is_empty() {
            values.push(PlatformValue::Drains(orders));
        }
        self.pass_on(values, now).await;
    }

    async fn apply_changes(&mut self, changes: StoreChanges, asked: Instant) {
        let now = Instant::now();
        self.registrations.record_answer(asked, now);
        let mut config = None;
        let mut orders = Vec::new();
        for change in changes.changes {
            match change {
                StoreChange::Config(newer) => config = Some(newer),
                StoreChange::Registration {
                    name,
                    registration,
                    revision,
                } => self.registrations.apply(&name, registration, revision, now),
                StoreChange::Order(order) => orders.push(order),
                StoreChange::Unusable(unusable) => {
                    report(&unusable);
                    if let Some(name) = &unusable.upstream {
                        self.registrations.apply(name, None, unusable.revision, now);
                    }
                }
            }
        }
        let mut values: Vec<_> = config.map(PlatformValue::Base).into_iter().collect();
        if !orders.is_empty() {
            values.push(PlatformValue::Drains(orders));
        }
        self.pass_on(values, now).await;
    }

    async fn pass_on(&mut self, mut values: Vec<PlatformValue>, now: Instant) {
        if let Some(list) = self.registrations.changed_list(now) {
            info!(number = list.number, vms = list.vms.len(); "the list of VMs changed");
            values.push(PlatformValue::Vms(list));
        }
        metrics::counter!("platform_reads_total", "result" => "answered").increment(1);
        if !values.is_empty() {
            self.peers.platform(values).await;
        }
    }
}

/// Returns the pause after a watch that found changes, which took `elapsed` in all. An answer that is
/// long on its way, such as one with several configurations, is followed by the next call at once, as
/// the next answer grows while nobody asks for it.
fn pause_after_changes(elapsed: Duration) -> Duration {
    WATCH_EVERY.saturating_sub(elapsed)
}

fn report(unusable: &UnusableValue) {
    let UnusableValue {
        key,
        revision,
        reason,
        ..
    } = unusable;
    warn!(key = key.as_str(), revision; "a value of the store can't be used: {reason}");
    metrics::counter!("store_values_unusable_total").increment(1);
}
