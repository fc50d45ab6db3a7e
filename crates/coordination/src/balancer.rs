//! Load balancing: selects the upstream for each call.

mod scored;
mod spill;
mod tracked;

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;

pub use self::tracked::ReportedLoad;
use self::{
    scored::{Scored, best_of_two, score},
    tracked::TrackedUpstream,
};
use crate::{
    candidates::{Candidate, Candidates, MAX_REMOTE_CHOICES},
    health::{Evidence, HealthChange, HealthStatus},
    leaving::LeavingUpstreams,
    name::{DomainName, UpstreamName},
    spillover::{Spillover, SpilloverSettings},
};

/// Factor by which the best local upstream may be slower than the best remote one and still be
/// preferred, when it is not expected to answer in time.
const LOCAL_ADVANTAGE: f64 = 1.3;
/// Time after the end of an ejection from which non-idempotent calls may also probe the upstream.
const ANY_CALL_PROBE_DELAY: Duration = Duration::from_secs(1);
/// Retry delay returned to a caller when no ejection determines it.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Switches for parts of the balancing algorithm.
#[derive(Clone, Copy, Debug)]
pub struct BalancerPolicy {
    /// Selects by load and failure domain; round robin otherwise.
    pub balance: bool,
    /// Excludes failing upstreams.
    pub ejection: bool,
    /// Decides per service which share of the calls leaves the failure domain; if absent, each call
    /// is decided alone.
    pub spillover: Option<SpilloverSettings>,
}

/// Constraints of a call on the selection.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// Upstreams that the call has already tried.
    pub excluded: &'a [UpstreamName],
    /// Addresses of sidecars to which no connection can be opened at present. They get calls only
    /// if no other upstream is available.
    pub unreachable: &'a HashSet<SocketAddr>,
    /// Upstreams that stated that they are leaving; they get no new calls.
    pub leaving: &'a LeavingUpstreams,
    /// Whether the request may run more than once and can therefore serve as a probe.
    pub idempotent: bool,
    /// Target latency of the route in milliseconds, if configured.
    pub target_ms: Option<u64>,
}

/// An outstanding call to an upstream, released when the call ends.
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

/// No upstream is available for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoCandidate {
    /// Delay after which the caller may retry.
    pub retry_after: Duration,
}

/// Outstanding calls, load and health of the upstreams as observed by one ingress.
#[derive(Debug)]
pub struct Balancer {
    domain: DomainName,
    policy: BalancerPolicy,
    upstreams: HashMap<UpstreamName, TrackedUpstream>,
    next_id: u64,
    cursor: usize,
    spillover: Option<Spillover>,
}

impl Balancer {
    /// Creates the balancer of an ingress located in `domain`.
    #[must_use]
    pub fn new(domain: DomainName, policy: BalancerPolicy) -> Self {
        Self {
            domain,
            policy,
            upstreams: HashMap::new(),
            next_id: 0,
            cursor: 0,
            spillover: policy.spillover.map(Spillover::new),
        }
    }

    /// Selects a candidate and registers an outstanding call to it. Of the candidates in other
    /// failure domains, only the first [`MAX_REMOTE_CHOICES`] usable ones are considered.
    ///
    /// # Errors
    ///
    /// Returns an error if no candidate is available.
    pub fn choose<'a>(
        &mut self,
        candidates: &'a [Candidate],
        constraints: Constraints<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Result<(&'a Candidate, Ticket), NoCandidate> {
        let selectable = self.selectable(candidates, constraints, now);
        if let Some(probe) = selectable.probe {
            return Ok(self.assign(probe, true, now));
        }
        let chosen = if self.policy.balance && self.spillover.is_some() {
            self.choose_by_share(&selectable, constraints, now, rng)
        } else if self.policy.balance {
            self.choose_by_load(&selectable.usable, rng)
        } else {
            self.choose_round_robin(&selectable.usable)
        };
        let chosen = chosen.ok_or(NoCandidate {
            retry_after: selectable.retry_after,
        })?;
        Ok(self.assign(chosen, false, now))
    }

