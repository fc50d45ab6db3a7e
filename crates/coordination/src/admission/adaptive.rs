//! Limit that follows latency and failures.

use std::time::{Duration, Instant};

/// Additive increase while latency stays near its baseline, decrease in
/// proportion when it rises, and on failures.
///
/// The baseline is a mean that falls fast and rises slowly, so that a lasting
/// change of the work is accepted in time while an overload is not. Latency that
/// doesn't fall with the limit isn't queueing in the upstream: then the work has
/// changed, and the baseline follows at once.
#[derive(Clone, Debug)]
pub(super) struct AdaptiveLimit {
    slots: u32,
    limit: f64,
    baseline: Option<f64>,
    window: Window,
    decreased: Option<Instant>,
    slow: Option<Slow>,
}

/// Latency that led to a decrease, and the limit before it.
#[derive(Clone, Copy, Debug)]
struct Slow {
    mean: f64,
    limit: f64,
}

#[derive(Clone, Debug, Default)]
struct Window {
    start: Option<Instant>,
    count: u32,
    sum: f64,
    full: bool,
}

/// Fewest samples in a window.
const WINDOW_SAMPLES: u32 = 32;
/// Shortest window.
const WINDOW: Duration = Duration::from_millis(100);
/// Multiple of the baseline up to which latency counts as normal.
const TOLERANCE: f64 = 2.0;
/// Latency in seconds below which no rise matters.
const NOISE_SECS: f64 = 0.002;
/// Share of a lower window in the baseline.
const FALL_SHARE: f64 = 0.2;
/// Share of a higher window in the baseline.
const RISE_SHARE: f64 = 0.02;
/// Factor of the limit from which on a fall must show in the latency.
const CLEAR_FALL: f64 = 0.7;
/// Factor of the limit after a failure.
const FAILURE_FACTOR: f64 = 0.8;
/// Shortest time between two decreases.
const DECREASE_EVERY: Duration = Duration::from_millis(200);

impl AdaptiveLimit {
    /// Returns a limit that starts at the slots.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            baseline: None,
            window: Window::default(),
            decreased: None,
            slow: None,
        }
    }

    /// Returns the limit.
    pub(super) fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Changes the highest limit.
    pub(super) fn set_slots(&mut self, slots: u32) {
        if self.limit >= f64::from(self.slots) {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Takes in an answer that came while `active` requests ran.
    pub(super) fn answered(&mut self, latency: Duration, active: u32, now: Instant) {
        let is_full = active >= self.limit();
        let window = &mut self.window;
        let start = *window.start.get_or_insert(now);
        window.count += 1;
        window.sum += latency.as_secs_f64();
        window.full |= is_full;
        if window.count >= WINDOW_SAMPLES && now - start >= WINDOW {
            self.close_window(now);
        }
    }

    /// Takes in a shed or failed request.
    pub(super) fn failed(&mut self, now: Instant) {
        self.decrease(FAILURE_FACTOR, now);
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        let mean = window.sum / f64::from(window.count);
        let baseline = self.follow(mean);
        let normal = TOLERANCE * baseline + NOISE_SECS;
        if mean <= normal {
            self.slow = None;
            if window.full {
                self.limit = (self.limit + 1.0).min(f64::from(self.slots));
            }
            return;
        }
        if window.full {
            let limit = self.limit;
            self.slow.get_or_insert(Slow { mean, limit });
            self.decrease(normal / mean, now);
        }
    }

    /// Returns the baseline and lets it follow the mean of a window.
    fn follow(&mut self, mean: f64) -> f64 {
        let baseline = *self.baseline.get_or_insert(mean);
        let share = if mean < baseline {
            FALL_SHARE
        } else if self.is_other_work(mean) {
            self.slow = None;
            1.0
        } else {
            RISE_SHARE
        };
        let next = baseline + share * (mean - baseline);
        self.baseline = Some(next);
        if share < 1.0 { baseline } else { next }
    }

    /// Returns whether latency stayed up although the limit fell clearly.
    fn is_other_work(&self, mean: f64) -> bool {
        self.slow.is_some_and(|slow| {
            self.limit <= CLEAR_FALL * slow.limit && mean >= CLEAR_FALL.sqrt() * slow.mean
        })
    }

    fn decrease(&mut self, factor: f64, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DECREASE_EVERY;
        if self.decreased.is_some_and(is_recent) {
            return;
        }
        self.decreased = Some(now);
        self.limit = (self.limit * factor.max(0.5)).max(1.0);
    }
}
