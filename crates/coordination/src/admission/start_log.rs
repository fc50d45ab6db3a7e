//! Times at which requests were started, and limits on how many start within a period.

use std::{collections::VecDeque, time::Duration, time::Instant};

/// Times at which requests were started.
///
/// Starts are recorded while no limit applies as well, so that a limit already covers the period in
/// which it becomes known.
#[derive(Clone, Debug, Default)]
pub(super) struct StartLog {
    starts: VecDeque<Instant>,
}

/// Number of requests that may start within any period of a length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Allowance {
    count: usize,
    period: Duration,
}

/// Time for which starts are kept. No period is longer, except those in which a single request may
/// start.
const KEPT_TIME: Duration = Duration::from_secs(2);
/// Lowest rate per second. Only an answer tells that a limit has risen, so some request must start
/// whatever the limit.
const MIN_RATE: f64 = 0.2;

impl StartLog {
    /// Records that a request starts.
    pub(super) fn record(&mut self, now: Instant) {
        self.starts.push_back(now);
        let is_old = |start: &Instant| now.saturating_duration_since(*start) > KEPT_TIME;
        while self.starts.len() > 1 && self.starts.front().is_some_and(is_old) {
            self.starts.pop_front();
        }
    }
}

impl Allowance {
    /// Returns the allowance of a rate. A period is about a second or, at rates below one, the time
    /// for a single request.
    pub(super) fn per_second(rate: f64) -> Self {
        let rate = rate.max(MIN_RATE);
        let count = rate.ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        Self {
            count: count as usize,
            period: Duration::from_secs_f64(count / rate),
        }
    }

    /// Returns how many requests may start within a period.
    pub(super) fn count(self) -> usize {
        self.count
    }

    /// Returns the time until one more request may start.
    pub(super) fn next_start_in(self, log: &StartLog, now: Instant) -> Duration {
        let Some(index) = log.starts.len().checked_sub(self.count) else {
            return Duration::ZERO;
        };
        (log.starts[index] + self.period).saturating_duration_since(now)
    }

    /// Returns how long a request waits behind `ahead` queued requests.
    pub(super) fn queue_wait(self, ahead: usize, log: &StartLog, now: Instant) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let rounds = ahead as f64 / self.count as f64;
        self.next_start_in(log, now) + self.period.mul_f64(rounds)
    }

    /// Returns how many requests of a latency run at once.
    pub(super) fn concurrency(self, latency: Duration) -> u32 {
        #[allow(clippy::cast_precision_loss)]
        let running = self.count as f64 * latency.div_duration_f64(self.period);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let running = running.ceil() as u32;
        running.max(1)
    }
}
