//! What may be sent again, when, and at whose cost.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use rand::Rng;
use serde::Deserialize;

/// Attempts that a call may take.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Further attempts of a call on a route that states its own limit, for sidecars that turn the
/// call away before it reaches their upstreams.
const MAX_TURNED_AWAY: u32 = 2;
/// Attempts of one call after which an upstream may have been lost.
const MAX_BROKEN: u32 = 2;
/// Shortest time that an attempt is worth.
const MIN_ATTEMPT: Duration = Duration::from_millis(2);
/// Longest pause before the second attempt; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(8);

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once, which the owner of its key sees to.
    Keyed,
    /// The request runs at most once and nobody can tell its resends apart.
    Plain,
}

/// How an attempt ended without an answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing reached the other side.
    Unreachable,
    /// The other side refused the attempt and proved that the request did not run.
    Refused,
    /// The upstream itself refused the request and stated that it did not run.
    Shed,
    /// The other side has another configuration; the request did not run.
    Stale,
    /// The time of the attempt ran out; the request may have run.
    TimedOut,
    /// The connection or the upstream broke; the request may have run.
    Broken,
    /// The other side states that the request may have run, and no more is to be learnt.
    Indeterminate,
    /// The request did not run and would be refused everywhere.
    Permanent,
}

impl AttemptFailure {
    /// Returns whether the attempt may have reached an upstream.
    #[must_use]
    pub fn may_have_arrived(self) -> bool {
        matches!(
            self,
            Self::Shed | Self::TimedOut | Self::Broken | Self::Indeterminate
        )
    }

    /// Returns whether the request is proved not to have run in this attempt.
    #[must_use]
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Refused | Self::Shed | Self::Stale | Self::Permanent
        )
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call gets its final answer.
    Stop,
    /// The request is sent to an upstream that has not been tried.
    OtherUpstream {
        /// Pause before.
        delay: Duration,
    },
    /// The request is sent to the owner of its key in the newest configuration.
    Owner {
        /// Pause before.
        delay: Duration,
    },
}

/// Bounds on the attempts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimit {
    /// Attempts in all.
    pub total: u32,
    /// Attempts that may have reached an upstream.
    pub arrived: u32,
}

impl AttemptLimit {
    /// Returns the limit of a route that allows a call to be sent to so many upstreams.
    #[must_use]
    pub fn of_route(attempts: u32) -> Self {
        Self {
            total: attempts.saturating_add(MAX_TURNED_AWAY),
            arrived: attempts,
        }
    }
}

impl Default for AttemptLimit {
    fn default() -> Self {
        Self {
            total: MAX_ATTEMPTS,
            arrived: MAX_ATTEMPTS,
        }
    }
}

/// Attempts of one call.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RequestKind,
    limit: AttemptLimit,
    made: u32,
    arrived: u32,
    broken: u32,
    is_not_run: bool,
}

impl Attempts {
    /// Returns the record of a call before its first attempt.
    #[must_use]
    pub fn new(kind: RequestKind, limit: AttemptLimit) -> Self {
        Self {
            kind,
            limit,
            made: 0,
            arrived: 0,
            broken: 0,
            is_not_run: true,
        }
    }

    /// Returns how many attempts have ended.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Returns whether the request is proved not to have run in any attempt.
    #[must_use]
    pub fn has_not_run(&self) -> bool {
        self.is_not_run
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, end: AttemptFailure) {
        self.made += 1;
        self.arrived += u32::from(end.may_have_arrived());
        self.is_not_run &= end.has_not_run();
        if end == AttemptFailure::Broken {
            self.broken += 1;
        }
    }

    /// Decides what follows the attempt that was recorded last.
    ///
    /// `is_resendable` tells whether the body can be sent from its start, and `left` is the time
    /// until the deadline. A resend that may cost somebody else work takes a token of `budget`.
    pub fn retry_decision(
        &self,
        end: AttemptFailure,
        is_resendable: bool,
        left: Duration,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let is_used_up = self.made >= self.limit.total || self.arrived >= self.limit.arrived;
        if is_used_up || self.broken >= MAX_BROKEN || !is_resendable {
            return RetryDecision::Stop;
        }
        let after = self.pause(end, budget, rng);
        if after + MIN_ATTEMPT > left {
            return RetryDecision::Stop;
        }
        let next = self.place(end, after);
        let is_free = end == AttemptFailure::Unreachable || budget.spares(end);
        if next == RetryDecision::Stop || is_free || budget.try_take() {
            return next;
        }
        RetryDecision::Stop
    }

