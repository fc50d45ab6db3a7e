//! What an ingress knows of one upstream.

use std::time::{Duration, Instant};

use crate::health::Health;

/// Time in which the weight of a reported load falls to a third.
const LOAD_DECAY: Duration = Duration::from_millis(300);

/// Time in which the weight of a reported cost falls to a third.
const COST_DECAY: Duration = Duration::from_secs(3);

/// Load that a sidecar reports with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run on the upstream.
    pub active: u32,
    /// Requests that may run at once.
    pub limit: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Time until a good answer relative to the time wanted, in thousandths; 0 if unknown.
    pub cost: u32,
}

/// What an ingress knows of one upstream.
#[derive(Debug)]
pub(crate) struct Tracked {
    /// Identity of this record; an upstream that comes back later has another one.
    pub(crate) id: u64,
    /// Own calls that have not ended.
    pub(crate) outstanding: u32,
    /// Health, judged by own calls.
    pub(crate) health: Health,
    /// Time until which the upstream asked for no calls, by the time wanted of their routes.
    backoffs: Vec<(Option<u64>, Instant)>,
    limit: Option<u32>,
    others: Option<(u32, Instant)>,
    cost: Option<(f64, Instant)>,
}

impl Tracked {
    pub(crate) fn new(id: u64) -> Self {
        Self {
            id,
            outstanding: 0,
            health: Health::default(),
            backoffs: Vec::new(),
            limit: None,
            others: None,
            cost: None,
        }
    }

    /// Takes in a report; what it counts of own calls is known better here.
    pub(crate) fn report(&mut self, load: ReportedLoad, now: Instant) {
        let total = load.active.saturating_add(load.queued);
        self.limit = Some(load.limit.max(1));
        if load.cost > 0 {
            self.cost = Some((f64::from(load.cost), now));
        }
        self.others = Some((total.saturating_sub(self.outstanding), now));
    }

    pub(crate) fn forget_load(&mut self) {
        self.limit = None;
        self.others = None;
        self.cost = None;
    }

    /// Returns the cost relative to the lowest one of the service; an old report fades, so that an
    /// upstream that was slow is tried again.
    pub(crate) fn cost(&self, lowest: f64, now: Instant) -> f64 {
        let Some((cost, at)) = self.cost else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at);
        let excess = (cost / lowest - 1.0).max(0.0);
        1.0 + excess * (-age.div_duration_f64(COST_DECAY)).exp()
    }

    /// Returns the cost that was reported last.
    pub(crate) fn reported_cost(&self) -> Option<f64> {
        self.cost.map(|(cost, _)| cost)
    }

    /// Notes that the upstream asks for no calls of routes with a time wanted until `until`.
    pub(crate) fn back_off(&mut self, target_ms: Option<u64>, until: Instant, now: Instant) {
        self.backoffs
            .retain(|(known, at)| *known != target_ms && now < *at);
        self.backoffs.push((target_ms, until));
    }

    /// Returns whether the upstream asked for no calls of routes with a time wanted.
    pub(crate) fn is_backed_off(&self, target_ms: Option<u64>, now: Instant) -> bool {
        let mut backoffs = self.backoffs.iter();
        backoffs.any(|(known, until)| *known == target_ms && now < *until)
    }

    /// Returns the limit that was reported last.
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Returns the requests that run or wait, as far as is known.
    pub(crate) fn in_use(&self, now: Instant) -> f64 {
        let others = self.others.map_or(0.0, |(others, at)| {
            let age = now.saturating_duration_since(at);
            f64::from(others) * (-age.div_duration_f64(LOAD_DECAY)).exp()
        });
        f64::from(self.outstanding) + others
    }
}
