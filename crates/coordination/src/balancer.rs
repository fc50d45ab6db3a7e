//! Choice of the upstream that gets a call.

mod tracked;

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::Rng;

pub use self::tracked::ReportedLoad;
use self::tracked::Tracked;
use crate::{
    candidates::{Candidate, Candidates},
    health::{Evidence, HealthChange, HealthStatus},
    name::{DomainName, UpstreamName},
};

/// Share of its limit from which on a failure domain's own upstreams spill over to others, while it
/// is not known how fast they answer.
const SPILL_LOAD: f64 = 0.7;
/// Share of the time wanted within which an upstream of the own failure domain must be expected to
/// answer to get the call in any case: bytes between failure domains are dear, and latency varies.
const IN_TIME: f64 = 0.6;
/// Factor by which the best upstream of the own failure domain may else be slower than the best of
/// another one and still get the call.
const OWN_ADVANTAGE: f64 = 1.3;
/// Factor by which the time until an answer rises on an upstream that is full, which is about what
/// a request then waits for a slot and for the others.
const FULL_FACTOR: f64 = 2.0;
/// Time after which also a call that must not run twice may probe an ejected upstream.
const PROBE_PATIENCE: Duration = Duration::from_secs(1);
/// Time after which a caller is told to come back when nothing better is known.
const DEFAULT_AFTER: Duration = Duration::from_millis(250);

/// Parts of the choice that can be switched off.
#[derive(Clone, Copy, Debug)]
pub struct BalancerPolicy {
    /// Choose by load and failure domain; otherwise in turn.
    pub balance: bool,
    /// Leave out upstreams that fail.
    pub ejection: bool,
}

/// What a call asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Upstreams that were tried before.
    pub excluded: &'a [UpstreamName],
    /// Whether the request may run more than once, so that it can serve as a probe.
    pub idempotent: bool,
    /// Time in milliseconds within which callers of the route want the answer, if it is stated.
    pub target_ms: Option<u64>,
}

/// One call at one upstream, given back to the balancer when the call ends.
#[derive(Debug, PartialEq, Eq)]
pub struct Ticket {
    upstream: UpstreamName,
    id: u64,
    epoch: u64,
    is_probe: bool,
}

impl Ticket {
    /// Returns whether the call probes an ejected upstream.
    #[must_use]
    pub fn is_probe(&self) -> bool {
        self.is_probe
    }
}

/// No upstream can be given the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoCandidate {
    /// Time after which a resend makes sense.
    pub retry_after: Duration,
}

/// Outstanding calls, loads and health of the upstreams as one ingress sees them.
#[derive(Debug)]
pub struct Balancer {
    domain: DomainName,
    policy: BalancerPolicy,
    upstreams: HashMap<UpstreamName, Tracked>,
    next_id: u64,
    turn: usize,
}

impl Balancer {
    /// Returns the balancer of an ingress in a failure domain.
    #[must_use]
    pub fn new(domain: DomainName, policy: BalancerPolicy) -> Self {
        Self {
            domain,
            policy,
            upstreams: HashMap::new(),
            next_id: 0,
            turn: 0,
        }
    }

    /// Chooses a candidate and counts the call at it.
    ///
    /// # Errors
    ///
    /// Returns an error when no candidate can be given the call.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Candidate],
        constraints: Constraints<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(&'a Candidate, Ticket), NoCandidate> {
        let options = self.options(candidates, constraints, now);
        if let Some(probe) = options.probe {
            return Ok(self.take(probe, true, now));
        }
        let chosen = if self.policy.balance {
            self.by_load(&options.usable, rng)
        } else {
            self.in_turn(&options.usable)
        };
        let chosen = chosen.ok_or(NoCandidate {
            retry_after: options.after,
        })?;
        Ok(self.take(chosen, false, now))
    }

    /// Counts a call at an upstream that was not chosen here, such as the owner of a key.
    pub fn begin_call(&mut self, upstream: &UpstreamName) -> Ticket {
        self.ticket(upstream, false)
    }

    /// Takes in the load that a reply reports.
    pub fn record_load(&mut self, ticket: &Ticket, load: ReportedLoad, now: Instant) {
        if let Some(tracked) = self.tracked(ticket) {
            tracked.report(load, now);
        }
    }

    /// Gives an upstream no call of a kind for a while, as long as there are others: one that has no
    /// room for long requests may have room for short ones. Routes with the same time wanted are
    /// of one kind.
    pub fn back_off(
        &mut self,
        ticket: &Ticket,
        target_ms: Option<u64>,
        until: Instant,
        now: Instant,
    ) {
        if let Some(tracked) = self.tracked(ticket) {
            tracked.back_off(target_ms, until, now);
        }
    }

