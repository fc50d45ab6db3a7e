//! Reader of a store that holds the newest configuration in full; the platform mode decides what it
//! reads.

use std::time::{Duration, Instant};

use log::{debug, info, warn};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use wagtaillever_coordination::{
    ApplyTiming, Backoff, ConfigStore, PlatformMode, PlatformValue, Registrations, StoreChange,
    StoreChanges, StoreFailure, StoreState, UnusableValue, era_of, watch_pause,
};

use crate::{peers::PeersHandle, view::ViewCell};

/// Delays after failed reads. The maximum is below the time after which another node replaces a
/// reader without contact to the platform.
const RETRY_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    limit: Duration::from_millis(800),
};
/// Interval between reads of the registrations by a node that knows no other node yet: a third of
/// the interval at which upstreams renew theirs.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Reader of a store that holds the newest configuration in full.
pub(super) struct StoreReader<S> {
    store: S,
    peers: PeersHandle,
    view: ViewCell,
    mode: watch::Receiver<PlatformMode>,
    registrations: Registrations,
    rng: SmallRng,
    failures: u32,
    /// Time at which the store last answered this node.
    answered_at: Option<Instant>,
    timing: ApplyTiming,
}

impl<S: ConfigStore> StoreReader<S> {
    /// Returns a reader that passes values to the peers service.
    pub(super) fn new(store: S, peers: PeersHandle, view: ViewCell, timing: ApplyTiming) -> Self {
        Self {
            store,
            mode: peers.mode(),
            peers,
            view,
            registrations: Registrations::default(),
            rng: SmallRng::from_os_rng(),
            failures: 0,
            answered_at: None,
            timing,
        }
    }

