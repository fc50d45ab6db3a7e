//! One run: warm-up, light load for the added latency, peak, then the load under a fault.

use std::time::{Duration, Instant};

use log::info;
use tokio::time::sleep;
use wagtaillever_coordination::DrainAction;

use crate::{
    arguments::value_name,
    caller::{Answered, Bucket, CallRecord, CallerLoad, Tally, Target},
    deployment::Deployment,
    error::BenchError,
    fleet::FleetOptions,
    service::{
        CallAudit, ServiceBaseline, ServiceFault, ServiceResult,
        inject::{Injected, Injector},
        testbed::Testbed,
    },
};

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct ServiceOptions {
    /// The deployment.
    pub(crate) deployment: Deployment,
    /// Offered load as a multiple of the capacity.
    pub(crate) load: f64,
    /// What is brought about.
    pub(crate) fault: ServiceFault,
    /// What is measured in place of the system.
    pub(crate) baseline: Option<ServiceBaseline>,
    /// Seed.
    pub(crate) seed: u64,
    /// Time under load.
    pub(crate) span: Duration,
}

/// Time of the warm-up.
const WARM_UP: Duration = Duration::from_secs(6);
/// Load of the warm-up as a multiple of the capacity.
const WARM_UP_LOAD: f64 = 0.5;
/// Time for which the peak is measured.
const PEAK_SPAN: Duration = Duration::from_secs(6);
/// Start of the peak that does not count.
const PEAK_SETTLE: Duration = Duration::from_secs(2);
/// Time of the light load that shows the added latency.
const LIGHT_SPAN: Duration = Duration::from_secs(6);
/// Calls a second of the light load for each node.
const LIGHT_RATE: f64 = 20.0;
/// Width of a slice of the series.
const SLICE: Duration = Duration::from_millis(250);
/// Pause before a run in which a failure domain is drained from the start.
const DRAINED_PAUSE: Duration = Duration::from_secs(4);
/// Failure domain that faults hit.
pub(super) const HIT_DOMAIN: usize = 1;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error when the deployment can't be started.
pub(crate) async fn run_service(options: ServiceOptions) -> Result<ServiceResult, BenchError> {
    let mut fleet = FleetOptions::new(options.deployment.clone());
    fleet.seed = options.seed;
    fleet.log_filter = "warn".into();
    if let Some(baseline) = options.baseline {
        fleet.policies = baseline.policies();
    }
    let testbed = Testbed::start(fleet).await?;
    let mut run = Run {
        targets: match options.baseline {
            Some(ServiceBaseline::NoSidecar) => testbed.direct_targets(),
            _ => testbed.targets(),
        },
        testbed,
        options,
        records: Vec::new(),
        past_system: CallAudit::default(),
    };
    run.all().await
}

struct Run {
    testbed: Testbed,
    targets: Vec<Target>,
    options: ServiceOptions,
    records: Vec<CallRecord>,
    /// Load that went past the system, for which it can't answer.
    past_system: CallAudit,
}

impl Run {
    async fn all(&mut self) -> Result<ServiceResult, BenchError> {
        let fault = self.options.fault;
        if fault == ServiceFault::DomainReturn {
            self.testbed.order(HIT_DOMAIN, DrainAction::Drain);
            sleep(DRAINED_PAUSE).await;
        }
        info!("warm-up");
        self.load("warm", WARM_UP_LOAD, WARM_UP).await;
        let mut result = self.blank();
        if fault == ServiceFault::None && self.options.baseline.is_none() {
            info!("light load");
            let before = self.testbed.counts();
            result.added_p99_ms = Some(self.added_p99().await);
            self.past_system = CallAudit::load_between(&before, &self.testbed.counts());
        }
        let peak = match fault {
            ServiceFault::Overload => Some(self.peak().await),
            _ => None,
        };
        info!("load {} with fault {fault:?}", self.options.load);
        let (records, injected) = self.loaded().await?;
        self.fill(&mut result, &records, peak);
        self.records.extend(records);
        self.settle(&mut result, &injected).await;
        result.judge(fault.is_planned(), injected.poisons);
        Ok(result)
    }

    fn blank(&self) -> ServiceResult {
        let baseline = self.options.baseline;
        ServiceResult {
            deployment: self.options.deployment.name.clone(),
            fault: value_name(&self.options.fault),
            baseline: baseline.as_ref().map(value_name).unwrap_or_default(),
            seed: self.options.seed,
            load: self.options.load,
            ..ServiceResult::default()
        }
    }

