//! Rate that a cold upstream is held to where its service states it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Starts within any second while the upstream is cold.
///
/// Starts are counted while it is warm too, so that the rate already holds for the second in
/// which the upstream turns out to be cold.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdRate {
    per_second: Option<u32>,
    until: Option<Instant>,
    starts: VecDeque<Instant>,
}

/// Span that the rate refers to.
const SPAN: Duration = Duration::from_secs(1);

impl ColdRate {
    /// Returns the rate of an upstream that is warm.
    pub(super) fn new(per_second: Option<u32>) -> Self {
        Self {
            per_second,
            ..Self::default()
        }
    }

    /// Counts as many starts at a moment as the rate allows in a second.
    pub(super) fn fill(&mut self, at: Instant) {
        for _ in 0..self.per_second.unwrap_or(0) {
            self.start(at);
        }
    }

    /// Changes the rate.
    pub(super) fn set_rate(&mut self, per_second: Option<u32>) {
        self.per_second = per_second;
    }

    /// Sets how long the upstream stays cold.
    pub(super) fn set_until(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.per_second.is_some() && self.until.is_some_and(|until| now < until)
    }

    /// Returns whether one more request may start.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.next_in(now).is_zero()
    }

    /// Returns the time until one more request may start.
    pub(super) fn next_in(&self, now: Instant) -> Duration {
        let Some(rate) = self.per_second.map(|rate| rate as usize) else {
            return Duration::ZERO;
        };
        let Some(index) = self.starts.len().checked_sub(rate) else {
            return Duration::ZERO;
        };
        (self.starts[index] + SPAN).saturating_duration_since(now)
    }

    /// Returns the time that `ahead` waiting requests need at the rate.
    pub(super) fn wait_behind(&self, ahead: usize, now: Instant) -> Duration {
        let Some(rate) = self.per_second.filter(|_| self.is_cold(now)) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)]
        let rounds = ahead as f64 / f64::from(rate.max(1));
        self.next_in(now) + SPAN.mul_f64(rounds)
    }

    /// Returns how many requests of a latency run at once at the rate, while it holds.
    pub(super) fn concurrency(&self, latency: Duration, now: Instant) -> Option<u32> {
        let rate = self.per_second.filter(|_| self.is_cold(now))?;
        let running = f64::from(rate) * latency.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let running = running.ceil() as u32;
        Some(running.max(1))
    }

    /// Notes that a request starts.
    pub(super) fn start(&mut self, now: Instant) {
        let Some(rate) = self.per_second else { return };
        self.starts.push_back(now);
        while self.starts.len() > rate as usize {
            self.starts.pop_front();
        }
    }
}