    /// Registers an outstanding call to an upstream selected by other means, such as the owner of
    /// an idempotency key.
    pub fn begin_call(&mut self, upstream: &UpstreamName) -> Ticket {
        self.ticket(upstream, false)
    }

    /// Records the load reported in a reply.
    pub fn record_load(&mut self, ticket: &Ticket, load: ReportedLoad, now: Instant) {
        if let Some(tracked) = self.tracked(ticket) {
            tracked.record_load(load, now);
        }
    }

    /// Avoids an upstream until `until` for routes with the given target latency, unless no other
    /// upstream is available.
    ///
    /// Backoff is tracked per target latency because an upstream without capacity for long
    /// requests may still have capacity for short ones.
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

    /// Updates the health of the upstream from the outcome of a call.
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

    /// Ends an outstanding call.
    pub fn release(&mut self, ticket: &Ticket, now: Instant) {
        let Some(tracked) = self.tracked(ticket) else {
            return;
        };
        tracked.outstanding = tracked.outstanding.saturating_sub(1);
        if ticket.is_probe {
            tracked.health.abandon_probe(ticket.epoch, now);
        }
    }

    /// Returns the number of outstanding calls to an upstream.
    #[must_use]
    pub fn outstanding(&self, upstream: &UpstreamName) -> u32 {
        let tracked = self.upstreams.get(upstream);
        tracked.map_or(0, |tracked| tracked.outstanding)
    }

    /// Removes upstreams that are no longer candidates and have no outstanding calls.
    pub fn retain(&mut self, candidates: &Candidates) {
        self.retain_shares(candidates);
        let mut known = HashSet::new();
        known.extend(candidates.iter().map(|c| c.upstream.name.clone()));
        self.upstreams
            .retain(|name, tracked| tracked.outstanding > 0 || known.contains(name));
    }

    /// Discards the reported loads, for example after this process was paused.
    pub fn clear_loads(&mut self) {
        for tracked in self.upstreams.values_mut() {
            tracked.clear_load();
        }
        if let Some(spillover) = &mut self.spillover {
            spillover.clear();
        }
    }

