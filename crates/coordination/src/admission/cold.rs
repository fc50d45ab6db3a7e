//! Rate limit of a cold upstream whose service configures a cold rate.

use std::time::{Duration, Instant};

use crate::admission::{pace::Spacing, start_log::Allowance};

/// Limits how many requests start within any second while the upstream is cold.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdRate {
    per_second: Option<u32>,
    burst: Option<u32>,
    cold_until: Option<Instant>,
}

impl ColdRate {
    /// Returns the limit of a warm upstream.
    pub(super) fn new(per_second: Option<u32>, burst: Option<u32>) -> Self {
        Self {
            per_second,
            burst,
            cold_until: None,
        }
    }

    /// Changes the rate and the burst.
    pub(super) fn set_rate(&mut self, per_second: Option<u32>, burst: Option<u32>) {
        self.per_second = per_second;
        self.burst = burst;
    }

    /// Sets the time until which the upstream is cold.
    pub(super) fn set_cold_until(&mut self, cold_until: Instant) {
        self.cold_until = Some(cold_until);
    }

    /// Returns the time until the upstream is warm.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        let cold_until = self.cold_until.unwrap_or(now);
        cold_until.saturating_duration_since(now)
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.per_second.is_some() && self.cold_until.is_some_and(|cold_until| now < cold_until)
    }

    /// Returns how many requests may start while the upstream is cold, if its service configures a
    /// rate.
    pub(super) fn cold_allowance(&self) -> Option<Allowance> {
        self.per_second
            .map(|rate| Allowance::per_second(rate.into()))
    }

    /// Returns how starts are spread while the upstream is cold; `None` if they are not.
    pub(super) fn cold_spacing(&self) -> Option<Spacing> {
        let rate = self.per_second.filter(|rate| *rate > 0)?;
        self.burst.map(|burst| Spacing::per_second(rate, burst))
    }

    /// Returns how many requests may start at present; `None` if the upstream is warm.
    pub(super) fn allowance(&self, now: Instant) -> Option<Allowance> {
        self.cold_allowance().filter(|_| self.is_cold(now))
    }
}
