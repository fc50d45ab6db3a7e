//! One run: warm-up, light load to measure the added latency, peak load, then load with a fault.

use std::time::{Duration, Instant};

use log::info;
use tokio::time::sleep;
use wagtaillever_coordination::DrainAction;

use crate::{
    arguments::value_name,
    caller::{Bucket, CallOutcome, CallRecord, CallerLoad, Tally, Target},
    deployment::Deployment,
    error::BenchError,
    fleet::FleetOptions,
    service::{
        CallAudit, ServiceBaseline, ServiceFault, ServiceResult,
        inject::{InjectionResult, Injector},
        testbed::Testbed,
    },
};

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct ServiceOptions {
    pub(crate) deployment: Deployment,
    /// Offered load as a multiple of the capacity.
    pub(crate) load: f64,
    pub(crate) fault: ServiceFault,
    /// Baseline to measure instead of the system.
    pub(crate) baseline: Option<ServiceBaseline>,
    pub(crate) seed: u64,
    /// Duration of the load with the fault.
    pub(crate) duration: Duration,
}

/// Duration of the warm-up.
const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// Load of the warm-up as a multiple of the capacity.
const WARM_UP_LOAD: f64 = 0.5;
/// Duration of the peak load.
const PEAK_TIME: Duration = Duration::from_secs(6);
/// Time at the start of the peak load that is excluded from the measurement.
const PEAK_WARM_UP: Duration = Duration::from_secs(2);
/// Duration of the light load that measures the added latency.
const LIGHT_LOAD_TIME: Duration = Duration::from_secs(6);
/// Rate of the light load per node.
const LIGHT_CALLS_PER_S: f64 = 20.0;
/// Width of a bucket of the series.
const BUCKET_WIDTH: Duration = Duration::from_millis(250);
/// Time for the initial drain to take effect before the load starts.
const DRAIN_WAIT: Duration = Duration::from_secs(4);
/// Index of the failure domain that faults affect.
pub(super) const FAULT_DOMAIN: usize = 1;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if the deployment can't be started or a node can't be restarted.
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
        direct_overload: CallAudit::default(),
    };
    run.execute().await
}

struct Run {
    testbed: Testbed,
    targets: Vec<Target>,
    options: ServiceOptions,
    records: Vec<CallRecord>,
    /// Overload counts of upstreams during the direct load, which the system does not control.
    direct_overload: CallAudit,
}

impl Run {
    async fn execute(&mut self) -> Result<ServiceResult, BenchError> {
        let fault = self.options.fault;
        if fault == ServiceFault::DomainReturn {
            self.testbed.publish_order(FAULT_DOMAIN, DrainAction::Drain);
            sleep(DRAIN_WAIT).await;
        }
        info!("warm-up load");
        self.run_load("warm", WARM_UP_LOAD, WARM_UP_TIME).await;
        let mut result = self.new_result();
        if fault == ServiceFault::None && self.options.baseline.is_none() {
            info!("light load for the added latency");
            let before = self.testbed.counts();
            result.added_p99_ms = Some(self.measure_added_p99_ms().await);
            self.direct_overload = CallAudit::overload_between(&before, &self.testbed.counts());
        }
        let peak = match fault {
            ServiceFault::Overload => Some(self.measure_peak().await),
            _ => None,
        };
        info!(
            "load {} times the capacity, fault {fault:?}",
            self.options.load
        );
        let (records, injected) = self.run_with_fault().await?;
        self.record_calls(&mut result, &records, peak);
        self.records.extend(records);
        self.record_audit(&mut result, &injected).await;
        result.check_bounds(fault.is_planned(), injected.crash_requests);
        if !result.broken.is_empty() {
            let logs = self.testbed.fleet.keep_logs();
            info!("settings and logs kept in {}", logs.display());
        }
        Ok(result)
    }