    fn assign<'a>(
        &mut self,
        selected: Scored<'a>,
        is_probe: bool,
        now: Instant,
    ) -> (&'a Candidate, Ticket) {
        let candidate = selected.candidate;
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
            TrackedUpstream::new(*next_id)
        });
        tracked.outstanding += 1;
        Ticket {
            upstream: upstream.clone(),
            id: tracked.id,
            epoch: tracked.health.epoch(),
            is_probe,
        }
    }

    fn tracked(&mut self, ticket: &Ticket) -> Option<&mut TrackedUpstream> {
        let tracked = self.upstreams.get_mut(&ticket.upstream)?;
        (tracked.id == ticket.id).then_some(tracked)
    }

    fn selectable<'a>(
        &self,
        candidates: &'a [Candidate],
        constraints: Constraints<'_>,
        now: Instant,
    ) -> Selectable<'a> {
        let mut selectable = Selectable::default();
        let mut ejected = Vec::new();
        let mut backed_off = Vec::new();
        let fresh = TrackedUpstream::new(0);
        let mut remote = 0;
        let lowest = self.lowest_cost(candidates);
        let mut staying = 0;
        for candidate in candidates {
            if constraints.leaving.contains(&candidate.upstream, now) {
                continue;
            }
            staying += 1;
            if constraints.excluded.contains(&candidate.upstream.name) {
                continue;
            }
            let is_remote = candidate.upstream.domain != self.domain;
            if is_remote && remote == MAX_REMOTE_CHOICES {
                continue;
            }
            let name = &candidate.upstream.name;
            let tracked = self.upstreams.get(name).unwrap_or(&fresh);
            let scored = score(candidate, tracked, lowest, now);
            let status = tracked.health.status(now);
            if !candidate.is_listed && status != HealthStatus::Healthy {
                // An unlisted upstream that fails has most likely terminated, so it is not probed.
                continue;
            }
            let is_unreachable = constraints.unreachable.contains(&candidate.address);
            match status {
                HealthStatus::Healthy | HealthStatus::Suspect
                    if is_unreachable || tracked.is_backed_off(constraints.target_ms, now) =>
                {
                    if !is_unreachable {
                        selectable.paused.push(scored);
                    }
                    backed_off.push(scored);
                }
                HealthStatus::Healthy | HealthStatus::Suspect => {
                    remote += usize::from(is_remote);
                    selectable.usable.push(scored);
                }
                HealthStatus::ProbeDue { .. } if is_unreachable => {
                    ejected.push((Duration::ZERO, true, scored));
                }
                HealthStatus::ProbeDue { overdue }
                    if constraints.idempotent || overdue >= ANY_CALL_PROBE_DELAY =>
                {
                    selectable.probe = Some(scored);
                }
                HealthStatus::ProbeDue { .. } => ejected.push((Duration::ZERO, false, scored)),
                HealthStatus::Ejected {
                    remaining,
                    is_unreachable,
                } => {
                    ejected.push((remaining, is_unreachable, scored));
                }
            }
        }
        if selectable.usable.is_empty() {
            selectable.usable = backed_off;
            selectable.paused.clear();
        }
        let earliest = ejected.iter().map(|(remaining, ..)| *remaining).min();
        selectable.retry_after = earliest.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER);
        self.readmit_ejected(staying, ejected, &mut selectable);
        selectable
    }

    /// Keeps ejected but reachable upstreams in use while they are more than half of the service,
    /// starting with those whose ejection ends first.
    fn readmit_ejected<'a>(
        &self,
        total: usize,
        mut ejected: Vec<(Duration, bool, Scored<'a>)>,
        selectable: &mut Selectable<'a>,
    ) {
        ejected.retain(|(_, is_unreachable, _)| !is_unreachable);
        ejected.sort_by_key(|(remaining, ..)| *remaining);
        let excess = ejected.len().saturating_sub(total / 2);
        let readmitted = ejected.into_iter().take(excess);
        selectable
            .usable
            .extend(readmitted.map(|(.., scored)| scored));
    }

    fn lowest_cost(&self, candidates: &[Candidate]) -> f64 {
        let tracked = candidates
            .iter()
            .filter_map(|candidate| self.upstreams.get(&candidate.upstream.name));
        let costs = tracked.filter_map(TrackedUpstream::reported_cost);
        costs.fold(f64::INFINITY, f64::min)
    }

    fn choose_by_load<'a>(&self, usable: &[Scored<'a>], rng: &mut impl Rng) -> Option<Scored<'a>> {
        let (local, remote): (Vec<_>, Vec<_>) = usable
            .iter()
            .partition(|scored| scored.candidate.upstream.domain == self.domain);
        let local = best_of_two(&local, rng);
        let remote = best_of_two(&remote, rng);
        match (local, remote) {
            (Some(local), Some(remote)) => {
                let is_comparable = local.score <= remote.score * LOCAL_ADVANTAGE;
                Some(if local.is_in_time() || is_comparable {
                    local
                } else {
                    remote
                })
            }
            (local, remote) => local.or(remote),
        }
    }

    fn choose_round_robin<'a>(&mut self, usable: &[Scored<'a>]) -> Option<Scored<'a>> {
        if usable.is_empty() {
            return None;
        }
        self.cursor = self.cursor.wrapping_add(1);
        Some(usable[self.cursor % usable.len()])
    }
}

/// Shortest retry delay returned to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Selectable<'a> {
    usable: Vec<Scored<'a>>,
    /// Upstreams that get no calls until the end of a backoff, while there are usable ones.
    paused: Vec<Scored<'a>>,
    probe: Option<Scored<'a>>,
    retry_after: Duration,
}
