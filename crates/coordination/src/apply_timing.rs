//! Times of readers that follow from the bound within which a change must be in force.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::overlay::RELAYS_PER_DOMAIN;

/// Bound within which a change must be in force if no other one is required: the stated target.
const DEFAULT_BOUND: Duration = Duration::from_secs(8);
/// Longest wait of a watch, which the platform's answer may exceed by its own delay.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(2);
/// Highest wave, which nodes at all later positions share.
const MAX_WAVE: u32 = 6;

/// Times that follow from the bound within which a change must be in force at every node that can
/// reach the platform.
///
/// A change that is published right after the last answer to a reader has to be found by another
/// node. The parts of the bound are the time until the last answer is no longer fresh, the waves in
/// which other nodes probe the platform, and the rest for reading and spreading the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ApplyTiming {
    bound: Duration,
}

impl ApplyTiming {
    /// Returns the times for a bound.
    #[must_use]
    pub const fn new(bound: Duration) -> Self {
        Self { bound }
    }

    /// Returns the bound.
    #[must_use]
    pub fn bound(self) -> Duration {
        self.bound
    }

    /// Returns the maximum time for which a watch waits for a change. Its answers show the other
    /// nodes that the platform is being read.
    #[must_use]
    pub fn watch_wait(self) -> Duration {
        self.bound.mul_f64(0.3).min(MAX_WATCH_WAIT)
    }

    /// Returns the age from which a node prepares for the loss of its source of changes.
    pub(crate) fn suspect_age(self) -> Duration {
        self.bound.mul_f64(0.4)
    }

    /// Returns the age from which an answer of the platform is no longer fresh.
    pub(crate) fn fresh_age(self) -> Duration {
        self.bound.mul_f64(0.5)
    }

    /// Returns the time that a new process allows for the first answer to a reader.
    pub(crate) fn first_answer(self) -> Duration {
        self.bound.mul_f64(0.75)
    }

    /// Returns the delay with which a node probes the platform after the last answer is no longer
    /// fresh. Each wave has twice as many nodes as the one before, and takes as long as an answer
    /// needs to become known to the next one.
    pub(crate) fn probe_delay(self, position: usize) -> Duration {
        let wave = (position / RELAYS_PER_DOMAIN).max(1).ilog2().min(MAX_WAVE);
        self.bound.mul_f64(0.04) * wave
    }

    /// Returns whether the platform may know newer states of upstreams than this node, given the age
    /// of its last answer to a reachable reader.
    #[must_use]
    pub fn is_outdated(self, age: Option<Duration>) -> bool {
        age.is_none_or(|age| age >= self.first_answer())
    }

    /// Returns the time between two probes of a node.
    #[must_use]
    pub fn probe_interval(self) -> Duration {
        self.bound.mul_f64(0.75)
    }

    /// Returns the time after which an unanswered probe has failed.
    #[must_use]
    pub fn probe_timeout(self) -> Duration {
        self.bound.mul_f64(0.35)
    }

    /// Returns the shortest time between two answers of the platform that a node reports to the
    /// same neighbour outside of periodic digests.
    pub(crate) fn report_gap(self) -> Duration {
        self.bound.mul_f64(0.15)
    }

    /// Returns the time after which changes are requested from another neighbour.
    pub(crate) fn pull_timeout(self) -> Duration {
        self.bound.mul_f64(0.25)
    }

    /// Returns the time that a reader allows its own watch to show a list of VMs that a neighbour
    /// has announced.
    pub(crate) fn list_delay(self) -> Duration {
        self.bound.mul_f64(0.1)
    }
}

impl Default for ApplyTiming {
    fn default() -> Self {
        Self::new(DEFAULT_BOUND)
    }
}
