//! Distinguishes a crash of an upstream from a single broken connection.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::poison::InFlight;

/// Collects broken connections until a sign of a restart attributes them to a crash.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    needs_sign: bool,
    broken: VecDeque<(Instant, InFlight)>,
    sign: Option<Instant>,
}

/// Longest time between a broken connection and the restart sign that explains it.
const SIGN_WINDOW: Duration = Duration::from_secs(1);
/// Time within which the connections of one crash break.
const BREAK_WINDOW: Duration = Duration::from_millis(100);
/// Number of connections that must break together to count as a sign of a restart.
const MIN_BROKEN: usize = 2;

impl CrashDetector {
    /// Creates a detector.
    ///
    /// With `needs_sign`, connections that break together don't count as a crash, because some
    /// upstreams reset connections and keep running.
    #[must_use]
    pub fn new(needs_sign: bool) -> Self {
        Self {
            needs_sign,
            ..Self::default()
        }
    }

    /// Records a connection that broke after its request was written.
    pub fn record_broken(&mut self, request: InFlight, now: Instant) {
        self.broken.push_back((now, request));
        self.expire(now);
        let recent = |&&(at, _): &&(Instant, InFlight)| now - at <= BREAK_WINDOW;
        let is_sign = self.broken.iter().filter(recent).count() >= MIN_BROKEN;
        if is_sign && !self.needs_sign {
            self.record_sign(now);
        }
    }

    /// Records a sign of a restart: a refused connection or an answer from a different process.
    pub fn record_sign(&mut self, now: Instant) {
        self.expire(now);
        self.sign.get_or_insert(now);
    }

    /// Returns whether a sign of a restart was recorded and its crash not yet taken.
    #[must_use]
    pub fn has_sign(&self) -> bool {
        self.sign.is_some()
    }

    /// Returns whether broken connections are not yet attributed to a crash.
    #[must_use]
    pub fn has_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Returns the requests that were in flight at a crash, once per crash.
    ///
    /// Returns `None` until the connections of the crash have had time to break.
    pub fn take_crash(&mut self, now: Instant) -> Option<Vec<InFlight>> {
        self.expire(now);
        let sign = self.sign?;
        if now.saturating_duration_since(sign) < BREAK_WINDOW {
            return None;
        }
        self.sign = None;
        let requests: Vec<_> = self.broken.drain(..).map(|(_, request)| request).collect();
        (!requests.is_empty()).then_some(requests)
    }

    fn expire(&mut self, now: Instant) {
        if self.sign.is_some() {
            return;
        }
        let is_expired =
            |&(at, _): &(Instant, InFlight)| now.saturating_duration_since(at) > SIGN_WINDOW;
        while self.broken.front().is_some_and(is_expired) {
            self.broken.pop_front();
        }
    }
}
