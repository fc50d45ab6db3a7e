//! Spreads the starts of requests evenly over time.

use std::time::{Duration, Instant};

/// Distance between starts, and how many of them may come at once after a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Spacing {
    interval: Duration,
    burst: u32,
}

impl Spacing {
    /// Returns the spacing of a rate per second.
    ///
    /// # Panics
    ///
    /// Panics when the rate is zero.
    pub(super) fn per_second(rate: u32, burst: u32) -> Self {
        Self {
            interval: Duration::from_secs(1) / rate,
            burst: burst.max(1),
        }
    }

    /// Returns the burst.
    pub(super) fn burst(self) -> u32 {
        self.burst
    }

    /// Returns the spacing for requests that must leave `reserve` starts of the burst to others.
    pub(super) fn with_reserve(self, reserve: u32) -> Self {
        Self {
            burst: self.burst.saturating_sub(reserve).max(1),
            ..self
        }
    }

    fn tolerance(self) -> Duration {
        self.interval * (self.burst - 1)
    }
}

/// Generic cell rate algorithm: within any time `t`, at most `burst + t / interval` requests start.
///
/// A limit on the starts within a sliding second alone lets the first requests of each second take
/// all of it, whatever their rank, and then stops all others until the second is over.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    /// Time at which the next start would be due if all had kept the interval.
    due: Option<Instant>,
}

impl Pace {
    /// Assumes that no further start was allowed at `now`, because an earlier process may have used
    /// up the burst.
    pub(super) fn exhaust(&mut self, spacing: Spacing, now: Instant) {
        self.due = Some(now + spacing.tolerance() + spacing.interval);
    }

    /// Records that a request starts. Starts above the rate, which count while no limit applies, use
    /// up the burst but no more.
    pub(super) fn record(&mut self, spacing: Spacing, now: Instant) {
        let last = now + spacing.tolerance();
        let due = self.due.map_or(now, |due| due.clamp(now, last));
        self.due = Some(due + spacing.interval);
    }

    /// Returns the time until one more request may start behind `ahead` queued ones.
    pub(super) fn next_start_in(&self, spacing: Spacing, ahead: usize, now: Instant) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let due = self.due.map_or(now, |due| due.max(now));
        let due = due + spacing.interval.saturating_mul(ahead);
        due.saturating_duration_since(now + spacing.tolerance())
    }
}
