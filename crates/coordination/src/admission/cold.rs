//! Rate limit of a cold upstream whose service configures a cold rate.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Limits how many requests start within any second while the upstream is cold.
///
/// Starts are also counted while the upstream is warm, so that the limit already covers the second
/// in which the upstream is found to be cold.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdRateLimit {
    per_second: Option<u32>,
    cold_until: Option<Instant>,
    recent_starts: VecDeque<Instant>,
}

/// Period that the rate refers to.
const RATE_PERIOD: Duration = Duration::from_secs(1);

impl ColdRateLimit {
    /// Returns the limit of a warm upstream.
    pub(super) fn new(per_second: Option<u32>) -> Self {
        Self {
            per_second,
            ..Self::default()
        }
    }

    /// Records as many starts at one time as the rate allows per second.
    pub(super) fn fill(&mut self, at: Instant) {
        for _ in 0..self.per_second.unwrap_or(0) {
            self.record_start(at);
        }
    }

    /// Changes the rate.
    pub(super) fn set_rate(&mut self, per_second: Option<u32>) {
        self.per_second = per_second;
    }

    /// Sets the time until which the upstream is cold.
    pub(super) fn set_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = Some(cold_until);
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.per_second.is_some() && self.cold_until.is_some_and(|cold_until| now < cold_until)
    }

    /// Returns whether one more request may start.
    pub(super) fn can_start(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.next_start_in(now).is_zero()
    }

    /// Returns the time until one more request may start.
    pub(super) fn next_start_in(&self, now: Instant) -> Duration {
        let Some(rate) = self.per_second.map(|rate| rate as usize) else {
            return Duration::ZERO;
        };
        let Some(index) = self.recent_starts.len().checked_sub(rate) else {
            return Duration::ZERO;
        };
        (self.recent_starts[index] + RATE_PERIOD).saturating_duration_since(now)
    }

    /// Returns how long a request waits behind `ahead` queued requests at this rate.
    pub(super) fn queue_wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(rate) = self.per_second.filter(|_| self.is_cold(now)) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)]
        let rounds = ahead as f64 / f64::from(rate.max(1));
        self.next_start_in(now) + RATE_PERIOD.mul_f64(rounds)
    }

    /// Returns how many requests of a latency run at once at this rate, while the upstream is cold.
    pub(super) fn concurrency(&self, latency: Duration, now: Instant) -> Option<u32> {
        let rate = self.per_second.filter(|_| self.is_cold(now))?;
        let running = f64::from(rate) * latency.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let running = running.ceil() as u32;
        Some(running.max(1))
    }

    /// Records that a request starts.
    pub(super) fn record_start(&mut self, now: Instant) {
        let Some(rate) = self.per_second else { return };
        self.recent_starts.push_back(now);
        while self.recent_starts.len() > rate as usize {
            self.recent_starts.pop_front();
        }
    }
}
