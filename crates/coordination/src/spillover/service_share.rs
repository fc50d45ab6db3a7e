//! The shares of one service, moved in steps.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{
    ShareChange, SpilloverSettings,
    estimate::{DomainEstimate, DomainEstimates},
};
use crate::name::{DomainName, ServiceName};

/// Mean time between steps. Answers of some 100 ms show the effect of the last step by then.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// Relative deviation of intervals and steps, so that nodes with the same reports don't move together.
const JITTER: f64 = 0.3;
/// Excess of the gain over the required one, relative to the target latency, from which on steps up
/// have their largest size.
const FULL_STEP_EXCESS: f64 = 0.5;
/// Largest step up: nine tenths of the calls leave after two seconds at the earliest.
const MAX_STEP_UP: f64 = 0.1;
/// Largest step down, taken when a crossing gains nothing: all calls are back after one to two
/// seconds.
const MAX_STEP_DOWN: f64 = 0.15;
/// Difference from the required gain below which the share stays as it is.
const GAIN_BAND: f64 = 0.04;
/// Load of a destination, as a share of its limits, above which it gets no larger share.
const MAX_LOAD: f64 = 0.8;
/// Load of a destination above which its share shrinks whatever the gain is.
const FULL_LOAD: f64 = 0.95;
/// Largest share that leaves while the own domain has usable upstreams, whose state would be unknown
/// without calls.
const MAX_SHARE: f64 = 0.9;
/// Shares below this end.
const MIN_SHARE: f64 = 0.01;
/// Share of the calls that explore domains without recent reports while the own domain is nearly
/// late.
const EXPLORED_SHARE: f64 = 0.02;
/// The same while the own domain is expected to answer late.
const EXPLORED_SHARE_LATE: f64 = 0.05;
/// Expected time relative to the target latency above which the own domain is nearly late. Below it,
/// answers vary too little for a crossing to change whether they are in time.
const NEARLY_LATE: f64 = 0.45;
/// Expected time relative to the target latency above which the own domain is late. It is that above
/// which a single upstream is not preferred by the rule for each call.
const LATE: f64 = 0.6;
/// Age above which the reports of a domain are refreshed by exploration.
const STALE_AGE: Duration = Duration::from_secs(1);
/// Weight of the newest call in the mean target latency of a service.
const TARGET_WEIGHT: f64 = 0.1;
/// Change of the share that is reported.
const NOTICEABLE_CHANGE: f64 = 0.1;

/// Where the next call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// To the own domain.
    Stay,
    /// To another domain, if the call gains enough by it.
    Cross(DomainName),
    /// To another domain, to learn its state.
    Explore(DomainName),
}

/// State of one service: a share per destination, and what is needed to move it.
#[derive(Debug)]
pub(super) struct ServiceShare {
    shares: Vec<(DomainName, f64)>,
    next_step: Instant,
    target: Option<f64>,
    credit: f64,
    explored_share: f64,
    stale: Vec<DomainName>,
    reported: f64,
}

impl ServiceShare {
    pub(super) fn new(now: Instant, rng: &mut impl Rng) -> Self {
        Self {
            shares: Vec::new(),
            next_step: now + STEP_INTERVAL.mul_f64(rng.random()),
            target: None,
            credit: rng.random(),
            explored_share: 0.0,
            stale: Vec::new(),
            reported: 0.0,
        }
    }

    pub(super) fn record_target(&mut self, target_ms: Option<u64>) {
        if let Some(target_ms) = target_ms {
            let seconds = Duration::from_millis(target_ms.max(1)).as_secs_f64();
            let mean = self.target.get_or_insert(seconds);
            *mean += TARGET_WEIGHT * (seconds - *mean);
        }
    }

    /// Returns the mean target latency of the calls of the service.
    pub(super) fn target(&self) -> Option<Duration> {
        self.target.map(Duration::from_secs_f64)
    }

    pub(super) fn is_step_due(&self, now: Instant) -> bool {
        now >= self.next_step
    }

    /// Returns the share that leaves, over all destinations.
    pub(super) fn total(&self) -> f64 {
        self.shares.iter().map(|(_, share)| share).sum()
    }

    /// Moves the shares by one step. Only the best destination gets a larger share.
    pub(super) fn step(
        &mut self,
        estimates: &DomainEstimates,
        settings: SpilloverSettings,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let jitter = |rng: &mut _| 1.0 + JITTER * (2.0 * Rng::random::<f64>(rng) - 1.0);
        self.next_step = now + STEP_INTERVAL.mul_f64(jitter(rng));
        self.plan_exploration(estimates);
        let is_known = |domain: &DomainName| {
            let other = estimates.other(domain);
            other.is_some_and(|other| other.expected().is_some())
        };
        self.shares.retain(|(domain, _)| is_known(domain));
        let Some(own) = estimates.own.expected() else {
            self.shrink_all(MAX_STEP_DOWN * jitter(rng));
            return;
        };
        let best = best_destination(&estimates.others);
        for other in &estimates.others {
            let Some(expected) = other.expected() else {
                continue;
            };
            let excess = own - expected - settings.crossing_gain;
            let is_best = best.is_some_and(|best| best.domain == other.domain);
            let change =
                step_size(excess, settings.crossing_gain, other.load(), is_best) * jitter(rng);
            self.change(&other.domain, change);
        }
    }

