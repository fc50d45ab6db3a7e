//! Upstreams that must receive no new requests.

use std::time::{Duration, Instant};

/// Time within which a drained or leaving scope must stop receiving new requests.
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Upstreams of a drained or leaving scope, which receive no new requests after a grace period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QuietScope {
    /// Name of the invariant.
    pub(crate) invariant: &'static str,
    /// Indices of the VMs.
    pub(crate) vms: Vec<usize>,
    /// Start of the grace period.
    grace_from: Instant,
    /// End of the grace period, once it is over.
    quiet_since: Option<Instant>,
}

impl QuietScope {
    /// Returns a scope whose grace period starts now.
    pub(crate) fn new(invariant: &'static str, vms: Vec<usize>, now: Instant) -> Self {
        Self {
            invariant,
            vms,
            grace_from: now,
            quiet_since: None,
        }
    }

    /// Updates the scope and returns whether the grace period has just ended. A fault that can
    /// delay propagation restarts the grace period.
    pub(crate) fn advance(&mut self, now: Instant, is_delayed: bool) -> bool {
        if self.quiet_since.is_some() {
            return false;
        }
        if is_delayed {
            self.grace_from = now;
            return false;
        }
        let is_over = now >= self.grace_from + GRACE_PERIOD;
        self.quiet_since = is_over.then_some(now);
        is_over
    }

    /// Returns whether a request that started at the given time violates the invariant.
    pub(crate) fn is_violated_by(&self, start: Instant) -> bool {
        self.quiet_since
            .is_some_and(|quiet_since| start > quiet_since)
    }
}

#[cfg(test)]
mod tests;
