//! What a stand-in counts and what it bears at the moment.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::upstream::{HealthMode, UpstreamModel};

/// Shared state of one stand-in over all its restarts.
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
    warmed: u32,
    spared_until: Option<Instant>,
    counts: Counts,
}

/// Exact counts of one stand-in.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    /// Executions by request.
    pub(crate) ran: HashMap<String, u32>,
    /// Sendings of requests that were executed.
    pub(crate) sends: HashSet<String>,
    /// Requests of another service.
    pub(crate) misrouted: u64,
    /// Requests that were shed.
    pub(crate) shed: u64,
    /// Requests that ran above the slots.
    pub(crate) over_limit: u64,
    /// Times that the upstream fell over under too much load.
    pub(crate) overloads: u64,
    /// Times that a request crashed the upstream.
    pub(crate) crashed: u64,
    /// Requests that were cancelled before they ended.
    pub(crate) cancelled: u64,
    /// Highest number of requests that ran at once.
    pub(crate) peak: u32,
    /// When the last execution started.
    pub(crate) last_start: Option<Instant>,
}

/// A request that arrived whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrival {
    /// Identity of the request over all its sendings.
    pub(crate) request: String,
    /// Identity of the caller's sending.
    pub(crate) sending: String,
    /// Path.
    pub(crate) path: String,
}

/// What becomes of a request that arrived.
pub(crate) enum Execution {
    /// The request runs for that time.
    Run(Running, Duration),
    /// The request is shed and did not run.
    Shed,
    /// The upstream falls over.
    FallOver,
}

/// One request that runs; dropping it before [`Running::finish`] counts as cancelled.
pub(crate) struct Running {
    state: UpstreamState,
    epoch: u64,
    finished: bool,
}

impl UpstreamState {
    /// Returns the state of a cold stand-in.
    pub(crate) fn new(model: UpstreamModel, seed: u64) -> Self {
        let inner = Inner {
            warmed: 0,
            model,
            rng: SmallRng::seed_from_u64(seed),
            epoch: 0,
            active: 0,
            connections: 0,
            spared_until: None,
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

    /// Returns when the last execution started.
    pub(crate) fn last_start(&self) -> Option<Instant> {
        self.inner.lock().counts.last_start
    }

    /// Returns the behaviour.
    pub(crate) fn model(&self) -> UpstreamModel {
        self.inner.lock().model.clone()
    }

    /// Changes the behaviour while the stand-in runs.
    pub(crate) fn change(&self, change: impl FnOnce(&mut UpstreamModel)) {
        change(&mut self.inner.lock().model);
    }

    /// Returns the number of restarts.
    pub(crate) fn epoch(&self) -> u64 {
        self.inner.lock().epoch
    }

    /// Turns the upstream cold without a restart, as after a lost cache. It slows down at once and
    /// falls over when it is still crowded after a while.
    pub(crate) fn reset_warm_up(&self) {
        let mut inner = self.inner.lock();
        inner.warmed = 0;
        inner.spared_until = Some(Instant::now() + SUDDEN_COLD);
    }

    /// Lets the upstream bear its slots at once.
    #[cfg(test)]
    pub(crate) fn turn_warm(&self) {
        let mut inner = self.inner.lock();
        inner.warmed = inner.model.slots * inner.model.warm_step.max(1);
    }

    /// Starts a new process: nothing runs, and the upstream is cold.
    pub(crate) fn restart(&self) {
        let mut inner = self.inner.lock();
        inner.epoch += 1;
        inner.active = 0;
        inner.connections = 0;
        inner.warmed = 0;
        inner.spared_until = None;
    }

    /// Counts a crash that a request caused.
    pub(crate) fn count_crash(&self) {
        self.inner.lock().counts.crashed += 1;
    }

    /// Takes in a connection; `false` when there is one too many.
    pub(crate) fn open_connection(&self) -> bool {
        let mut inner = self.inner.lock();
        inner.connections += 1;
        inner.connections <= inner.model.connections
    }

    /// Forgets a connection of the process `epoch`.
    pub(crate) fn close_connection(&self, epoch: u64) {
        let mut inner = self.inner.lock();
        if inner.epoch == epoch {
            inner.connections = inner.connections.saturating_sub(1);
        }
    }

    /// Decides on a request whose body has arrived whole, and counts its execution.
    pub(crate) fn execute(&self, arrival: &Arrival) -> Execution {
        let mut inner = self.inner.lock();
        if !inner.model.expects(&arrival.path) {
            inner.counts.misrouted += 1;
        }
        let bears = inner.bears();
        if inner.falls_over(bears) {
            inner.counts.overloads += 1;
            return Execution::FallOver;
        }
        if inner.active >= inner.model.connections {
            inner.counts.shed += 1;
            return Execution::Shed;
        }
        inner.active += 1;
        inner.count_start(arrival);
        let draw = inner.rng.random::<f64>();
        let time = inner.model.service_time(draw, inner.active, bears);
        let running = Running {
            state: self.clone(),
            epoch: inner.epoch,
            finished: false,
        };
        Execution::Run(running, time)
    }

    /// Returns what the health endpoint says.
    pub(crate) fn looks_healthy(&self) -> bool {
        match self.model().health {
            HealthMode::Honest | HealthMode::AlwaysGood => true,
            HealthMode::AlwaysBad => false,
        }
    }

    /// Returns what the load endpoint says of running requests.
    pub(crate) fn looks_active(&self) -> u32 {
        let inner = self.inner.lock();
        match inner.model.health {
            HealthMode::Honest => inner.active,
            HealthMode::AlwaysGood => 0,
            HealthMode::AlwaysBad => inner.model.slots,
        }
    }
}

/// A cold upstream falls over under this many times what it bears.
const FALL_OVER: u32 = 3;
/// Time after which an upstream that turned cold without a restart falls over.
const SUDDEN_COLD: Duration = Duration::from_secs(1);

impl Inner {
    fn is_warm(&self) -> bool {
        self.warmed >= self.model.slots * self.model.warm_step.max(1)
    }

    fn falls_over(&self, bears: u32) -> bool {
        let is_spared = self
            .spared_until
            .is_some_and(|until| Instant::now() < until);
        !self.is_warm() && !is_spared && self.active >= bears * FALL_OVER
    }

    fn bears(&self) -> u32 {
        let warm = self.warmed / self.model.warm_step.max(1);
        warm.max(self.model.trickle).min(self.model.slots)
    }

    fn count_start(&mut self, arrival: &Arrival) {
        *self.counts.ran.entry(arrival.request.clone()).or_default() += 1;
        self.counts.sends.insert(arrival.sending.clone());
        self.counts.last_start = Some(Instant::now());
        self.counts.peak = self.counts.peak.max(self.active);
        if self.active > self.model.slots {
            self.counts.over_limit += 1;
        }
    }
}

impl Running {
    /// Ends the execution in the regular way.
    pub(crate) fn finish(mut self) {
        self.finished = true;
        self.state.inner.lock().warmed += 1;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.state.inner.lock();
        if inner.epoch != self.epoch {
            return;
        }
        inner.active = inner.active.saturating_sub(1);
        if !self.finished {
            inner.counts.cancelled += 1;
        }
    }
}
