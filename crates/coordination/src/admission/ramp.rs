//! Slow start of a cold upstream.

use std::time::{Duration, Instant};

/// Concurrency limit of a cold upstream, which grows while requests succeed.
#[derive(Clone, Debug, Default)]
pub(super) struct Ramp {
    state: Option<RampState>,
    pause: Option<ConnectPause>,
}

/// Progress of a slow start; a step is the time spent at one limit.
#[derive(Clone, Debug)]
struct RampState {
    started_at: Instant,
    limit: u32,
    step_time: Duration,
    step_started: Instant,
    count: u32,
    latency_sum: f64,
    baseline: Option<f64>,
}

/// Pause after a refused connection, during which no request is sent.
#[derive(Clone, Debug)]
struct ConnectPause {
    until: Instant,
    length: Duration,
}

/// Initial minimum length of a step.
const MIN_STEP: Duration = Duration::from_millis(200);
/// Upper bound of the minimum length of a step, which doubles on each failure.
const MAX_STEP: Duration = Duration::from_secs(2);
/// Multiple of the baseline latency up to which the limit grows. The baseline starts with the
/// latency at the lowest limit.
const LATENCY_TOLERANCE: f64 = 2.0;
/// Increase of latency in seconds that is always treated as noise.
const LATENCY_NOISE_SECS: f64 = 0.002;
/// Weight of a step's mean in the baseline latency.
const BASELINE_WEIGHT: f64 = 0.1;
/// Initial pause after a refused connection.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Maximum pause after repeated refused connections.
const MAX_PAUSE: Duration = Duration::from_millis(500);

impl Ramp {
    /// Starts the ramp at a limit of one.
    pub(super) fn start(&mut self, now: Instant) {
        self.state = Some(RampState {
            started_at: now,
            limit: 1,
            step_time: MIN_STEP,
            step_started: now,
            count: 0,
            latency_sum: 0.0,
            baseline: None,
        });
    }

    /// Ends the ramp, for example because the rate that a cold upstream bears became known.
    pub(super) fn finish(&mut self) {
        self.state = None;
    }

    /// Returns the limit while the upstream is cold.
    pub(super) fn limit(&self) -> Option<u32> {
        self.state.as_ref().map(|state| state.limit)
    }

    /// Returns whether the ramp is still in progress.
    pub(super) fn is_cold(&self) -> bool {
        self.state.is_some()
    }

    /// Returns the remaining pause after a refused connection, if any.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        let pause = self.pause.as_ref()?;
        let left = pause.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records a response to a request.
    pub(super) fn record_response(
        &mut self,
        started: Instant,
        latency: Duration,
        slots: u32,
        now: Instant,
    ) {
        if self
            .pause
            .as_ref()
            .is_none_or(|pause| started >= pause.until)
        {
            self.pause = None;
        }
        let Some(state) = self
            .state
            .as_mut()
            .filter(|state| started >= state.started_at)
        else {
            return;
        };
        state.count += 1;
        state.latency_sum += latency.as_secs_f64();
        if state.count < state.limit
            || now.saturating_duration_since(state.step_started) < state.step_time
        {
            return;
        }
        state.close_step(now);
        if state.limit >= slots {
            self.state = None;
        }
    }

    /// Records a shed or failed request; several failures within one step count once.
    pub(super) fn record_failure(&mut self, started: Instant, now: Instant) {
        let Some(state) = self
            .state
            .as_mut()
            .filter(|state| started >= state.started_at)
        else {
            return;
        };
        if started < state.step_started {
            return;
        }
        state.limit = (state.limit / 2).max(1);
        state.step_time = (state.step_time * 2).min(MAX_STEP);
        state.begin_step(now);
    }

    /// Records a refused connection.
    pub(super) fn record_refusal(&mut self, started: Instant, now: Instant) {
        let length = match &self.pause {
            Some(pause) if started < pause.until => return,
            Some(pause) => (pause.length * 2).min(MAX_PAUSE),
            None => MIN_PAUSE,
        };
        let until = now + length;
        self.pause = Some(ConnectPause { until, length });
    }
}

impl RampState {
    fn close_step(&mut self, now: Instant) {
        let mean = self.latency_sum / f64::from(self.count);
        let baseline = *self.baseline.get_or_insert(mean);
        self.baseline = Some(baseline + BASELINE_WEIGHT * (mean - baseline));
        if mean <= LATENCY_TOLERANCE * baseline + LATENCY_NOISE_SECS {
            self.limit += (self.limit / 4).max(1);
        }
        self.begin_step(now);
    }

    fn begin_step(&mut self, now: Instant) {
        self.step_started = now;
        self.count = 0;
        self.latency_sum = 0.0;
    }
}
