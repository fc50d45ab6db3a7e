//! Share of the calls of each service that leaves the failure domain of the node.
//!
//! The node decides alone, from the loads and response times that sidecars report with each answer.
//! Per service and domain it keeps one share, which moves in small steps.

mod estimate;
mod service_share;

#[cfg(test)]
mod tests;

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use rand::Rng;

use self::service_share::ServiceShare;
pub(crate) use self::{
    estimate::{DomainEstimates, UpstreamReport},
    service_share::Direction,
};
use crate::name::{DomainName, ServiceName};

/// Weight of the newest round trip in the moving mean of a domain.
const ROUND_TRIP_WEIGHT: f64 = 0.1;
/// Changes kept until they are taken. Services beyond it report theirs with a later step.
const MAX_PENDING_CHANGES: usize = 64;

/// Default gain of a crossing. In the queueing model, 0.2 sends up to a fifth more calls to other
/// domains and 0.3 up to a tenth fewer; the answers in time differ by 0.14% at most.
const DEFAULT_CROSSING_GAIN: f64 = 0.25;

/// Settings of the calls that leave the failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpilloverSettings {
    /// Gain in expected response time, relative to the target latency, that a call to another failure
    /// domain must bring.
    pub crossing_gain: f64,
}

impl Default for SpilloverSettings {
    fn default() -> Self {
        Self {
            crossing_gain: DEFAULT_CROSSING_GAIN,
        }
    }
}

/// Noticeable change of the share of a service that leaves the failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareChange {
    /// Service whose calls leave.
    pub service: ServiceName,
    /// Domain that gets most of them; `None` if all calls stay.
    pub domain: Option<DomainName>,
    /// Share of the next calls that leaves, over all destinations.
    pub share: f64,
    /// Expected response time of the own domain relative to the target latency, if known.
    pub own_expected: Option<f64>,
    /// Age of the newest report of the own domain.
    pub own_age: Option<Duration>,
    /// Expected response time of `domain` relative to the target latency, round trip included.
    pub other_expected: Option<f64>,
    /// Age of the newest report of `domain`.
    pub other_age: Option<Duration>,
}

/// Decides which calls leave the failure domain of the node.
#[derive(Debug)]
pub(crate) struct Spillover {
    settings: SpilloverSettings,
    services: HashMap<ServiceName, ServiceShare>,
    round_trips: HashMap<DomainName, f64>,
    changes: Vec<ShareChange>,
}

impl Spillover {
    pub(crate) fn new(settings: SpilloverSettings) -> Self {
        Self {
            settings,
            services: HashMap::new(),
            round_trips: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Records a measured round trip to a sidecar in another domain.
    pub(crate) fn record_round_trip(&mut self, domain: &DomainName, round_trip: Duration) {
        let seconds = round_trip.as_secs_f64();
        let mean = self.round_trips.entry(domain.clone()).or_insert(seconds);
        *mean += ROUND_TRIP_WEIGHT * (seconds - *mean);
    }

    /// Returns where the next call of a service goes. `estimates` is called when a step of the share
    /// is due.
    pub(crate) fn direction(
        &mut self,
        service: &ServiceName,
        call: CallLimits,
        estimates: impl FnOnce() -> DomainEstimates,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Direction {
        if !self.services.contains_key(service) {
            let share = ServiceShare::new(now, rng);
            self.services.insert(service.clone(), share);
        }
        let Some(state) = self.services.get_mut(service) else {
            return Direction::Stay;
        };
        state.record_target(call.target_ms);
        // The estimates for a retry lack the upstreams that it has tried.
        if state.is_step_due(now) && !call.is_retry {
            let mut estimates = estimates();
            estimates.add_round_trips(&self.round_trips, state.target());
            state.step(&estimates, self.settings, now, rng);
            if self.changes.len() < MAX_PENDING_CHANGES {
                self.changes.extend(state.take_change(service, &estimates));
            }
        }
        let direction = state.next_direction(call.is_retry, rng);
        match &direction {
            Direction::Cross(domain) | Direction::Explore(domain)
                if !self.is_worth_the_way(domain, call.target_ms) =>
            {
                Direction::Stay
            }
            _ => direction,
        }
    }

    /// Returns whether the round trip to a domain takes less than the required gain of the target
    /// latency of a call. The share is that of all routes of the service, some of which may have a
    /// shorter target.
    fn is_worth_the_way(&self, domain: &DomainName, target_ms: Option<u64>) -> bool {
        let (Some(round_trip), Some(target)) = (self.round_trips.get(domain), target_ms) else {
            return true;
        };
        let target = Duration::from_millis(target).as_secs_f64();
        *round_trip <= self.settings.crossing_gain * target
    }

    /// Returns the noticeable changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets services and domains that have no candidates any more.
    pub(crate) fn retain(
        &mut self,
        services: &HashSet<ServiceName>,
        domains: &HashSet<DomainName>,
    ) {
        self.services
            .retain(|service, _| services.contains(service));
        self.round_trips
            .retain(|domain, _| domains.contains(domain));
    }

    /// Ends all shares, for example after this process was paused: what they rest on is outdated.
    pub(crate) fn clear(&mut self) {
        self.services.clear();
    }
}

/// What a call states of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallLimits {
    /// Target latency of its route in milliseconds, if configured.
    pub(crate) target_ms: Option<u64>,
    /// Whether another upstream did not answer the call.
    pub(crate) is_retry: bool,
}