    fn place(&self, end: AttemptFailure, after: Duration) -> RetryDecision {
        match (self.kind, end) {
            (_, AttemptFailure::Indeterminate | AttemptFailure::Permanent) => RetryDecision::Stop,
            (RequestKind::Idempotent, _) => RetryDecision::OtherUpstream { delay: after },
            (RequestKind::Keyed, AttemptFailure::Stale | AttemptFailure::Broken) => {
                RetryDecision::Owner { delay: after }
            }
            (RequestKind::Keyed, _) => RetryDecision::Stop,
            (RequestKind::Plain, end) if end.has_not_run() && self.is_not_run => {
                RetryDecision::OtherUpstream { delay: after }
            }
            (RequestKind::Plain, _) => RetryDecision::Stop,
        }
    }

    fn pause(&self, end: AttemptFailure, budget: &RetryBudget, rng: &mut impl Rng) -> Duration {
        // The next upstream is another one, so there is nothing to wait for.
        let has_reached_none = matches!(end, AttemptFailure::Unreachable | AttemptFailure::Refused);
        if has_reached_none || budget.is_unlimited() {
            return Duration::ZERO;
        }
        let longest = FIRST_PAUSE * 2u32.pow(self.made.saturating_sub(1).min(8));
        longest.mul_f64(rng.random_range(0.25..=1.0))
    }
}

/// Resends that a service may take, as a share of its calls.
///
/// A token bucket: each call adds a fifth of a token and each resend takes one, so failures
/// can't multiply the load. A trickle of tokens over time lets a service with few calls resend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rates: RetryRates,
    tokens: f64,
    filled: Instant,
    is_unlimited: bool,
}

/// How a retry budget fills.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRates {
    /// Tokens that a call adds.
    pub per_call: f64,
    /// Tokens that a second adds.
    pub per_second: f64,
    /// Tokens that the budget holds.
    pub capacity: f64,
    /// Whether only resends of requests that reached an upstream take a token.
    pub arrivals_only: bool,
}

impl Default for RetryRates {
    fn default() -> Self {
        Self {
            per_call: TOKENS_PER_CALL,
            per_second: TOKENS_PER_SECOND,
            capacity: MAX_TOKENS,
            arrivals_only: false,
        }
    }
}

/// Resends that all nodes together may make in any window of time.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRetryBudget {
    /// Resends for each call of a service in the window.
    pub ratio: f64,
    /// Further resends in the window, whatever the calls.
    pub minimum: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

impl FleetRetryBudget {
    /// Returns one node's part of the budget in a fleet of `nodes`.
    ///
    /// Half of the ratio is left to the calls that a resent request makes itself: each of those
    /// counts as a resend at its own service. In any window a node spends at most what it held
    /// and what was added, which together stay within its part of the minimum.
    #[must_use]
    pub fn node_share(&self, nodes: usize) -> RetryRates {
        #[allow(clippy::cast_precision_loss)]
        let minimum = self.minimum / nodes.max(1) as f64;
        RetryRates {
            per_call: self.ratio * OWN_RATIO_SHARE,
            per_second: minimum * (1.0 - HELD_SHARE) / self.window_s,
            capacity: (minimum * HELD_SHARE).max(1.0),
            arrivals_only: true,
        }
    }
}

/// Share of the ratio that resends of the service's own calls may use.
const OWN_RATIO_SHARE: f64 = 0.5;
/// Share of a node's part of the minimum that can be spent at once.
const HELD_SHARE: f64 = 0.5;
/// Tokens that a call adds.
const TOKENS_PER_CALL: f64 = 0.2;
/// Tokens that a second adds.
const TOKENS_PER_SECOND: f64 = 1.0;
/// Tokens that a budget holds.
const MAX_TOKENS: f64 = 10.0;

impl RetryBudget {
    /// Returns a budget with a few tokens.
    #[must_use]
    pub fn new(rates: RetryRates, now: Instant) -> Self {
        Self {
            rates,
            tokens: rates.capacity / 2.0,
            filled: now,
            is_unlimited: false,
        }
    }

    /// Changes how the budget fills, such as when the size of the fleet changes.
    pub fn set_rates(&mut self, rates: RetryRates) {
        self.rates = rates;
        self.tokens = self.tokens.min(rates.capacity);
    }

    /// Returns a budget that allows each resend, and without a pause.
    #[must_use]
    pub fn unlimited(now: Instant) -> Self {
        Self {
            is_unlimited: true,
            ..Self::new(RetryRates::default(), now)
        }
    }

    /// Counts a call.
    pub fn count_call(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled);
        self.filled = self.filled.max(now);
        let rates = self.rates;
        let added = rates.per_call + passed.as_secs_f64() * rates.per_second;
        self.tokens = (self.tokens + added).min(rates.capacity);
    }

    /// Returns whether a resend after such an end takes no token.
    fn spares(&self, end: AttemptFailure) -> bool {
        self.rates.arrivals_only && !end.may_have_arrived()
    }

    fn is_unlimited(&self) -> bool {
        self.is_unlimited
    }

    fn try_take(&mut self) -> bool {
        if self.is_unlimited {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
