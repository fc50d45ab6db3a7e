//! Choice of an upstream by the share of a service that leaves the failure domain.

use std::time::{Duration, Instant};

use rand::Rng;

use super::{Balancer, Constraints, Scored, Selectable, scored::best_of_two};
use crate::{
    candidates::Candidates,
    health::HealthStatus,
    name::DomainName,
    spillover::{CallLimits, Direction, DomainEstimates, ShareChange},
};

impl Balancer {
    /// Records the measured round trip to the sidecar of a candidate.
    pub fn record_round_trip(&mut self, domain: &DomainName, round_trip: Duration) {
        if let Some(spillover) = &mut self.spillover
            && *domain != self.domain
        {
            spillover.record_round_trip(domain, round_trip);
        }
    }

    /// Returns the noticeable changes, since the last call, of the shares that leave the domain.
    pub fn take_share_changes(&mut self) -> Vec<ShareChange> {
        let spillover = self.spillover.as_mut();
        spillover.map_or_else(Vec::new, |spillover| spillover.take_changes())
    }

    /// Forgets shares of services and domains that have no candidates.
    pub(super) fn retain_shares(&mut self, candidates: &Candidates) {
        if let Some(spillover) = &mut self.spillover {
            let upstreams = || candidates.iter().map(|c| &c.upstream);
            let services = upstreams().map(|upstream| upstream.service.clone());
            let domains = upstreams().map(|upstream| upstream.domain.clone());
            spillover.retain(&services.collect(), &domains.collect());
        }
    }

    /// Returns the upstream for a call where the share that leaves the domain decides; `None` if the
    /// setting is off or no upstream is usable.
    pub(super) fn choose_by_share<'a>(
        &mut self,
        selectable: &Selectable<'a>,
        constraints: Constraints<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<Scored<'a>> {
        let service = &selectable.usable.first()?.candidate.upstream.service;
        let mut spillover = self.spillover.take()?;
        let limits = CallLimits {
            target_ms: constraints.target_ms,
            is_retry: !constraints.excluded.is_empty(),
        };
        let estimates = || self.estimates(selectable, constraints, now);
        let direction = spillover.direction(service, limits, estimates, now, rng);
        self.spillover = Some(spillover);
        let best_in = |domain: &DomainName, rng: &mut _| {
            let usable = selectable.usable.iter();
            let in_domain = usable.filter(|scored| {
                let is_remote = *domain != self.domain;
                scored.candidate.upstream.domain == *domain
                    && (!is_remote || self.is_destination(scored, constraints, now))
            });
            best_of_two(&in_domain.collect::<Vec<_>>(), rng)
        };
        let local = best_in(&self.domain, rng);
        let remote = match &direction {
            Direction::Cross(domain) => best_in(domain, rng).filter(|remote| {
                limits.is_retry || local.is_none_or(|local| self.gains(&local, remote))
            }),
            Direction::Explore(domain) => best_in(domain, rng),
            Direction::Stay => None,
        };
        // A destination that has filled up since the last step gets no call.
        let remote = remote.filter(|remote| !remote.is_full());
        let chosen = remote.or(local);
        // Without a usable upstream in the own domain, the call would fail if it stayed.
        chosen.or_else(|| {
            let all: Vec<_> = selectable.usable.iter().collect();
            best_of_two(&all, rng)
        })
    }

    /// Returns whether a call gains as much at a remote upstream as a crossing must bring. Unlike the
    /// share, this follows the calls of this node without delay.
    fn gains(&self, local: &Scored<'_>, remote: &Scored<'_>) -> bool {
        let required = self.policy.spillover.unwrap_or_default().crossing_gain;
        match (local.expected, remote.expected) {
            (Some(local), Some(remote)) => local - remote >= required,
            _ => true,
        }
    }

    /// Returns whether an upstream may get calls that leave the domain. Ejected upstreams and those
    /// without a connection are used only if there are no others at all.
    fn is_destination(
        &self,
        scored: &Scored<'_>,
        constraints: Constraints<'_>,
        now: Instant,
    ) -> bool {
        let candidate = scored.candidate;
        let tracked = self.upstreams.get(&candidate.upstream.name);
        let status = tracked.map_or(HealthStatus::Healthy, |tracked| tracked.health.status(now));
        matches!(status, HealthStatus::Healthy | HealthStatus::Suspect)
            && !constraints.unreachable.contains(&candidate.address)
    }

    fn estimates(
        &self,
        selectable: &Selectable<'_>,
        constraints: Constraints<'_>,
        now: Instant,
    ) -> DomainEstimates {
        let mut estimates = DomainEstimates::new(self.domain.clone());
        for scored in selectable.usable.iter().chain(&selectable.paused) {
            if !self.is_destination(scored, constraints, now) {
                continue;
            }
            let upstream = &scored.candidate.upstream;
            let report = self.upstreams.get(&upstream.name).and_then(|tracked| {
                let is_backed_off = tracked.is_backed_off(constraints.target_ms, now);
                tracked.report(is_backed_off, now)
            });
            estimates.add(&upstream.domain, report);
        }
        estimates
    }
}
