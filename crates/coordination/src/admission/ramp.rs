//! Slow start of an upstream that is cold.

use std::time::{Duration, Instant};

/// Limit of a cold upstream, grown by what succeeds.
#[derive(Clone, Debug, Default)]
pub(super) struct Ramp {
    climb: Option<Climb>,
    down: Option<Down>,
}

#[derive(Clone, Debug)]
struct Climb {
    began: Instant,
    limit: u32,
    step: Duration,
    since: Instant,
    count: u32,
    sum: f64,
    normal: Option<f64>,
}

/// Connections were refused, so nothing is sent for a while.
#[derive(Clone, Debug)]
struct Down {
    until: Instant,
    pause: Duration,
}

/// Shortest time at one limit.
const STEP: Duration = Duration::from_millis(200);
/// Longest time at one limit that failures lead to.
const MAX_STEP: Duration = Duration::from_secs(2);
/// Multiple of the latency at the lowest limit up to which the limit grows.
const TOLERANCE: f64 = 2.0;
/// Latency in seconds below which no rise matters.
const NOISE_SECS: f64 = 0.002;
/// Share of a step's mean in the normal latency.
const NORMAL_SHARE: f64 = 0.1;
/// First pause after a refused connection.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after refused connections.
const MAX_PAUSE: Duration = Duration::from_millis(500);

impl Ramp {
    /// Starts from the lowest limit.
    pub(super) fn start(&mut self, now: Instant) {
        self.climb = Some(Climb {
            began: now,
            limit: 1,
            step: STEP,
            since: now,
            count: 0,
            sum: 0.0,
            normal: None,
        });
    }

    /// Returns the limit while the upstream is cold.
    pub(super) fn limit(&self) -> Option<u32> {
        self.climb.as_ref().map(|climb| climb.limit)
    }

    /// Returns whether the upstream is cold.
    pub(super) fn is_cold(&self) -> bool {
        self.climb.is_some()
    }

    /// Returns for how long nothing must be sent.
    pub(super) fn down_for(&self, now: Instant) -> Option<Duration> {
        let down = self.down.as_ref()?;
        let left = down.until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Takes in an answer to a request.
    pub(super) fn answered(
        &mut self,
        started: Instant,
        latency: Duration,
        slots: u32,
        now: Instant,
    ) {
        if self.down.as_ref().is_none_or(|down| started >= down.until) {
            self.down = None;
        }
        let Some(climb) = self.climb.as_mut().filter(|climb| started >= climb.began) else {
            return;
        };
        climb.count += 1;
        climb.sum += latency.as_secs_f64();
        if climb.count < climb.limit || now.saturating_duration_since(climb.since) < climb.step {
            return;
        }
        climb.close_step(now);
        if climb.limit >= slots {
            self.climb = None;
        }
    }

    /// Takes in a shed or failed request; those of one step count once.
    pub(super) fn failed(&mut self, started: Instant, now: Instant) {
        let Some(climb) = self.climb.as_mut().filter(|climb| started >= climb.began) else {
            return;
        };
        if started < climb.since {
            return;
        }
        climb.limit = (climb.limit / 2).max(1);
        climb.step = (climb.step * 2).min(MAX_STEP);
        climb.begin_step(now);
    }

    /// Takes in a refused connection.
    pub(super) fn refused(&mut self, started: Instant, now: Instant) {
        let pause = match &self.down {
            Some(down) if started < down.until => return,
            Some(down) => (down.pause * 2).min(MAX_PAUSE),
            None => MIN_PAUSE,
        };
        let until = now + pause;
        self.down = Some(Down { until, pause });
    }
}

impl Climb {
    fn close_step(&mut self, now: Instant) {
        let mean = self.sum / f64::from(self.count);
        let normal = *self.normal.get_or_insert(mean);
        self.normal = Some(normal + NORMAL_SHARE * (mean - normal));
        if mean <= TOLERANCE * normal + NOISE_SECS {
            self.limit += (self.limit / 4).max(1);
        }
        self.begin_step(now);
    }

    fn begin_step(&mut self, now: Instant) {
        self.since = now;
        self.count = 0;
        self.sum = 0.0;
    }
}
