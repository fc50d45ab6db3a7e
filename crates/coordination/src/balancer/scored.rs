//! Estimates by which upstreams are compared.

use std::time::Instant;

use rand::Rng;

use super::tracked::TrackedUpstream;
use crate::{candidates::Candidate, health::HealthStatus};

/// Load, as a share of the concurrency limit, at which calls spill over to other failure domains
/// while the response time of the upstream is unknown.
const SPILLOVER_LOAD: f64 = 0.7;
/// Share of the target latency within which an upstream of the local failure domain is preferred
/// whatever the others offer: traffic between failure domains is expensive, and latency varies.
const IN_TIME_SHARE: f64 = 0.6;
/// Relative increase in response time of an upstream at its limit, approximating the wait for a
/// slot and the contention with other requests.
const FULL_LOAD_SLOWDOWN: f64 = 2.0;
/// Reported cost of an answer that takes exactly the target latency.
const COST_UNIT: f64 = 1000.0;
/// Factor applied to the score of an upstream whose last calls failed.
const SUSPECT_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
pub(super) struct Scored<'a> {
    pub(super) candidate: &'a Candidate,
    pub(super) weight: f64,
    /// Requests in use as a share of the concurrency limit.
    pub(super) load: f64,
    /// Estimated response time relative to that of the fastest upstream without load; lower is
    /// better.
    pub(super) score: f64,
    /// Estimated response time relative to the target latency, if known.
    pub(super) expected: Option<f64>,
}

impl Scored<'_> {
    /// Returns whether the upstream is expected to answer well within the target latency, judged by
    /// its load while its response time is unknown.
    pub(super) fn is_in_time(&self) -> bool {
        match self.expected {
            Some(expected) => expected <= IN_TIME_SHARE,
            None => self.load < SPILLOVER_LOAD,
        }
    }

    /// Returns whether all of the concurrency limit is in use.
    pub(super) fn is_full(&self) -> bool {
        self.load >= 1.0
    }
}

/// Returns the concurrency limit assumed before the first report.
///
/// An upstream listed by the platform gets all of its slots, because its sidecar knows whether it
/// is cold. Any other upstream may have just started and gets a single slot.
fn initial_limit(candidate: &Candidate) -> u32 {
    let upstream = &candidate.upstream;
    upstream.start.map_or(1, |_| upstream.slots.max(1))
}

pub(super) fn score<'a>(
    candidate: &'a Candidate,
    tracked: &TrackedUpstream,
    lowest: f64,
    now: Instant,
) -> Scored<'a> {
    let is_suspect = tracked.health.status(now) == HealthStatus::Suspect;
    let cost = tracked.cost(lowest, now);
    let limit = f64::from(tracked.limit().unwrap_or_else(|| initial_limit(candidate)));
    let load = tracked.in_use(now) / limit;
    let suspect_factor = if is_suspect { SUSPECT_FACTOR } else { 1.0 };
    let slowdown = suspect_factor * (1.0 + FULL_LOAD_SLOWDOWN * load * load);
    let is_known = tracked.reported_cost().is_some();
    Scored {
        candidate,
        weight: limit / cost,
        load,
        score: cost * slowdown,
        expected: is_known.then(|| lowest * cost * slowdown / COST_UNIT),
    }
}

/// Draws two candidates at random by weight and returns the one with the lower score.
pub(super) fn best_of_two<'a>(
    candidates: &[&Scored<'a>],
    rng: &mut impl Rng,
) -> Option<Scored<'a>> {
    let first = draw(candidates, None, rng)?;
    let second = draw(candidates, Some(first), rng).unwrap_or(first);
    let (first, second) = (candidates[first], candidates[second]);
    Some(if second.score < first.score {
        *second
    } else {
        *first
    })
}

fn draw(candidates: &[&Scored<'_>], excluded: Option<usize>, rng: &mut impl Rng) -> Option<usize> {
    let weights = || {
        let all = candidates.iter().enumerate();
        all.filter(move |(i, _)| Some(*i) != excluded)
    };
    let total: f64 = weights().map(|(_, scored)| scored.weight).sum();
    let mut left = rng.random::<f64>() * total;
    let mut drawn = None;
    for (i, scored) in weights() {
        drawn = Some(i);
        left -= scored.weight;
        if left <= 0.0 {
            break;
        }
    }
    drawn
}
