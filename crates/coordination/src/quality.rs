//! How well one upstream answers, as its sidecar sees it.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Latency and failures of one upstream, as a moving mean over all its routes.
///
/// Latency is taken relative to the time within which callers of the route want the answer, so
/// that upstreams of one service can be compared though their requests differ.
#[derive(Clone, Debug, Default)]
pub struct Quality {
    pace: Option<f64>,
    failures: f64,
}

/// Share of the newest request in the means.
const SHARE: f64 = 0.1;
/// Lowest share of good answers that is counted with.
const MIN_GOOD: f64 = 0.05;
/// Longest latency that counts, relative to the time wanted.
const MAX_PACE: f64 = 20.0;

impl Quality {
    /// Learns from an answer that came after `latency`; `target` is the time wanted.
    pub fn record_response(&mut self, latency: Duration, target: Duration, is_good: bool) {
        self.failures += SHARE * (f64::from(u8::from(!is_good)) - self.failures);
        if !is_good || target.is_zero() {
            return;
        }
        let pace = latency.div_duration_f64(target).min(MAX_PACE);
        let mean = self.pace.get_or_insert(pace);
        *mean += SHARE * (pace - *mean);
    }

    /// Learns from a request that got no answer.
    pub fn record_failure(&mut self) {
        self.failures += SHARE * (1.0 - self.failures);
    }

    /// Returns the time until a good answer relative to the time wanted, in thousandths, counting
    /// the attempts that a good answer takes on average; 0 while nothing is known.
    #[must_use]
    pub fn cost(&self) -> u32 {
        let Some(pace) = self.pace else { return 0 };
        let good = (1.0 - self.failures).max(MIN_GOOD);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let cost = (1000.0 * pace / good) as u32;
        cost.max(1)
    }
}
