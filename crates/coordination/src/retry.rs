//! Retry decisions and retry budgets.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use rand::Rng;
use serde::Deserialize;

/// Default limit on the attempts of a call.
pub(crate) const MAX_ATTEMPTS: u32 = 3;
/// Additional attempts of a call on a route with a configured limit, for sidecars that reject the
/// call before it reaches their upstreams.
const MAX_REJECTED_ATTEMPTS: u32 = 2;
/// Number of broken attempts after which a call is not retried, as each may have crashed an
/// upstream.
const MAX_BROKEN_ATTEMPTS: u32 = 2;
/// Shortest remaining time for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);
/// Upper bound of the delay before the second attempt; doubles with each further attempt.
const MAX_FIRST_DELAY: Duration = Duration::from_millis(8);

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once, which the owner of its idempotency key ensures.
    Keyed,
    /// The request runs at most once, and duplicates can't be detected.
    Plain,
}

/// Reason why an attempt got no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The request did not reach the sidecar.
    Unreachable,
    /// The sidecar did not accept the request, which therefore did not run.
    Refused,
    /// The upstream refused the request and stated that it did not run.
    Shed,
    /// The sidecar has a different configuration; the request did not run.
    Stale,
    /// The attempt timed out; the request may have run.
    TimedOut,
    /// The connection or the upstream broke; the request may have run.
    Broken,
    /// The sidecar stated that the request may have run, and its outcome can't be determined.
    Indeterminate,
    /// The request did not run and every upstream would refuse it.
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

    /// Returns whether it is certain that the request did not run in this attempt.
    #[must_use]
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::Unreachable | Self::Refused | Self::Shed | Self::Stale | Self::Permanent
        )
    }
}

/// Decision on what follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call is not retried.
    Stop,
    /// The request is sent to an upstream that the call has not tried.
    OtherUpstream {
        /// Delay before the resend.
        delay: Duration,
    },
    /// The request is sent to the owner of its idempotency key in the latest configuration.
    Owner {
        /// Delay before the resend.
        delay: Duration,
    },
}

/// Limits on the attempts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimit {
    /// Maximum number of attempts.
    pub total: u32,
    /// Maximum number of attempts that may have reached an upstream.
    pub arrived: u32,
}