    /// Takes in what a call shows of its upstream's health.
    pub fn observe(
        &mut self,
        ticket: &Ticket,
        evidence: Evidence,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<HealthChange> {
        if !self.policy.ejection {
            return None;
        }
        let epoch = ticket.epoch;
        let tracked = self.tracked(ticket)?;
        tracked.health.observe(epoch, evidence, now, rng)
    }

    /// Ends the count of a call.
    pub fn release(&mut self, ticket: &Ticket, now: Instant) {
        let Some(tracked) = self.tracked(ticket) else {
            return;
        };
        tracked.outstanding = tracked.outstanding.saturating_sub(1);
        if ticket.is_probe {
            tracked.health.abandon_probe(ticket.epoch, now);
        }
    }

    /// Returns how many calls are counted at an upstream.
    #[must_use]
    pub fn outstanding(&self, upstream: &UpstreamName) -> u32 {
        let tracked = self.upstreams.get(upstream);
        tracked.map_or(0, |tracked| tracked.outstanding)
    }

    /// Drops what is known of upstreams that are no longer candidates and have no calls.
    pub fn retain(&mut self, candidates: &Candidates) {
        let mut known = std::collections::HashSet::new();
        known.extend(candidates.iter().map(|c| c.upstream.name.clone()));
        self.upstreams
            .retain(|name, tracked| tracked.outstanding > 0 || known.contains(name));
    }

    /// Drops the reported loads, such as after a pause of this process.
    pub fn clear_loads(&mut self) {
        for tracked in self.upstreams.values_mut() {
            tracked.forget_load();
        }
    }

    fn take<'a>(
        &mut self,
        option: Scored<'a>,
        is_probe: bool,
        now: Instant,
    ) -> (&'a Candidate, Ticket) {
        let candidate = option.candidate;
        if is_probe && let Some(tracked) = self.upstreams.get_mut(&candidate.upstream.name) {
            tracked.health.begin_probe(now);
        }
        let ticket = self.ticket(&candidate.upstream.name, is_probe);
        (candidate, ticket)
    }

    fn ticket(&mut self, upstream: &UpstreamName, is_probe: bool) -> Ticket {
        let next_id = &mut self.next_id;
        let tracked = self.upstreams.entry(upstream.clone()).or_insert_with(|| {
            *next_id += 1;
            Tracked::new(*next_id)
        });
        tracked.outstanding += 1;
        Ticket {
            upstream: upstream.clone(),
            id: tracked.id,
            epoch: tracked.health.epoch(),
            is_probe,
        }
    }

    fn tracked(&mut self, ticket: &Ticket) -> Option<&mut Tracked> {
        let tracked = self.upstreams.get_mut(&ticket.upstream)?;
        (tracked.id == ticket.id).then_some(tracked)
    }

    fn options<'a>(
        &self,
        candidates: &'a [Candidate],
        constraints: Constraints<'_>,
        now: Instant,
    ) -> Options<'a> {
        let mut options = Options::default();
        let mut ejected = Vec::new();
        let mut backed_off = Vec::new();
        let fresh = Tracked::new(0);
        let lowest = self.lowest_cost(candidates);
        let allowed = candidates.iter();
        for candidate in allowed.filter(|c| !constraints.excluded.contains(&c.upstream.name)) {
            let name = &candidate.upstream.name;
            let tracked = self.upstreams.get(name).unwrap_or(&fresh);
            let scored = score(candidate, tracked, lowest, now);
            let standing = tracked.health.status(now);
            if !candidate.is_listed && standing != HealthStatus::Healthy {
                // It is most likely gone, so no call probes it.
                continue;
            }
            match standing {
                HealthStatus::Healthy | HealthStatus::Suspect
                    if tracked.is_backed_off(constraints.target_ms, now) =>
                {
                    backed_off.push(scored);
                }
                HealthStatus::Healthy | HealthStatus::Suspect => options.usable.push(scored),
                HealthStatus::Due { since }
                    if constraints.idempotent || since >= PROBE_PATIENCE =>
                {
                    options.probe = Some(scored);
                }
                HealthStatus::Due { .. } => ejected.push((Duration::ZERO, false, scored)),
                HealthStatus::Ejected {
                    left,
                    is_unreachable,
                } => {
                    ejected.push((left, is_unreachable, scored));
                }
            }
        }
        if options.usable.is_empty() {
            options.usable = backed_off;
        }
        let soonest = ejected.iter().map(|(left, ..)| *left).min();
        options.after = soonest.unwrap_or(DEFAULT_AFTER).max(MIN_AFTER);
        self.spare(candidates.len(), ejected, &mut options);
        options
    }

    /// Takes ejected upstreams back, those first that are due soonest, while more than half of
    /// the service is ejected though it can be reached.
    fn spare<'a>(
        &self,
        total: usize,
        mut ejected: Vec<(Duration, bool, Scored<'a>)>,
        options: &mut Options<'a>,
    ) {
        ejected.retain(|(_, is_unreachable, _)| !is_unreachable);
        ejected.sort_by_key(|(left, ..)| *left);
        let surplus = ejected.len().saturating_sub(total / 2);
        let spared = ejected.into_iter().take(surplus);
        options.usable.extend(spared.map(|(.., scored)| scored));
    }

    fn lowest_cost(&self, candidates: &[Candidate]) -> f64 {
        let tracked = candidates
            .iter()
            .filter_map(|candidate| self.upstreams.get(&candidate.upstream.name));
        let costs = tracked.filter_map(Tracked::reported_cost);
        costs.fold(f64::INFINITY, f64::min)
    }

    fn by_load<'a>(&self, usable: &[Scored<'a>], rng: &mut impl Rng) -> Option<Scored<'a>> {
        let (own, other): (Vec<_>, Vec<_>) = usable
            .iter()
            .partition(|scored| scored.candidate.upstream.domain == self.domain);
        let own = better_of_two(&own, rng);
        let other = better_of_two(&other, rng);
        match (own, other) {
            (Some(own), Some(other)) => {
                let is_near = own.score <= other.score * OWN_ADVANTAGE;
                Some(if own.is_in_time() || is_near {
                    own
                } else {
                    other
                })
            }
            (own, other) => own.or(other),
        }
    }

    fn in_turn<'a>(&mut self, usable: &[Scored<'a>]) -> Option<Scored<'a>> {
        if usable.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(usable[self.turn % usable.len()])
    }
}

