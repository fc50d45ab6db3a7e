//! Counts and current capacity of a simulated upstream.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::upstream::{HealthMode, UpstreamModel, statement_audit::StatementAudit};

/// Shared state of one simulated upstream, kept across its restarts.
#[derive(Clone)]
pub(crate) struct UpstreamState {
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    model: UpstreamModel,
    rng: SmallRng,
    epoch: u64,
    active: u32,
    connections: u32,
    completions: u32,
    grace_until: Option<Instant>,
    statements: StatementAudit,
    counts: Counts,
}

/// Exact counts of one simulated upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Number of executions by request identifier.
    pub(crate) ran: HashMap<String, u32>,
    /// Identifiers of the sends whose requests were executed.
    pub(crate) sends: HashSet<String>,
    /// Number of requests of other services.
    pub(crate) misrouted: u64,
    /// Number of requests that were shed.
    pub(crate) shed: u64,
    /// Number of requests that started while all slots were in use.
    pub(crate) over_limit: u64,
    /// Number of crashes by overload during a cold start.
    pub(crate) overloads: u64,
    /// Number of crashes caused by a request.
    pub(crate) crashed: u64,
    /// Number of requests that were cancelled before they completed.
    pub(crate) cancelled: u64,
    /// Number of requests in excess of the limit that the upstream stated.
    pub(crate) over_stated: u64,
    /// Number of requests that arrived although the upstream had stated that it is leaving.
    pub(crate) after_leaving: u64,
    /// Highest number of concurrent requests.
    pub(crate) peak: u32,
    /// Start of the last execution.
    pub(crate) last_start: Option<Instant>,
}

/// Request that was received completely.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrival {
    /// Identifier of the request, the same for all its sends.
    pub(crate) request_id: String,
    /// Identifier of the caller's send.
    pub(crate) send_id: String,
    /// Path of the request.
    pub(crate) path: String,
}

/// Decision on a received request.
pub(crate) enum Execution {
    /// The request runs for the given time.
    Run(RunningRequest, Duration),
    /// The request is shed and does not run.
    Shed,
    /// The request overloads the cold upstream, which crashes.
    Overload,
}

/// Running request; dropping it before [`RunningRequest::finish`] counts as a cancellation.
pub(crate) struct RunningRequest {
    state: UpstreamState,
    epoch: u64,
    is_finished: bool,
}

