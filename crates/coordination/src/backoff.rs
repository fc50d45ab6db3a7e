//! Jittered exponential backoff.

use std::time::Duration;

use rand::Rng;

/// Delays between attempts, doubled with each failure up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub first: Duration,
    /// Longest delay.
    pub limit: Duration,
}

impl Backoff {
    /// Returns the delay after a count of failures, between half and one and a half of its mean.
    pub fn delay(&self, failures: u32, rng: &mut impl Rng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let mean = self.first.saturating_mul(1 << doublings).min(self.limit);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Returns the time that a `Retry-After` header of whole or fractional seconds asks for, `limit` at
/// most; `None` when it is no such time.
#[must_use]
pub fn retry_after(value: &str, limit: Duration) -> Option<Duration> {
    let seconds = value.trim().parse::<f64>().ok()?;
    let is_time = seconds.is_finite() && seconds >= 0.0;
    is_time.then(|| Duration::from_secs_f64(seconds.min(limit.as_secs_f64())))
}
