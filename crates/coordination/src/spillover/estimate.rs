//! What a node knows of the upstreams of a service in each failure domain.

use std::{collections::HashMap, time::Duration};

use crate::name::DomainName;

/// Age above which a report counts as no information: the waves of demand last some seconds.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Time constant with which older reports lose weight against newer ones.
const REPORT_DECAY: Duration = Duration::from_secs(1);
/// Relative increase in response time of an upstream at its limit, as for single upstreams.
const FULL_LOAD_SLOWDOWN: f64 = 2.0;
/// Highest load for which the increase is assumed: beyond it, reports of load are mostly of queues
/// that the reported response time contains already.
const MAX_LOAD: f64 = 1.5;
/// Reported cost of an answer that takes exactly the target latency.
const COST_UNIT: f64 = 1000.0;

/// Last report of one upstream, without any assumption about what changed since.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamReport {
    /// Requests that run or wait, those of this node included.
    pub(crate) in_use: f64,
    /// Concurrency limit.
    pub(crate) limit: f64,
    /// Time until a good answer in thousandths of the target latency.
    pub(crate) cost: f64,
    /// Age of the report.
    pub(crate) age: Duration,
    /// Whether the upstream refused a call for lack of capacity and asked for a pause.
    pub(crate) is_backed_off: bool,
}

/// State of the usable upstreams of one domain.
#[derive(Clone, Debug)]
pub(crate) struct DomainEstimate {
    pub(crate) domain: DomainName,
    time_sum: f64,
    weight: f64,
    in_use: f64,
    limit: f64,
    round_trip: f64,
    age: Option<Duration>,
}

impl DomainEstimate {
    fn new(domain: DomainName) -> Self {
        Self {
            domain,
            time_sum: 0.0,
            weight: 0.0,
            in_use: 0.0,
            limit: 0.0,
            round_trip: 0.0,
            age: None,
        }
    }

    /// Returns the expected response time relative to the target latency, or `None` without a recent
    /// report.
    pub(crate) fn expected(&self) -> Option<f64> {
        let slowdown = 1.0 + FULL_LOAD_SLOWDOWN * self.load().min(MAX_LOAD).powi(2);
        (self.weight > 0.0).then(|| self.time_sum / self.weight * slowdown + self.round_trip)
    }

    /// Returns the requests that run or wait as a share of the limits, of upstreams with a recent
    /// report.
    pub(crate) fn load(&self) -> f64 {
        if self.limit > 0.0 {
            self.in_use / self.limit
        } else {
            1.0
        }
    }

    /// Returns the age of the newest report.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.age
    }

    fn add(&mut self, report: UpstreamReport) {
        if report.age > MAX_REPORT_AGE || report.cost <= 0.0 || report.limit <= 0.0 {
            return;
        }
        let mut load = report.in_use / report.limit;
        if report.is_backed_off {
            load = load.max(1.0);
        }
        let freshness = (-report.age.div_duration_f64(REPORT_DECAY)).exp();
        let time = report.cost / COST_UNIT;
        // Calls are distributed in proportion to limit and speed.
        let weight = freshness * report.limit / time;
        self.weight += weight;
        self.time_sum += weight * time;
        self.limit += freshness * report.limit;
        self.in_use += freshness * report.limit * load;
        self.age = Some(self.age.map_or(report.age, |age| age.min(report.age)));
    }
}

/// State of a service in the own domain and in the others.
#[derive(Clone, Debug)]
pub(crate) struct DomainEstimates {
    pub(crate) own: DomainEstimate,
    pub(crate) others: Vec<DomainEstimate>,
}

impl DomainEstimates {
    pub(crate) fn new(own: DomainName) -> Self {
        Self {
            own: DomainEstimate::new(own),
            others: Vec::new(),
        }
    }

    /// Adds a usable upstream and its last report, if there is one.
    pub(crate) fn add(&mut self, domain: &DomainName, report: Option<UpstreamReport>) {
        let position = self.others.iter().position(|other| other.domain == *domain);
        let estimate = match position {
            _ if self.own.domain == *domain => &mut self.own,
            Some(position) => &mut self.others[position],
            None => {
                self.others.push(DomainEstimate::new(domain.clone()));
                let last = self.others.len() - 1;
                &mut self.others[last]
            }
        };
        if let Some(report) = report {
            estimate.add(report);
        }
    }

    /// Adds the round trips, in seconds, to the expected times of the other domains.
    pub(super) fn add_round_trips(
        &mut self,
        round_trips: &HashMap<DomainName, f64>,
        target: Option<Duration>,
    ) {
        let Some(target) = target else {
            return;
        };
        for other in &mut self.others {
            let round_trip = round_trips.get(&other.domain).copied();
            other.round_trip = round_trip.unwrap_or(0.0) / target.as_secs_f64();
        }
    }

    pub(super) fn other(&self, domain: &DomainName) -> Option<&DomainEstimate> {
        self.others.iter().find(|other| other.domain == *domain)
    }
}