    /// Reads the store until the peers service ends.
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
                PlatformMode::Vms => self.read_registrations_only().await,
                PlatformMode::Watch => self.read_and_watch().await,
                PlatformMode::Probe => {
                    self.probe().await;
                    continue;
                }
            };
            match result {
                Ok(()) => self.record_success(),
                Err(err) => self.back_off(&err).await,
            }
        }
    }

    async fn record_answer(&mut self) {
        self.answered_at = Some(Instant::now());
        self.peers.record_platform_answer().await;
        self.record_success();
    }

    fn record_success(&mut self) {
        if self.failures > 0 {
            info!(failures = self.failures; "the store answers again");
        }
        self.failures = 0;
    }

    async fn back_off(&mut self, err: &S::Error) {
        self.failures += 1;
        metrics::counter!("platform_reads_total", "result" => "failed").increment(1);
        if self.failures.is_power_of_two() {
            let silent_ms = self.answered_at.map(|at| at.elapsed().as_millis());
            warn!(failures = self.failures, silent_ms:? = silent_ms; "read of the store failed: {err}");
        }
        let mut delay = RETRY_BACKOFF.delay(self.failures, &mut self.rng);
        if let StoreFailure::Busy { after } = S::failure(err) {
            delay += after;
        }
        tokio::select! {
            () = sleep(delay) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
    }

    /// Probes whether the store answers this node, then waits until the next probe is due.
    async fn probe(&mut self) {
        let started = Instant::now();
        let answer = timeout(self.timing.probe_timeout(), self.store.probe()).await;
        let result = match &answer {
            Ok(Ok(())) => "answered",
            Ok(Err(_)) => "failed",
            Err(_) => "timed-out",
        };
        metrics::counter!("platform_probes_total", "result" => result).increment(1);
        match answer {
            Ok(Ok(())) => self.peers.record_platform_probe().await,
            Ok(Err(err)) => debug!("probe of the store failed: {err}"),
            Err(_) => debug!("the store did not answer a probe"),
        }
        let interval = self.timing.probe_interval();
        let wait = interval.mul_f64(self.rng.random_range(0.8..1.0));
        tokio::select! {
            () = sleep(wait.saturating_sub(started.elapsed())) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
    }

    /// Reads only the registrations, which list the other nodes.
    async fn read_registrations_only(&mut self) -> Result<(), S::Error> {
        let asked_at = Instant::now();
        let state = self.store.read_registrations().await?;
        let state = state.with_lowest_revision();
        self.apply_state(state, asked_at).await;
        // There may be no registrations yet shortly after a start.
        tokio::select! {
            () = sleep(LIST_INTERVAL) => {}
            _ = self.mode.changed() => self.mode.mark_unchanged(),
        }
        Ok(())
    }

    /// Reads all values, then watches for changes while the mode is [`PlatformMode::Watch`].
    async fn read_and_watch(&mut self) -> Result<(), S::Error> {
        self.resume_registrations();
        let asked_at = Instant::now();
        let state = self.store.read().await?;
        let mut after = state.revision;
        self.apply_state(state, asked_at).await;
        self.record_answer().await;
        while *self.mode.borrow() == PlatformMode::Watch && !self.is_reread_due() {
            let wait = self.watch_wait();
            let asked_at = Instant::now();
            let changes = self.store.watch(after, wait).await?;
            after = after.max(changes.revision);
            let has_changes = !changes.changes.is_empty();
            self.apply_changes(changes, asked_at).await;
            self.record_answer().await;
            if has_changes {
                sleep(watch_pause(asked_at.elapsed())).await;
            }
        }
        Ok(())
    }

    /// Continues from the list of VMs that other readers last distributed.
    fn resume_registrations(&mut self) {
        let status = self.peers.status();
        let silence = status.platform_age_ms;
        let silence = Duration::from_millis(silence.unwrap_or(0));
        let list = &self.view.load().vms;
        let restored = status.restored_at.map(|at| at.elapsed());
        let own_age = self.answered_at.map(|at| at.elapsed());
        self.registrations =
            Registrations::resume(list, silence, own_age, restored, Instant::now());
    }

    /// Returns whether everything has to be read again because the store was restored.
    fn is_reread_due(&self) -> bool {
        let until = self.registrations.restored_until();
        until.is_some_and(|until| until <= Instant::now())
    }

    /// Returns the time for which the next watch waits for changes.
    fn watch_wait(&self) -> Duration {
        let held = self.registrations.hold_until();
        let ends = held.into_iter().chain(self.registrations.restored_until());
        let Some(until) = ends.min() else {
            return self.timing.watch_wait();
        };
        let left = until.saturating_duration_since(Instant::now());
        left.clamp(Duration::from_millis(1), self.timing.watch_wait())
    }

    async fn apply_state(&mut self, mut state: StoreState, asked_at: Instant) {
        let now = Instant::now();
        let revision = state.revision;
        self.registrations.record_answer(asked_at, now);
        let registrations = std::mem::take(&mut state.registrations);
        if self.registrations.replace(registrations, revision, now) {
            warn!(era = era_of(revision); "the store was restored from an older copy; keeping what it may have forgotten until everything is read again");
            metrics::counter!("store_restorations_total").increment(1);
        }
        let is_restoring = self.registrations.is_restoring(now);
        let orders = state.orders(&self.view.load().drains, is_restoring);
        state.unusable.iter().for_each(report_unusable);
        let mut values: Vec<_> = state.config.map(PlatformValue::Base).into_iter().collect();
        if !orders.is_empty() {
            values.push(PlatformValue::Drains(orders));
        }
        self.forward_values(values, now).await;
    }

    async fn apply_changes(&mut self, changes: StoreChanges, asked_at: Instant) {
        let now = Instant::now();
        self.registrations.record_answer(asked_at, now);
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
                    report_unusable(&unusable);
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
        self.forward_values(values, now).await;
    }

    async fn forward_values(&mut self, mut values: Vec<PlatformValue>, now: Instant) {
        if let Some(list) = self.registrations.changed_list(now) {
            info!(number = list.number, vms = list.vms.len(); "the list of VMs changed");
            values.push(PlatformValue::Vms(list));
        }
        metrics::counter!("platform_reads_total", "result" => "answered").increment(1);
        if !values.is_empty() {
            self.peers.apply_platform_values(values).await;
        }
    }
}

fn report_unusable(unusable: &UnusableValue) {
    let UnusableValue {
        key,
        revision,
        reason,
        ..
    } = unusable;
    warn!(key = key.as_str(), revision; "unusable value in the store: {reason}");
    metrics::counter!("store_values_unusable_total").increment(1);
}
