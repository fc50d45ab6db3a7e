//! Rate limit that an upstream states in its answers.

use std::time::Instant;

use crate::{
    admission::start_log::Allowance,
    statement::{RequestRate, StatedLimit},
};

/// Limit that the upstream stated last. It is in force until an answer states another one or none.
///
/// Answers can arrive in another order than the upstream wrote them. A stricter limit therefore
/// applies at once, while a higher one or none counts only in the answer to a request that was sent
/// after the limit in force was last stated.
#[derive(Clone, Debug, Default)]
pub(super) struct StatedRate {
    in_force: Option<InForce>,
}

#[derive(Clone, Copy, Debug)]
struct InForce {
    rate: RequestRate,
    stated_at: Instant,
}

impl StatedRate {
    /// Records what an answer to a request that was sent at `sent_at` states; returns whether the
    /// limit changed.
    pub(super) fn record(&mut self, limit: StatedLimit, sent_at: Instant, now: Instant) -> bool {
        let rate = match limit {
            StatedLimit::Unusable => return false,
            StatedLimit::Rate(rate) => Some(rate),
            StatedLimit::None => None,
        };
        if let Some(old) = self.in_force {
            let is_stricter = rate.is_some_and(|rate| rate <= old.rate);
            if !is_stricter && sent_at < old.stated_at {
                return false;
            }
        }
        let old = self.rate();
        self.in_force = rate.map(|rate| InForce {
            rate,
            stated_at: now,
        });
        old != rate
    }

    /// Returns the limit in force.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.in_force.map(|in_force| in_force.rate)
    }

    /// Returns how many requests may start; `None` without a limit.
    pub(super) fn allowance(&self) -> Option<Allowance> {
        let rate = self.rate()?;
        Some(Allowance::per_second(rate.per_second()))
    }
}