/// Reported cost of an answer that comes just in time.
const COST_UNIT: f64 = 1000.0;
/// Shortest time after which a caller is told to come back.
const MIN_AFTER: Duration = Duration::from_millis(10);
/// Factor by which failures raise the score of a suspect.
const SUSPECT_FACTOR: f64 = 1.5;

#[derive(Clone, Copy, Debug)]
struct Scored<'a> {
    candidate: &'a Candidate,
    weight: f64,
    /// Share of the limit that is in use.
    load: f64,
    /// Time until an answer, relative to that of the best upstream without load.
    score: f64,
    /// Time until an answer, relative to the time wanted, if it is known.
    expected: Option<f64>,
}

impl Scored<'_> {
    /// Returns whether the upstream is expected to answer in time.
    fn is_in_time(&self) -> bool {
        match self.expected {
            Some(expected) => expected <= IN_TIME,
            None => self.load < SPILL_LOAD,
        }
    }
}

/// Returns the limit of an upstream that never reported: all slots where the platform lists it, as
/// its sidecar knows whether it is cold; else it may have just started.
fn first_limit(candidate: &Candidate) -> u32 {
    let upstream = &candidate.upstream;
    upstream.start.map_or(1, |_| upstream.slots.max(1))
}

fn score<'a>(candidate: &'a Candidate, tracked: &Tracked, lowest: f64, now: Instant) -> Scored<'a> {
    let is_suspect = tracked.health.status(now) == HealthStatus::Suspect;
    let cost = tracked.cost(lowest, now);
    let limit = f64::from(tracked.limit().unwrap_or_else(|| first_limit(candidate)));
    let load = tracked.in_use(now) / limit;
    let suspicion = if is_suspect { SUSPECT_FACTOR } else { 1.0 };
    let slowdown = suspicion * (1.0 + FULL_FACTOR * load * load);
    let is_known = tracked.reported_cost().is_some();
    Scored {
        candidate,
        weight: limit / cost,
        load,
        score: cost * slowdown,
        expected: is_known.then(|| lowest * cost * slowdown / COST_UNIT),
    }
}

#[derive(Default)]
struct Options<'a> {
    usable: Vec<Scored<'a>>,
    probe: Option<Scored<'a>>,
    after: Duration,
}

/// Draws two options by weight and returns the one with the lower score.
fn better_of_two<'a>(options: &[&Scored<'a>], rng: &mut impl Rng) -> Option<Scored<'a>> {
    let first = draw(options, None, rng)?;
    let second = draw(options, Some(first), rng).unwrap_or(first);
    let (first, second) = (options[first], options[second]);
    Some(if second.score < first.score {
        *second
    } else {
        *first
    })
}

fn draw(options: &[&Scored<'_>], without: Option<usize>, rng: &mut impl Rng) -> Option<usize> {
    let weights = || {
        let all = options.iter().enumerate();
        all.filter(move |(i, _)| Some(*i) != without)
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