impl AttemptLimit {
    /// Returns the limit of a route that allows `attempts` attempts to reach an upstream.
    #[must_use]
    pub fn of_route(attempts: u32) -> Self {
        Self {
            total: attempts.saturating_add(MAX_REJECTED_ATTEMPTS),
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

/// Record of the attempts of one call.
#[derive(Clone, Debug)]
pub struct Attempts {
    kind: RequestKind,
    limit: AttemptLimit,
    made: u32,
    arrived: u32,
    broken: u32,
    has_not_run: bool,
}

impl Attempts {
    /// Creates the record of a call without attempts.
    #[must_use]
    pub fn new(kind: RequestKind, limit: AttemptLimit) -> Self {
        Self {
            kind,
            limit,
            made: 0,
            arrived: 0,
            broken: 0,
            has_not_run: true,
        }
    }

    /// Returns the number of attempts that have ended.
    #[must_use]
    pub fn made(&self) -> u32 {
        self.made
    }

    /// Returns whether it is certain that the request did not run in any attempt.
    #[must_use]
    pub fn has_not_run(&self) -> bool {
        self.has_not_run
    }

    /// Records a failed attempt.
    pub fn record(&mut self, failure: AttemptFailure) {
        self.made += 1;
        self.arrived += u32::from(failure.may_have_arrived());
        self.has_not_run &= failure.has_not_run();
        if failure == AttemptFailure::Broken {
            self.broken += 1;
        }
    }

    /// Decides what follows the last recorded attempt.
    ///
    /// `is_resendable` states whether the body can be sent again from its start, and `remaining` is
    /// the time until the deadline. A resend that may cost other components work takes a token from
    /// `budget`.
    pub fn retry_decision(
        &self,
        failure: AttemptFailure,
        is_resendable: bool,
        remaining: Duration,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let is_exhausted = self.made >= self.limit.total || self.arrived >= self.limit.arrived;
        if is_exhausted || self.broken >= MAX_BROKEN_ATTEMPTS || !is_resendable {
            return RetryDecision::Stop;
        }
        let delay = self.delay(failure, budget, rng);
        if delay + MIN_ATTEMPT_TIME > remaining {
            return RetryDecision::Stop;
        }
        let decision = self.decision_within_limits(failure, delay);
        let is_exempt = failure == AttemptFailure::Unreachable || budget.is_exempt(failure);
        if decision == RetryDecision::Stop || is_exempt || budget.try_take() {
            return decision;
        }
        RetryDecision::Stop
    }

    fn decision_within_limits(&self, failure: AttemptFailure, delay: Duration) -> RetryDecision {
        match (self.kind, failure) {
            (_, AttemptFailure::Indeterminate | AttemptFailure::Permanent) => RetryDecision::Stop,
            (RequestKind::Idempotent, _) => RetryDecision::OtherUpstream { delay },
            (RequestKind::Keyed, AttemptFailure::Stale | AttemptFailure::Broken) => {
                RetryDecision::Owner { delay }
            }
            (RequestKind::Keyed, _) => RetryDecision::Stop,
            (RequestKind::Plain, failure) if failure.has_not_run() && self.has_not_run => {
                RetryDecision::OtherUpstream { delay }
            }
            (RequestKind::Plain, _) => RetryDecision::Stop,
        }
    }

    fn delay(&self, failure: AttemptFailure, budget: &RetryBudget, rng: &mut impl Rng) -> Duration {
        // The next attempt goes to a different upstream, so there is no reason to wait.
        let is_immediate = matches!(
            failure,
            AttemptFailure::Unreachable | AttemptFailure::Refused
        );
        if is_immediate || budget.is_unlimited() {
            return Duration::ZERO;
        }
        let max_delay = MAX_FIRST_DELAY * 2u32.pow(self.made.saturating_sub(1).min(8));
        max_delay.mul_f64(rng.random_range(0.25..=1.0))
    }
}

/// Token bucket that limits the resends to a service to a share of its calls.
///
/// By default each call adds a fifth of a token and each resend takes one, so failures can't
/// multiply the load. Tokens that are added over time let a service with few calls resend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rates: RetryRates,
    tokens: f64,
    refilled_at: Instant,
    is_unlimited: bool,
}

/// Refill rates and capacity of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRates {
    /// Tokens added per call.
    pub per_call: f64,
    /// Tokens added per second.
    pub per_second: f64,
    /// Maximum number of tokens.
    pub capacity: f64,
    /// Whether only resends of requests that may have reached an upstream take a token.
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

/// Limit on the resends of all nodes together in any time window.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRetryBudget {
    /// Resends allowed per call to a service in the window.
    pub ratio: f64,
    /// Resends allowed in the window in addition, independent of the number of calls.
    pub minimum: f64,
    /// Length of the window in seconds.
    pub window_s: f64,
}

impl FleetRetryBudget {
    /// Returns the rates of one node in a fleet of `nodes`.
    ///
    /// Half of the ratio is reserved for the calls made by resent requests, each of which counts as
    /// a resend at the called service. Apart from the ratio, a node spends at most its stored and
    /// newly added tokens in any window, which together stay within its share of the minimum.
    #[must_use]
    pub fn node_share(&self, nodes: usize) -> RetryRates {
        #[allow(clippy::cast_precision_loss)]
        let minimum = self.minimum / nodes.max(1) as f64;
        RetryRates {
            per_call: self.ratio * DIRECT_RATIO_SHARE,
            per_second: minimum * (1.0 - BURST_SHARE) / self.window_s,
            capacity: (minimum * BURST_SHARE).max(1.0),
            arrivals_only: true,
        }
    }
}

/// Share of the ratio available to resends of calls to the service itself.
const DIRECT_RATIO_SHARE: f64 = 0.5;
/// Share of a node's minimum that can be spent at once.
const BURST_SHARE: f64 = 0.5;
/// Default number of tokens added per call.
const TOKENS_PER_CALL: f64 = 0.2;
/// Default number of tokens added per second.
const TOKENS_PER_SECOND: f64 = 1.0;
/// Default capacity of a budget in tokens.
const MAX_TOKENS: f64 = 10.0;

impl RetryBudget {
    /// Creates a budget that is half full.
    #[must_use]
    pub fn new(rates: RetryRates, now: Instant) -> Self {
        Self {
            rates,
            tokens: rates.capacity / 2.0,
            refilled_at: now,
            is_unlimited: false,
        }
    }

    /// Changes the rates, for example when the size of the fleet changes.
    pub fn set_rates(&mut self, rates: RetryRates) {
        self.rates = rates;
        self.tokens = self.tokens.min(rates.capacity);
    }

    /// Creates a budget that allows every resend without delay.
    #[must_use]
    pub fn unlimited(now: Instant) -> Self {
        Self {
            is_unlimited: true,
            ..Self::new(RetryRates::default(), now)
        }
    }

    /// Adds the tokens for a call and for the time since the last call.
    pub fn count_call(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let rates = self.rates;
        let added = rates.per_call + elapsed.as_secs_f64() * rates.per_second;
        self.tokens = (self.tokens + added).min(rates.capacity);
    }

    /// Returns whether a resend after this failure takes no token.
    fn is_exempt(&self, failure: AttemptFailure) -> bool {
        self.rates.arrivals_only && !failure.may_have_arrived()
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
