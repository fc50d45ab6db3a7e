//! Upstreams that must get no new work.

use std::time::{Duration, Instant};

/// Time after which what is drained or leaving gets no new work.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Upstreams that must get no new work from some time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Quiet {
    /// Name of the invariant.
    pub(crate) invariant: &'static str,
    /// Positions of the VMs.
    pub(crate) vms: Vec<usize>,
    /// Last moment at which reach was hindered before the upstreams were quiet.
    since: Instant,
    /// Whether the time to settle is over.
    settled: Option<Instant>,
}

impl Quiet {
    /// Returns upstreams whose work must cease after an order of now.
    pub(crate) fn new(invariant: &'static str, vms: Vec<usize>, now: Instant) -> Self {
        Self {
            invariant,
            vms,
            since: now,
            settled: None,
        }
    }

    /// Moves on in time and returns whether the time to settle is just over; while
    /// reach is hindered, it starts afresh.
    pub(crate) fn tick(&mut self, now: Instant, hindered: bool) -> bool {
        if self.settled.is_some() {
            return false;
        }
        if hindered {
            self.since = now;
            return false;
        }
        let is_over = now >= self.since + SETTLE_TIME;
        self.settled = is_over.then_some(now);
        is_over
    }

    /// Returns whether work that started at some time breaks the rule.
    pub(crate) fn is_broken_by(&self, start: Instant) -> bool {
        self.settled.is_some_and(|settled| start > settled)
    }
}

#[cfg(test)]
mod tests;
