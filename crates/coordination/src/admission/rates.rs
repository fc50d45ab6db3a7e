//! Limits on how many requests start within a period.

use std::time::{Duration, Instant};

use crate::{
    admission::{
        cold::ColdRate,
        pace::{Pace, Spacing},
        start_log::{Allowance, StartLog},
        stated::StatedRate,
    },
    statement::{RequestRate, StatedLimit},
};

/// Limits on the starts of requests: the cold rate of the service and the limit that the upstream
/// states. Where both apply, a request needs the permission of both.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    cold: ColdRate,
    stated: StatedRate,
    starts: StartLog,
    pace: Pace,
}

impl RateLimits {
    /// Returns the limits of a warm upstream that has stated nothing.
    pub(super) fn new(cold_per_second: Option<u32>, cold_burst: Option<u32>) -> Self {
        Self {
            cold: ColdRate::new(cold_per_second, cold_burst),
            ..Self::default()
        }
    }

    /// Returns the cold rate and the time for which it applies.
    pub(super) fn cold(&self) -> &ColdRate {
        &self.cold
    }

    /// Returns the cold rate, to change it.
    pub(super) fn cold_mut(&mut self) -> &mut ColdRate {
        &mut self.cold
    }

    /// Takes over the starts that were recorded by other limits.
    pub(super) fn inherit_starts(&mut self, earlier: &Self) {
        self.starts.clone_from(&earlier.starts);
        self.pace.clone_from(&earlier.pace);
    }

    /// Records as many starts as the cold rate allows at one time.
    pub(super) fn fill(&mut self, at: Instant) {
        if let Some(spacing) = self.cold.cold_spacing() {
            self.pace.exhaust(spacing, at);
            return;
        }
        let allowance = self.cold.cold_allowance();
        for _ in 0..allowance.map_or(0, Allowance::count) {
            self.starts.record(at);
        }
    }

    /// Records the limit stated in an answer; returns whether the limit in force changed.
    pub(super) fn record_stated(
        &mut self,
        limit: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        self.stated.record(limit, sent_at, now)
    }

    /// Returns the limit that the upstream states.
    pub(super) fn stated(&self) -> Option<RequestRate> {
        self.stated.rate()
    }

    /// Returns the time until the stated limit allows one more request.
    pub(super) fn stated_delay(&self, now: Instant) -> Duration {
        let allowance = self.stated.allowance();
        allowance.map_or(Duration::ZERO, |it| it.next_start_in(&self.starts, now))
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self, now: Instant) {
        self.starts.record(now);
        if let Some(spacing) = self.cold.cold_spacing() {
            self.pace.record(spacing, now);
        }
    }

    /// Returns whether one more request may start that leaves `reserve` starts of the burst to others.
    pub(super) fn can_start(&self, reserve: u32, now: Instant) -> bool {
        self.queue_wait(0, reserve, now).is_zero()
    }

    /// Returns how long a request waits behind `ahead` queued requests, if it leaves `reserve` starts
    /// of the burst to others.
    pub(super) fn queue_wait(&self, ahead: usize, reserve: u32, now: Instant) -> Duration {
        let waits = self
            .allowances(now)
            .map(|it| it.queue_wait(ahead, &self.starts, now));
        let spacing = self.spacing(now);
        let spacing = spacing.map(|it| it.with_reserve(reserve));
        let paced = spacing.map(|it| self.pace.next_start_in(it, ahead, now));
        waits.chain(paced).max().unwrap_or_default()
    }

    /// Returns how many requests of a latency run at once; `None` if no limit applies.
    pub(super) fn concurrency(&self, latency: Duration, now: Instant) -> Option<u32> {
        self.allowances(now).map(|it| it.concurrency(latency)).min()
    }

    /// Returns how starts are spread at present; `None` if they are not.
    pub(super) fn spacing(&self, now: Instant) -> Option<Spacing> {
        self.cold.cold_spacing().filter(|_| self.cold.is_cold(now))
    }

    fn allowances(&self, now: Instant) -> impl Iterator<Item = Allowance> {
        let cold = self.cold.allowance(now);
        cold.into_iter().chain(self.stated.allowance())
    }
}
