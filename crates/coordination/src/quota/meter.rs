//! Recent rate of requests.

use std::time::{Duration, Instant};

/// Time over which the rate is averaged.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Mean times between requests without a request after which these have probably ended; at random
/// arrivals one in twenty gaps is longer.
const MEAN_GAPS: f64 = 3.0;
/// Shortest time without a request after which they have.
const MIN_END_TIME: Duration = Duration::from_millis(100);

/// Requests per second, averaged exponentially.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    per_second: f64,
    at: Instant,
}

impl Meter {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            per_second: 0.0,
            at: now,
        }
    }

    /// Counts a request. The rate does not exceed `max`, so that it falls soon after a peak.
    pub(super) fn count(&mut self, max: f64, now: Instant) {
        let rate = self.rate(now) + 1.0 / AVERAGE_TIME.as_secs_f64();
        self.per_second = rate.min(max);
        self.at = now;
    }

    /// Returns whether the requests have probably ended: none came for a multiple of the mean time
    /// between two of them.
    pub(super) fn has_ended(&self, now: Instant) -> bool {
        let gap = MEAN_GAPS / self.per_second.max(f64::MIN_POSITIVE);
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        age > gap.max(MIN_END_TIME.as_secs_f64())
    }

    pub(super) fn rate(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second * (-age / AVERAGE_TIME.as_secs_f64()).exp()
    }
}