    fn new_result(&self) -> ServiceResult {
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

    async fn run_load(&mut self, label: &str, load: f64, duration: Duration) -> Vec<CallRecord> {
        let rate = load * self.testbed.capacity();
        let workload = self.testbed.workload(label, rate);
        let load = CallerLoad::start(self.targets.clone(), workload, self.options.seed);
        sleep(duration).await;
        let records = load.finish().await;
        self.records.extend(records.iter().cloned());
        records
    }

    async fn measure_peak(&mut self) -> f64 {
        info!("peak load");
        let records = self.run_load("peak", 1.0, PEAK_TIME).await;
        let tally = Tally::of(&records, PEAK_WARM_UP, PEAK_TIME);
        tally.count(CallOutcome::Good) as f64 / (PEAK_TIME - PEAK_WARM_UP).as_secs_f64()
    }

    /// Runs the same light load through the nodes and directly to the upstreams, at the same time.
    async fn measure_added_p99_ms(&mut self) -> f64 {
        let rate = LIGHT_CALLS_PER_S * self.targets.len() as f64;
        let light = |label| {
            let mut workload = self.testbed.workload(label, rate);
            let services = &self.testbed.fleet.deployment().services;
            for (kind, shape) in workload.kinds.iter_mut().zip(services) {
                kind.query = format!("ms={}", shape.service_ms);
            }
            workload
        };
        let seed = self.options.seed;
        let proxied = CallerLoad::start(self.targets.clone(), light("through"), seed);
        let direct = CallerLoad::start(self.testbed.direct_targets(), light("past"), seed + 1);
        sleep(LIGHT_LOAD_TIME).await;
        let proxied = proxied.finish().await;
        let direct = direct.finish().await;
        let p99 = |records: &[CallRecord]| {
            Tally::of(records, Duration::ZERO, LIGHT_LOAD_TIME).quantile_ms(0.99)
        };
        let added = p99(&proxied) - p99(&direct);
        info!(
            "p99 latency {:.2} ms through the nodes, {:.2} ms directly",
            p99(&proxied),
            p99(&direct)
        );
        self.records.extend(proxied);
        self.records.extend(direct);
        added
    }

    async fn run_with_fault(&mut self) -> Result<(Vec<CallRecord>, InjectionResult), BenchError> {
        let rate = self.options.load * self.testbed.capacity();
        let workload = self.testbed.workload("main", rate);
        let duration = self.options.duration;
        let load = CallerLoad::start(self.targets.clone(), workload, self.options.seed + 2);
        let end = Instant::now() + duration;
        sleep(duration / 3).await;
        let mut injector = Injector::new(&mut self.testbed, &self.targets, self.options.seed);
        let injected = injector.inject(self.options.fault, duration / 3).await;
        sleep(end.saturating_duration_since(Instant::now())).await;
        let records = load.finish().await;
        Ok((records, injected?))
    }

    fn record_calls(&self, result: &mut ServiceResult, records: &[CallRecord], peak: Option<f64>) {
        let duration = self.options.duration;
        let warm_up = duration / 6;
        let tally = Tally::of(records, warm_up, duration);
        result.offered = tally.offered;
        result.good = tally.count(CallOutcome::Good);
        result.refused = tally.count(CallOutcome::Refused);
        result.unknown = tally.count(CallOutcome::Unknown) + tally.count(CallOutcome::Broken);
        result.p50_ms = tally.quantile_ms(0.5);
        result.p99_ms = tally.quantile_ms(0.99);
        let good = result.good as f64;
        let rate = good / (duration - warm_up).as_secs_f64();
        result.goodput_ratio = peak.map_or(good / result.offered.max(1) as f64, |p| rate / p);
        result.reasons = tally.reasons;
        result.series = Bucket::series(records, BUCKET_WIDTH);
    }

    /// Returns the attempts per call that nodes received; for the baseline without sidecar, the
    /// attempts per request.
    async fn attempts_per_call(&self, audit: &CallAudit) -> f64 {
        if self.options.baseline == Some(ServiceBaseline::NoSidecar) {
            return audit.attempts as f64 / self.records.len().max(1) as f64;
        }
        let calls = self.testbed.metric("calls_total").await;
        self.testbed.metric("attempts_total").await / calls.max(1.0)
    }

    async fn record_audit(&self, result: &mut ServiceResult, injected: &InjectionResult) {
        let audit = CallAudit::of(&self.records, &self.testbed.counts());
        result.attempts_per_call = self.attempts_per_call(&audit).await;
        result.audit = CallAudit {
            over_limit: audit.over_limit - self.direct_overload.over_limit,
            swamped: audit.swamped - self.direct_overload.swamped,
            ..audit
        };
        result.innocent_refused = result.reasons.get("poison").copied().unwrap_or(0);
        result.last_new_work_ms = injected.last_new_work_ms;
        result.invariants_broken = self.testbed.broken_invariants().await;
    }
}
