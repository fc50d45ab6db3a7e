//! Tells the crash of an upstream from a connection that broke.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::poison::InFlight;

/// Collects broken connections until signs of a restart explain them.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    needs_sign: bool,
    broken: VecDeque<(Instant, InFlight)>,
    sign: Option<Instant>,
}

/// Time between a broken connection and a sign that explains it.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which the other connections of a crash may still break.
const SETTLE: Duration = Duration::from_millis(100);
/// Connections that must break together to be a sign themselves.
const TOGETHER: usize = 2;

impl CrashDetector {
    /// Returns a detector. One that needs a sign does not take connections that break together
    /// for a crash: there are upstreams that lose answers and go on.
    #[must_use]
    pub fn new(needs_sign: bool) -> Self {
        Self {
            needs_sign,
            ..Self::default()
        }
    }

    /// Takes in a connection that broke after its request was written.
    pub fn record_broken(&mut self, run: InFlight, now: Instant) {
        self.broken.push_back((now, run));
        self.forget(now);
        let recent = |&&(at, _): &&(Instant, InFlight)| now - at <= SETTLE;
        let is_sign = self.broken.iter().filter(recent).count() >= TOGETHER;
        if is_sign && !self.needs_sign {
            self.record_sign(now);
        }
    }

    /// Takes in a sign of a restart: a refused connection, or an answer of
    /// another process.
    pub fn record_sign(&mut self, now: Instant) {
        self.forget(now);
        self.sign.get_or_insert(now);
    }

    /// Returns whether there is a sign of a restart that was not yet settled.
    #[must_use]
    pub fn has_sign(&self) -> bool {
        self.sign.is_some()
    }

    /// Returns whether a broken connection waits for an explanation.
    #[must_use]
    pub fn has_broken(&self) -> bool {
        !self.broken.is_empty()
    }

    /// Returns the requests that were in flight at a crash, once for each crash.
    pub fn take_crash(&mut self, now: Instant) -> Option<Vec<InFlight>> {
        self.forget(now);
        let sign = self.sign?;
        if now.saturating_duration_since(sign) < SETTLE {
            return None;
        }
        self.sign = None;
        let runs: Vec<_> = self.broken.drain(..).map(|(_, run)| run).collect();
        (!runs.is_empty()).then_some(runs)
    }

    fn forget(&mut self, now: Instant) {
        if self.sign.is_some() {
            return;
        }
        let is_old = |&(at, _): &(Instant, InFlight)| now.saturating_duration_since(at) > WINDOW;
        while self.broken.front().is_some_and(is_old) {
            self.broken.pop_front();
        }
    }
}
