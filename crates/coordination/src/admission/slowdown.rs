//! Detection of an upstream that suddenly becomes slow.

use std::time::Duration;

/// Counts consecutive responses that are much slower than usual.
///
/// An upstream that becomes cold without a restart responds several times slower from one request
/// to the next, long before the mean over many responses shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowdownDetector {
    slow_run: u32,
    /// Mean latency before the first slow response of the current run.
    baseline: Duration,
}

/// Multiple of the baseline latency above which a response counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Increase of latency that is always treated as noise.
const LATENCY_NOISE: Duration = Duration::from_millis(2);
/// Number of consecutive slow responses that indicates a slowdown. With exponentially distributed
/// latency one response in fifty is slow, so five in a row occur by chance once in 300 million.
const MIN_SLOW_RUN: u32 = 5;

impl SlowdownDetector {
    /// Records a response and returns whether the upstream has become slow.
    pub(super) fn record_response(&mut self, latency: Duration, baseline: Duration) -> bool {
        if self.slow_run == 0 {
            self.baseline = baseline;
        }
        let threshold = self.baseline.mul_f64(SLOW_FACTOR) + LATENCY_NOISE;
        let is_slow = !self.baseline.is_zero() && latency > threshold;
        self.slow_run = if is_slow { self.slow_run + 1 } else { 0 };
        let is_changed = self.slow_run >= MIN_SLOW_RUN;
        if is_changed {
            self.slow_run = 0;
        }
        is_changed
    }
}