    fn plan_exploration(&mut self, estimates: &DomainEstimates) {
        let own = estimates.own.expected().unwrap_or(0.0);
        self.explored_share = if own <= NEARLY_LATE {
            0.0
        } else if own <= LATE {
            EXPLORED_SHARE
        } else {
            EXPLORED_SHARE_LATE
        };
        let is_stale = |other: &&DomainEstimate| other.age().is_none_or(|age| age > STALE_AGE);
        let stale = estimates.others.iter().filter(is_stale);
        self.stale = stale.map(|other| other.domain.clone()).collect();
    }

    fn shrink_all(&mut self, step: f64) {
        for (_, share) in &mut self.shares {
            *share -= step;
        }
        self.shares.retain(|(_, share)| *share >= MIN_SHARE);
    }

    fn change(&mut self, domain: &DomainName, change: f64) {
        let change = change.min(MAX_SHARE - self.total());
        let known = self.shares.iter_mut().find(|(known, _)| known == domain);
        match known {
            Some((_, share)) => *share += change,
            None if change > 0.0 => self.shares.push((domain.clone(), change)),
            None => {}
        }
        self.shares.retain(|(_, share)| *share >= MIN_SHARE);
    }

    /// Returns where the next call goes. A call that another upstream did not answer leaves whenever
    /// there is a destination.
    pub(super) fn next_direction(&mut self, is_retry: bool, rng: &mut impl Rng) -> Direction {
        self.credit = (self.credit + self.explored_share).min(1.0);
        if self.credit >= 1.0 && self.explored_share > 0.0 && !self.stale.is_empty() {
            self.credit = 0.0;
            let domain = self.stale.remove(rng.random_range(0..self.stale.len()));
            return Direction::Explore(domain);
        }
        let range = if is_retry { self.total() } else { 1.0 };
        let mut drawn = rng.random::<f64>() * range;
        for (domain, share) in &self.shares {
            drawn -= share;
            if drawn < 0.0 {
                return Direction::Cross(domain.clone());
            }
        }
        Direction::Stay
    }

    /// Returns the change of the share if it is noticeable and was not returned yet.
    pub(super) fn take_change(
        &mut self,
        service: &ServiceName,
        estimates: &DomainEstimates,
    ) -> Option<ShareChange> {
        let total = self.total();
        let is_end = total == 0.0 && self.reported > 0.0;
        if (total - self.reported).abs() < NOTICEABLE_CHANGE && !is_end {
            return None;
        }
        self.reported = total;
        let largest = self.shares.iter().max_by(|(_, a), (_, b)| a.total_cmp(b));
        let domain = largest.map(|(domain, _)| domain.clone());
        let other = domain.as_ref().and_then(|domain| estimates.other(domain));
        Some(ShareChange {
            service: service.clone(),
            share: total,
            own_expected: estimates.own.expected(),
            own_age: estimates.own.age(),
            other_expected: other.and_then(DomainEstimate::expected),
            other_age: other.and_then(DomainEstimate::age),
            domain,
        })
    }
}

/// Returns the destination with the shortest expected time among those that bear more calls.
fn best_destination(others: &[DomainEstimate]) -> Option<&DomainEstimate> {
    let bearing = others.iter().filter(|other| other.load() < MAX_LOAD);
    let known = bearing.filter_map(|other| Some((other.expected()?, other)));
    let best = known.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, other)| other)
}

/// Returns the change of a share. `excess` is the expected gain beyond the required one, and `load` that
/// of the destination.
///
/// Steps grow with the square of the excess: small ones near the balance, where reports show the
/// effect of the last steps too late, and large ones after a sudden change.
fn step_size(excess: f64, required: f64, load: f64, is_best: bool) -> f64 {
    let square = |scale: f64| (excess / scale).powi(2).min(1.0);
    if load > FULL_LOAD {
        -MAX_STEP_DOWN
    } else if excess < -GAIN_BAND {
        -MAX_STEP_DOWN * square(required)
    } else if excess > GAIN_BAND && is_best {
        MAX_STEP_UP * square(FULL_STEP_EXCESS) * (1.0 - load / MAX_LOAD).min(0.5) * 2.0
    } else {
        0.0
    }
}
