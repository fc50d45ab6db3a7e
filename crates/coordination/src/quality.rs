//! Quality of the responses of one upstream, as measured by its sidecar.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Moving means of latency and failure rate of one upstream over all its routes.
///
/// Latency is measured relative to the target latency of the route, so that upstreams of one
/// service can be compared although they run different requests.
#[derive(Clone, Debug, Default)]
pub struct Quality {
    relative_latency: Option<f64>,
    failure_rate: f64,
}

/// Weight of the newest request in the means.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Lower bound of the success rate in the cost.
const MIN_SUCCESS_RATE: f64 = 0.05;
/// Upper bound of a latency relative to its target.
const MAX_RELATIVE_LATENCY: f64 = 20.0;

impl Quality {
    /// Records a response that arrived after `latency`; `target` is the target latency of its
    /// route, or zero if there is none.
    pub fn record_response(&mut self, latency: Duration, target: Duration, is_good: bool) {
        self.failure_rate += SAMPLE_WEIGHT * (f64::from(u8::from(!is_good)) - self.failure_rate);
        if !is_good || target.is_zero() {
            return;
        }
        let relative_latency = latency.div_duration_f64(target).min(MAX_RELATIVE_LATENCY);
        let mean = self.relative_latency.get_or_insert(relative_latency);
        *mean += SAMPLE_WEIGHT * (relative_latency - *mean);
    }

    /// Records a request that was shed or failed.
    pub fn record_failure(&mut self) {
        self.failure_rate += SAMPLE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Returns the mean time until a successful response in thousandths of the target latency, or 0
    /// before the first response with a known target.
    ///
    /// The time includes the attempts that a successful response takes on average.
    #[must_use]
    pub fn cost(&self) -> u32 {
        let Some(relative_latency) = self.relative_latency else {
            return 0;
        };
        let success_rate = (1.0 - self.failure_rate).max(MIN_SUCCESS_RATE);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let cost = (1000.0 * relative_latency / success_rate) as u32;
        cost.max(1)
    }
}
