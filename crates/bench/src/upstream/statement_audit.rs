//! Checks that requests respect what the upstream stated in its answers.

#[cfg(test)]
mod tests;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// What an upstream stated in its answers, and the requests that arrived since.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementAudit {
    limit_stated: Option<Instant>,
    leaving_stated: Option<Instant>,
    arrivals: VecDeque<Instant>,
}

/// Time after the first statement from which requests count for the limit, by the users' rules.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Period over which requests are compared with the limit, by the users' rules.
const LIMIT_PERIOD: Duration = Duration::from_secs(4);
/// Factor by which requests may exceed the limit, by the users' rules.
const LIMIT_OVERAGE: f64 = 1.5;
/// Requests that may exceed the limit in addition, by the users' rules.
const LIMIT_SLACK: f64 = 5.0;
/// Time after the first statement of leaving within which requests may still arrive, by the users'
/// rules.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

impl StatementAudit {
    /// Records what an answer states.
    pub(super) fn record_answer(&mut self, limit: Option<f64>, is_leaving: bool, now: Instant) {
        if limit.is_some() {
            self.limit_stated.get_or_insert(now);
        }
        if is_leaving {
            self.leaving_stated.get_or_insert(now);
        }
    }

    /// Forgets that a limit was stated, because a lower one takes its place.
    pub(super) fn forget_limit(&mut self) {
        self.limit_stated = None;
        self.arrivals.clear();
    }

    /// Records the arrival of a request and returns whether it exceeds the limit.
    pub(super) fn exceeds_limit(&mut self, limit: Option<f64>, now: Instant) -> bool {
        let stated = self.limit_stated.filter(|at| now >= *at + NOTICE_TIME);
        let (Some(limit), Some(_)) = (limit, stated) else {
            self.arrivals.clear();
            return false;
        };
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + LIMIT_PERIOD < now)
        {
            self.arrivals.pop_front();
        }
        let allowed = limit * LIMIT_PERIOD.as_secs_f64() * LIMIT_OVERAGE + LIMIT_SLACK;
        self.arrivals.len() as f64 > allowed
    }

    /// Returns whether a request that arrives now comes too late after the statement of leaving.
    pub(super) fn is_after_leaving(&self, now: Instant) -> bool {
        self.leaving_stated
            .is_some_and(|at| now > at + LEAVING_GRACE)
    }
}