impl UpstreamState {
    /// Returns the state of an upstream that starts cold.
    pub(crate) fn new(model: UpstreamModel, seed: u64) -> Self {
        let inner = Inner {
            completions: 0,
            model,
            rng: SmallRng::seed_from_u64(seed),
            epoch: 0,
            active: 0,
            connections: 0,
            grace_until: None,
            statements: StatementAudit::default(),
            counts: Counts::default(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Returns a copy of the counts.
    pub(crate) fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }

    /// Returns the start of the last execution.
    pub(crate) fn last_start(&self) -> Option<Instant> {
        self.inner.lock().counts.last_start
    }

    /// Returns the model.
    pub(crate) fn model(&self) -> UpstreamModel {
        self.inner.lock().model.clone()
    }

    /// Changes the model while the upstream runs.
    pub(crate) fn change(&self, change: impl FnOnce(&mut UpstreamModel)) {
        change(&mut self.inner.lock().model);
    }

    /// Returns the number of restarts.
    pub(crate) fn epoch(&self) -> u64 {
        self.inner.lock().epoch
    }

    /// Makes the upstream cold without a restart, as after the loss of a cache. It slows down
    /// immediately and can crash by overload only after [`OVERLOAD_GRACE`].
    pub(crate) fn reset_warm_up(&self) {
        let mut inner = self.inner.lock();
        inner.completions = 0;
        inner.grace_until = Some(Instant::now() + OVERLOAD_GRACE);
    }

    /// Completes the warm-up, so that all slots are available immediately.
    #[cfg(test)]
    pub(crate) fn complete_warm_up(&self) {
        let mut inner = self.inner.lock();
        inner.completions = inner.model.slots * inner.model.warm_step.max(1);
    }

    /// Resets the state for a new, cold process without requests or connections.
    pub(crate) fn restart(&self) {
        let mut inner = self.inner.lock();
        inner.epoch += 1;
        inner.active = 0;
        inner.connections = 0;
        inner.completions = 0;
        inner.grace_until = None;
        inner.model.limit_per_s = None;
        inner.model.is_leaving = false;
        inner.statements = StatementAudit::default();
    }

    /// Changes the limit that all answers state from now on.
    pub(crate) fn set_limit(&self, per_second: Option<f64>) {
        let mut inner = self.inner.lock();
        let old = std::mem::replace(&mut inner.model.limit_per_s, per_second);
        if per_second.unwrap_or(f64::INFINITY) < old.unwrap_or(f64::INFINITY) {
            inner.statements.forget_limit();
        }
    }

    /// States in all answers from now on that the upstream is leaving.
    pub(crate) fn leave(&self) {
        self.inner.lock().model.is_leaving = true;
    }

    /// Discards the record of statements, because the node that received them has ended.
    pub(crate) fn forget_statements(&self) {
        self.inner.lock().statements = StatementAudit::default();
    }

    /// Returns the headers in which an answer states the limit and that the upstream is leaving.
    pub(crate) fn state_headers(&self) -> Vec<(&'static str, String)> {
        let mut inner = self.inner.lock();
        let (limit, is_leaving) = (inner.model.limit_per_s, inner.model.is_leaving);
        let now = Instant::now();
        inner.statements.record_answer(limit, is_leaving, now);
        let limit = limit.map(|limit| (LIMIT_HEADER, limit.to_string()));
        let leaving = is_leaving.then(|| (LEAVING_HEADER, "1".to_string()));
        limit.into_iter().chain(leaving).collect()
    }

    /// Counts a crash caused by a request.
    pub(crate) fn count_crash(&self) {
        self.inner.lock().counts.crashed += 1;
    }

    /// Counts a new connection and returns whether it is within the limit.
    pub(crate) fn open_connection(&self) -> bool {
        let mut inner = self.inner.lock();
        inner.connections += 1;
        inner.connections <= inner.model.connections
    }

    /// Removes a connection of the process `epoch` from the count.
    pub(crate) fn close_connection(&self, epoch: u64) {
        let mut inner = self.inner.lock();
        if inner.epoch == epoch {
            inner.connections = inner.connections.saturating_sub(1);
        }
    }

    /// Decides on a request whose body was received completely, and counts its execution.
    pub(crate) fn execute(&self, arrival: &Arrival) -> Execution {
        let mut inner = self.inner.lock();
        if !inner.model.has_path(&arrival.path) {
            inner.counts.misrouted += 1;
        }
        inner.audit_arrival();
        let available_slots = inner.available_slots();
        if inner.is_overloaded(available_slots) {
            inner.counts.overloads += 1;
            return Execution::Overload;
        }
        if inner.active >= inner.model.connections {
            inner.counts.shed += 1;
            return Execution::Shed;
        }
        inner.active += 1;
        inner.count_start(arrival);
        let draw = inner.rng.random::<f64>();
        let time = inner
            .model
            .service_time(draw, inner.active, available_slots);
        let running = RunningRequest {
            state: self.clone(),
            epoch: inner.epoch,
            is_finished: false,
        };
        Execution::Run(running, time)
    }

    /// Returns whether the health endpoint reports the upstream as healthy.
    pub(crate) fn is_reported_healthy(&self) -> bool {
        match self.model().health {
            HealthMode::Honest | HealthMode::AlwaysGood => true,
            HealthMode::AlwaysBad => false,
        }
    }

    /// Returns the number of running requests that the load endpoint reports.
    pub(crate) fn reported_active(&self) -> u32 {
        let inner = self.inner.lock();
        match inner.model.health {
            HealthMode::Honest => inner.active,
            HealthMode::AlwaysGood => 0,
            HealthMode::AlwaysBad => inner.model.slots,
        }
    }
}

/// Header with the requests per second that the upstream accepts.
const LIMIT_HEADER: &str = "x-limit";
/// Header that states that the upstream is leaving.
const LEAVING_HEADER: &str = "x-leaving";
/// Multiple of its available slots at which a cold upstream crashes.
const OVERLOAD_FACTOR: u32 = 3;
/// Time for which an upstream that became cold without a restart does not crash by overload.
const OVERLOAD_GRACE: Duration = Duration::from_secs(1);

impl Inner {
    fn audit_arrival(&mut self) {
        let now = Instant::now();
        let limit = self.model.limit_per_s;
        self.counts.over_stated += u64::from(self.statements.exceeds_limit(limit, now));
        self.counts.after_leaving += u64::from(self.statements.is_after_leaving(now));
    }

    fn is_warm(&self) -> bool {
        self.completions >= self.model.slots * self.model.warm_step.max(1)
    }

    fn is_overloaded(&self, available_slots: u32) -> bool {
        let is_in_grace = self.grace_until.is_some_and(|until| Instant::now() < until);
        !self.is_warm() && !is_in_grace && self.active >= available_slots * OVERLOAD_FACTOR
    }

    fn available_slots(&self) -> u32 {
        let warmed_slots = self.completions / self.model.warm_step.max(1);
        warmed_slots.max(self.model.trickle).min(self.model.slots)
    }

    fn count_start(&mut self, arrival: &Arrival) {
        *self
            .counts
            .ran
            .entry(arrival.request_id.clone())
            .or_default() += 1;
        self.counts.sends.insert(arrival.send_id.clone());
        self.counts.last_start = Some(Instant::now());
        self.counts.peak = self.counts.peak.max(self.active);
        if self.active > self.model.slots {
            self.counts.over_limit += 1;
        }
    }
}

impl RunningRequest {
    /// Completes the execution normally.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
        self.state.inner.lock().completions += 1;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        if inner.epoch != self.epoch {
            return;
        }
        inner.active = inner.active.saturating_sub(1);
        if !self.is_finished {
            inner.counts.cancelled += 1;
        }
    }
}
