//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Delay between attempts, which doubles with each failure up to a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Delay after the first failure.
    pub first: Duration,
    /// Upper bound of the mean delay.
    pub limit: Duration,
}

impl Backoff {
    /// Returns the delay after `failures` consecutive failures: a random value between 0.5 and 1.5
    /// times the mean.
    pub fn delay(&self, failures: u32, rng: &mut impl Rng) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        let mean = self.first.saturating_mul(1 << doublings).min(self.limit);
        mean.mul_f64(rng.random_range(0.5..1.5))
    }
}

/// Parses a `Retry-After` header given in whole or fractional seconds and caps it at `limit`.
///
/// Returns `None` if the value is not a non-negative number of seconds.
#[must_use]
pub fn retry_after(value: &str, limit: Duration) -> Option<Duration> {
    let seconds = value.trim().parse::<f64>().ok()?;
    let is_valid = seconds.is_finite() && seconds >= 0.0;
    is_valid.then(|| Duration::from_secs_f64(seconds.min(limit.as_secs_f64())))
}