    async fn load(&mut self, label: &str, load: f64, span: Duration) -> Vec<CallRecord> {
        let rate = load * self.testbed.capacity();
        let workload = self.testbed.workload(label, rate);
        let load = CallerLoad::start(self.targets.clone(), workload, self.options.seed);
        sleep(span).await;
        let records = load.finish().await;
        self.records.extend(records.iter().cloned());
        records
    }

    async fn peak(&mut self) -> f64 {
        info!("peak");
        let records = self.load("peak", 1.0, PEAK_SPAN).await;
        let tally = Tally::of(&records, PEAK_SETTLE, PEAK_SPAN);
        tally.count(Answered::Good) as f64 / (PEAK_SPAN - PEAK_SETTLE).as_secs_f64()
    }

    /// Runs the same light load through the system and past it at the same time.
    async fn added_p99(&mut self) -> f64 {
        let rate = LIGHT_RATE * self.targets.len() as f64;
        let light = |label| {
            let mut workload = self.testbed.workload(label, rate);
            let services = &self.testbed.fleet.deployment().services;
            for (kind, shape) in workload.kinds.iter_mut().zip(services) {
                kind.query = format!("ms={}", shape.service_ms);
            }
            workload
        };
        let seed = self.options.seed;
        let through = CallerLoad::start(self.targets.clone(), light("through"), seed);
        let past = CallerLoad::start(self.testbed.direct_targets(), light("past"), seed + 1);
        sleep(LIGHT_SPAN).await;
        let through = through.finish().await;
        let past = past.finish().await;
        let p99 = |records: &[CallRecord]| {
            Tally::of(records, Duration::ZERO, LIGHT_SPAN).quantile_ms(0.99)
        };
        let added = p99(&through) - p99(&past);
        info!(
            "p99 {:.2} ms through, {:.2} ms past",
            p99(&through),
            p99(&past)
        );
        self.records.extend(through);
        self.records.extend(past);
        added
    }

    async fn loaded(&mut self) -> Result<(Vec<CallRecord>, Injected), BenchError> {
        let rate = self.options.load * self.testbed.capacity();
        let workload = self.testbed.workload("main", rate);
        let span = self.options.span;
        let load = CallerLoad::start(self.targets.clone(), workload, self.options.seed + 2);
        let end = Instant::now() + span;
        sleep(span / 3).await;
        let mut injector = Injector::new(&mut self.testbed, &self.targets, self.options.seed);
        let injected = injector.inject(self.options.fault, span / 3).await;
        sleep(end.saturating_duration_since(Instant::now())).await;
        let records = load.finish().await;
        Ok((records, injected?))
    }

    fn fill(&self, result: &mut ServiceResult, records: &[CallRecord], peak: Option<f64>) {
        let span = self.options.span;
        let settle = span / 6;
        let tally = Tally::of(records, settle, span);
        result.offered = tally.offered;
        result.good = tally.count(Answered::Good);
        result.refused = tally.count(Answered::Refused);
        result.unknown = tally.count(Answered::Unknown) + tally.count(Answered::Broken);
        result.p50_ms = tally.quantile_ms(0.5);
        result.p99_ms = tally.quantile_ms(0.99);
        let good = result.good as f64;
        let rate = good / (span - settle).as_secs_f64();
        result.goodput_ratio = peak.map_or(good / result.offered.max(1) as f64, |p| rate / p);
        result.reasons = tally.reasons;
        result.series = Bucket::series(records, SLICE);
    }

    /// Returns the attempts for each call that reached a node; without nodes, for each request.
    async fn attempts_per_call(&self, audit: &CallAudit) -> f64 {
        if self.options.baseline == Some(ServiceBaseline::NoSidecar) {
            return audit.attempts as f64 / self.records.len().max(1) as f64;
        }
        let calls = self.testbed.metric("calls_total").await;
        self.testbed.metric("attempts_total").await / calls.max(1.0)
    }

    async fn settle(&self, result: &mut ServiceResult, injected: &Injected) {
        let audit = CallAudit::of(&self.records, &self.testbed.counts());
        result.attempts_per_call = self.attempts_per_call(&audit).await;
        result.audit = CallAudit {
            over_limit: audit.over_limit - self.past_system.over_limit,
            swamped: audit.swamped - self.past_system.swamped,
            ..audit
        };
        result.innocent_refused = result.reasons.get("poison").copied().unwrap_or(0);
        result.last_new_work_ms = injected.last_new_work_ms;
        result.invariants_broken = self.testbed.broken_invariants().await;
    }
}
