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
