//! Signs of an upstream that has become slow at once.

use std::time::Duration;

/// Counts answers in a row that are much slower than usual.
///
/// An upstream that loses its warmth without a restart answers several times slower from one
/// request to the next, long before a mean over many answers shows it.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowdownDetector {
    slow: u32,
    /// Usual latency before the first of the slow answers.
    usual: Duration,
}

/// Multiple of the usual latency from which on an answer is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Latency below which no rise matters.
const NOISE: Duration = Duration::from_millis(2);
/// Slow answers in a row that stand for a change of the upstream. Of answers with an exponential
/// tail one in fifty is slow, so that five in a row come by chance once in 300 million.
const SLOW_RUN: u32 = 5;

impl SlowdownDetector {
    /// Takes in an answer and returns whether the upstream has become slow.
    pub(super) fn answered(&mut self, latency: Duration, usual: Duration) -> bool {
        if self.slow == 0 {
            self.usual = usual;
        }
        let limit = self.usual.mul_f64(SLOW_FACTOR) + NOISE;
        let is_slow = !self.usual.is_zero() && latency > limit;
        self.slow = if is_slow { self.slow + 1 } else { 0 };
        let is_changed = self.slow >= SLOW_RUN;
        if is_changed {
            self.slow = 0;
        }
        is_changed
    }
}
