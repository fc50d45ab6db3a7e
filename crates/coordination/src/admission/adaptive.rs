//! Concurrency limit that adapts to latency and failures.

use std::time::{Duration, Instant};

/// Concurrency limit with additive increase while latency stays near its baseline, and
/// multiplicative decrease when latency rises or requests fail.
///
/// The baseline is a moving mean that falls quickly and rises slowly, so it adapts to a lasting
/// change of the workload but not to an overload. If latency does not fall although the limit was
/// lowered, queueing in the upstream is not the cause: the workload has changed, and the baseline
/// is set to the new latency at once.
#[derive(Clone, Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    baseline: Option<f64>,
    window: Window,
    last_decrease: Option<Instant>,
    slow_window: Option<SlowWindow>,
}

/// Mean latency that caused a decrease, and the limit before that decrease.
#[derive(Clone, Copy, Debug)]
struct SlowWindow {
    mean: f64,
    limit: f64,
}

/// Samples since the limit was last evaluated.
#[derive(Clone, Debug, Default)]
struct Window {
    start: Option<Instant>,
    count: u32,
    latency_sum: f64,
    saturated: bool,
}

/// Minimum number of samples in a window.
const MIN_WINDOW_SAMPLES: u32 = 32;
/// Minimum length of a window.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Multiple of the baseline up to which latency counts as normal.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Increase of latency in seconds that is always treated as noise.
const LATENCY_NOISE_SECS: f64 = 0.002;
/// Weight of a window in the baseline when its mean is below the baseline.
const BASELINE_FALL_WEIGHT: f64 = 0.2;
/// Weight of a window in the baseline when its mean is at or above the baseline.
const BASELINE_RISE_WEIGHT: f64 = 0.02;
/// Factor to which the limit must have fallen before latency is expected to fall with it, at least
/// by the square root of this factor.
const CLEAR_DECREASE: f64 = 0.7;
/// Factor applied to the limit after a failure.
const FAILURE_FACTOR: f64 = 0.8;
/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(200);

impl AdaptiveLimit {
    /// Returns a limit that starts at the number of slots.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            baseline: None,
            window: Window::default(),
            last_decrease: None,
            slow_window: None,
        }
    }

    pub(super) fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Changes the upper bound of the limit.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if self.limit >= f64::from(self.slots) {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Records a response that arrived while `active` requests were running.
    pub(super) fn record_response(&mut self, latency: Duration, active: u32, now: Instant) {
        let is_saturated = active >= self.limit();
        let window = &mut self.window;
        let start = *window.start.get_or_insert(now);
        window.count += 1;
        window.latency_sum += latency.as_secs_f64();
        window.saturated |= is_saturated;
        if window.count >= MIN_WINDOW_SAMPLES && now - start >= MIN_WINDOW {
            self.close_window(now);
        }
    }

    /// Records a shed or failed request.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.decrease(FAILURE_FACTOR, now);
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        let mean = window.latency_sum / f64::from(window.count);
        let baseline = self.update_baseline(mean);
        let normal = LATENCY_TOLERANCE * baseline + LATENCY_NOISE_SECS;
        if mean <= normal {
            self.slow_window = None;
            if window.saturated {
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
            return;
        }
        if window.saturated {
            let limit = self.limit;
            self.slow_window.get_or_insert(SlowWindow { mean, limit });
            self.decrease(normal / mean, now);
        }
    }

    /// Updates the baseline with the mean of a window; returns the baseline for judging that mean.
    fn update_baseline(&mut self, mean: f64) -> f64 {
        let baseline = *self.baseline.get_or_insert(mean);
        let weight = if mean < baseline {
            BASELINE_FALL_WEIGHT
        } else if self.has_workload_changed(mean) {
            self.slow_window = None;
            1.0
        } else {
            BASELINE_RISE_WEIGHT
        };
        let next = baseline + weight * (mean - baseline);
        self.baseline = Some(next);
        if weight < 1.0 { baseline } else { next }
    }

    /// Returns whether latency stayed high although the limit fell clearly.
    fn has_workload_changed(&self, mean: f64) -> bool {
        self.slow_window.is_some_and(|slow_window| {
            self.limit <= CLEAR_DECREASE * slow_window.limit
                && mean >= CLEAR_DECREASE.sqrt() * slow_window.mean
        })
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MIN_DECREASE_INTERVAL;
        if self.last_decrease.is_some_and(is_recent) {
            return;
        }
        self.last_decrease = Some(now);
        self.limit = (self.limit * factor.max(0.5)).max(1.0);
    }
}
