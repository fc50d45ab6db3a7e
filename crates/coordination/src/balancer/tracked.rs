//! State that an ingress keeps for each upstream.

use std::time::{Duration, Instant};

use crate::{health::Health, spillover::UpstreamReport};

/// Time constant of the exponential decay of a reported load.
const LOAD_DECAY: Duration = Duration::from_millis(300);

/// Time constant of the exponential decay of a reported cost.
const COST_DECAY: Duration = Duration::from_secs(3);

/// Load reported by a sidecar with a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running on the upstream.
    pub active: u32,
    /// Concurrency limit of the upstream.
    pub limit: u32,
    /// Requests waiting in the queue.
    pub queued: u32,
    /// Time until a successful answer relative to the target latency, in thousandths; 0 if
    /// unknown.
    pub cost: u32,
}

/// State that an ingress keeps for one upstream.
#[derive(Debug)]
pub(crate) struct TrackedUpstream {
    /// Identifier of this record; an upstream that is removed and added again gets a new one.
    pub(crate) id: u64,
    /// Calls sent by this ingress that have not ended.
    pub(crate) outstanding: u32,
    /// Health derived from the calls of this ingress.
    pub(crate) health: Health,
    /// End of the requested backoff by target latency of the routes.
    backoffs: Vec<(Option<u64>, Instant)>,
    limit: Option<u32>,
    other_calls: Option<(u32, Instant)>,
    cost: Option<(f64, Instant)>,
}

impl TrackedUpstream {
    pub(crate) fn new(id: u64) -> Self {
        Self {
            id,
            outstanding: 0,
            health: Health::default(),
            backoffs: Vec::new(),
            limit: None,
            other_calls: None,
            cost: None,
        }
    }

    /// Records a load report. The calls of this ingress are subtracted, because their number is
    /// known exactly from `outstanding`.
    pub(crate) fn record_load(&mut self, load: ReportedLoad, now: Instant) {
        let total = load.active.saturating_add(load.queued);
        self.limit = Some(load.limit.max(1));
        if load.cost > 0 {
            self.cost = Some((f64::from(load.cost), now));
        }
        self.other_calls = Some((total.saturating_sub(self.outstanding), now));
    }

    pub(crate) fn clear_load(&mut self) {
        self.limit = None;
        self.other_calls = None;
        self.cost = None;
    }

    /// Returns the cost relative to the lowest cost in the service. The excess decays with the age
    /// of the report, so that an upstream that was slow gets calls again.
    pub(crate) fn cost(&self, lowest: f64, now: Instant) -> f64 {
        let Some((cost, at)) = self.cost else {
            return 1.0;
        };
        let report_age = now.saturating_duration_since(at);
        let excess = (cost / lowest - 1.0).max(0.0);
        1.0 + excess * (-report_age.div_duration_f64(COST_DECAY)).exp()
    }

    /// Returns the last reported cost.
    pub(crate) fn reported_cost(&self) -> Option<f64> {
        self.cost.map(|(cost, _)| cost)
    }

    /// Records that the upstream requested no calls until `until` from routes with the given target
    /// latency.
    pub(crate) fn back_off(&mut self, target_ms: Option<u64>, until: Instant, now: Instant) {
        self.backoffs
            .retain(|(known, at)| *known != target_ms && now < *at);
        self.backoffs.push((target_ms, until));
    }

    /// Returns whether a backoff is in effect for routes with the given target latency.
    pub(crate) fn is_backed_off(&self, target_ms: Option<u64>, now: Instant) -> bool {
        let mut backoffs = self.backoffs.iter();
        backoffs.any(|(known, until)| *known == target_ms && now < *until)
    }

    /// Returns the last reported concurrency limit.
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit
    }

    /// Returns the last report without any assumption about what changed since, except for the calls
    /// of this ingress; `None` if no report stated a cost.
    pub(crate) fn report(&self, is_backed_off: bool, now: Instant) -> Option<UpstreamReport> {
        let (other_calls, at) = self.other_calls?;
        Some(UpstreamReport {
            in_use: f64::from(other_calls) + f64::from(self.outstanding),
            limit: f64::from(self.limit?),
            cost: self.reported_cost()?,
            age: now.saturating_duration_since(at),
            is_backed_off,
        })
    }

    /// Returns the estimated number of requests that run or wait on the upstream.
    pub(crate) fn in_use(&self, now: Instant) -> f64 {
        let other_calls = self.other_calls.map_or(0.0, |(other_calls, at)| {
            let report_age = now.saturating_duration_since(at);
            f64::from(other_calls) * (-report_age.div_duration_f64(LOAD_DECAY)).exp()
        });
        f64::from(self.outstanding) + other_calls
    }
}
