//! Injects faults while calls run.

use std::time::{Duration, Instant};

use log::info;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;
use wagtaillever_coordination::{Changes, DrainAction, ReleaseNote, Sequence};

use crate::{
    caller::{CallerLoad, Target},
    error::BenchError,
    proxy::{Rule, Rules},
    service::{ServiceFault, run::FAULT_DOMAIN, testbed::Testbed},
    upstream::HealthMode,
};

/// Observations during the injection of a fault.
#[derive(Clone, Debug, Default)]
pub(crate) struct InjectionResult {
    /// Number of requests sent that crash every upstream that executes them.
    pub(crate) crash_requests: u64,
    /// Time from the drain or withdrawal until the last new request, in milliseconds.
    pub(crate) last_new_work_ms: Option<f64>,
}

/// Injects faults into a testbed.
pub(crate) struct Injector<'a> {
    testbed: &'a mut Testbed,
    targets: &'a [Target],
    rng: SmallRng,
}

/// Time until a killed upstream is restarted.
const UPSTREAM_DOWNTIME: Duration = Duration::from_millis(500);
/// Time until a killed node is restarted.
const NODE_DOWNTIME: Duration = Duration::from_millis(500);
/// Interval between two kills, restarts or pauses.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time for which a node is paused; longer than any timeout between nodes.
const PAUSE_DURATION: Duration = Duration::from_secs(4);
/// Maximum time of a graceful stop or a start of a node.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of requests that crash upstreams.
const CRASH_REQUESTS: u64 = 2;
/// Maximum number of times that a caller sends a request that crashes upstreams.
const MAX_CRASH_SENDS: u32 = 8;
/// Time for which a caller resends a request that crashes upstreams.
const CRASH_DEADLINE: Duration = Duration::from_secs(8);
/// Bytes after which a connection between failure domains is cut.
const CUT_BYTES: u64 = 100_000;
/// Limits that upstreams state one after the other, as shares of their capacity.
const STATED_SHARES: [f64; 2] = [0.1, 0.02];
/// Interval between two release notes during configuration churn.
const CHURN_INTERVAL: Duration = Duration::from_millis(250);

impl<'a> Injector<'a> {
    pub(crate) fn new(testbed: &'a mut Testbed, targets: &'a [Target], seed: u64) -> Self {
        Self {
            testbed,
            targets,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Injects a fault. Faults that end by themselves last for about `duration`.
    ///
    /// # Errors
    ///
    /// Returns an error if a node can't be restarted.
    pub(crate) async fn inject(
        &mut self,
        fault: ServiceFault,
        duration: Duration,
    ) -> Result<InjectionResult, BenchError> {
        let end = Instant::now() + duration;
        let mut result = InjectionResult::default();
        match fault {
            ServiceFault::None | ServiceFault::Overload => {}
            ServiceFault::Cold => self.cold_start_upstreams(end).await,
            ServiceFault::Liar => self.falsify_health(),
            ServiceFault::CrashRequest => result.crash_requests = self.send_crash_requests().await,
            ServiceFault::Kill => self.kill_nodes(end).await?,
            ServiceFault::Pause => self.pause_nodes(end).await,
            ServiceFault::Partition => self.partition_domain(duration).await,
            ServiceFault::CutBody => {
                self.apply_rules(duration, |rules| {
                    rules.set_cross_domain(Rule::CutAfter(CUT_BYTES))
                })
                .await;
            }
            ServiceFault::HalfOpen => {
                let vm = self.random_vm();
                self.apply_rules(duration, |rules| rules.set_vm(vm, Rule::HalfOpen))
                    .await;
            }
            ServiceFault::DomainLeave => {
                result.last_new_work_ms = self.drain_domain(duration).await;
            }
            ServiceFault::DomainReturn => self
                .testbed
                .publish_order(FAULT_DOMAIN, DrainAction::Restore),
            ServiceFault::DomainDeath => self.kill_domain(),
            ServiceFault::ThirdDown => self.kill_third(duration),
            ServiceFault::NodeStop => self.stop_nodes(end).await?,
            ServiceFault::UpstreamStop => {
                result.last_new_work_ms = self.stop_upstream(duration).await;
            }
            ServiceFault::StatedLimit => self.state_limits(duration).await,
            ServiceFault::StatedLeaving => self.state_leaving(duration).await,
            ServiceFault::ConfigChurn => self.churn_upstreams(end).await,
        }
        Ok(result)
    }

    fn random_vm(&mut self) -> usize {
        self.rng.random_range(0..self.testbed.upstreams.len())
    }

    /// Resets random upstreams to cold and restarts others, in turn until `end`.
    async fn cold_start_upstreams(&mut self, end: Instant) {
        let mut restarts = false;
        while Instant::now() < end {
            let vm = self.random_vm();
            let upstream = &self.testbed.upstreams[vm];
            if restarts {
                upstream.kill(Some(UPSTREAM_DOWNTIME));
            } else {
                upstream.state().reset_warm_up();
            }
            restarts = !restarts;
            sleep(FAULT_INTERVAL).await;
        }
    }

    /// Makes every second upstream always report bad health, and the others always good health.
    fn falsify_health(&self) {
        for (index, upstream) in self.testbed.upstreams.iter().enumerate() {
            let health = if index % 2 == 0 {
                HealthMode::AlwaysBad
            } else {
                HealthMode::AlwaysGood
            };
            upstream.state().change(|model| model.health = health);
        }
    }

    async fn send_crash_requests(&self) -> u64 {
        for index in 0..CRASH_REQUESTS {
            let mut workload = self.testbed.workload("poison", 1.0);
            workload.kinds.retain(|kind| !kind.keyed);
            workload.kinds[0].query = format!("crash={}", index + 1);
            workload.max_sends = MAX_CRASH_SENDS;
            workload.deadline = CRASH_DEADLINE;
            let record = CallerLoad::call_once(self.targets.to_vec(), workload, index).await;
            info!("crash request {index}: {:?}", record.sends);
        }
        CRASH_REQUESTS
    }

    async fn kill_nodes(&mut self, end: Instant) -> Result<(), BenchError> {
        while Instant::now() < end {
            let vm = self.random_vm();
            self.testbed.fleet.kill(vm);
            sleep(NODE_DOWNTIME).await;
            self.testbed.fleet.start(vm)?;
            sleep(FAULT_INTERVAL).await;
        }
        Ok(())
    }

    async fn pause_nodes(&mut self, end: Instant) {
        while Instant::now() < end {
            let vm = self.random_vm();
            if let Some(node) = self.testbed.fleet.node_mut(vm) {
                node.pause();
                sleep(PAUSE_DURATION).await;
                node.resume();
            }
            sleep(FAULT_INTERVAL).await;
        }
    }

    async fn partition_domain(&self, duration: Duration) {
        let domains = self.testbed.fleet.layout().domains.len();
        self.apply_rules(duration, |rules| {
            for other in (0..domains).filter(|&other| other != FAULT_DOMAIN) {
                rules.set_both_ways(FAULT_DOMAIN, other, Rule::Hold);
            }
        })
        .await;
    }

    /// Applies rules to the proxy for a duration, then removes them.
    async fn apply_rules(&self, duration: Duration, change: impl FnOnce(&mut Rules)) {
        let Some(proxy) = self.testbed.fleet.proxy() else {
            return;
        };
        proxy.rules().change(change);
        sleep(duration).await;
        proxy.rules().change(|rules| {
            rules.heal();
            rules.set_cross_domain(Rule::Pass);
        });
    }

    async fn drain_domain(&mut self, duration: Duration) -> Option<f64> {
        let ordered = Instant::now();
        self.testbed.publish_order(FAULT_DOMAIN, DrainAction::Drain);
        sleep(duration).await;
        let vms = self.testbed.fleet.layout().vms_of(FAULT_DOMAIN);
        let starts = vms
            .iter()
            .map(|&vm| self.testbed.upstreams[vm].state().counts().last_start);
        let last = starts.flatten().max()?;
        Some(millis_between(ordered, last))
    }

    fn kill_domain(&mut self) {
        for vm in self.testbed.fleet.layout().vms_of(FAULT_DOMAIN) {
            self.testbed.upstreams[vm].kill(None);
            self.testbed.fleet.kill(vm);
        }
    }

    fn kill_third(&self, duration: Duration) {
        for upstream in self.testbed.upstreams.iter().step_by(3) {
            upstream.kill(Some(duration));
        }
    }

    /// Makes every third upstream state a limit that falls once, and ends after the duration.
    async fn state_limits(&self, duration: Duration) {
        let upstreams = || self.testbed.upstreams.iter().step_by(3);
        for share in STATED_SHARES {
            for upstream in upstreams() {
                let capacity = upstream.state().model().capacity();
                upstream.state().set_limit(Some(share * capacity));
            }
            sleep(duration / STATED_SHARES.len() as u32).await;
        }
        upstreams().for_each(|upstream| upstream.state().set_limit(None));
    }

    /// Makes every third upstream state that it is leaving, and restarts it after the duration.
    async fn state_leaving(&self, duration: Duration) {
        let upstreams = || self.testbed.upstreams.iter().step_by(3);
        upstreams().for_each(|upstream| upstream.state().leave());
        sleep(duration).await;
        upstreams().for_each(|upstream| upstream.kill(Some(UPSTREAM_DOWNTIME)));
    }

    async fn stop_nodes(&mut self, end: Instant) -> Result<(), BenchError> {
        let mut vm = 0;
        while Instant::now() < end && vm < self.testbed.upstreams.len() {
            self.stop_node(vm).await;
            self.testbed.fleet.kill(vm);
            self.testbed.fleet.start(vm)?;
            self.testbed.fleet.wait_serving(&[vm], STEP_TIMEOUT).await?;
            vm += 1;
        }
        Ok(())
    }

    async fn stop_node(&mut self, vm: usize) {
        let Some(node) = self.testbed.fleet.node_mut(vm) else {
            return;
        };
        node.terminate();
        let deadline = Instant::now() + STEP_TIMEOUT;
        while !node.has_exited() && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn stop_upstream(&mut self, duration: Duration) -> Option<f64> {
        let vm = self.random_vm();
        let note = self.upstream_note(Sequence(2), None, Some(vm));
        let ordered = Instant::now();
        self.testbed.fleet.publish_note(&note);
        sleep(duration).await;
        let upstream = &self.testbed.upstreams[vm];
        upstream.stop().await;
        let last = upstream.state().counts().last_start?;
        Some(millis_between(ordered, last))
    }

    /// Withdraws random upstreams one after the other and adds them again, until `end`.
    async fn churn_upstreams(&mut self, end: Instant) {
        let mut sequence = Sequence(1);
        let mut withdrawn: Option<usize> = None;
        while Instant::now() < end {
            sequence = sequence.next();
            let next = match withdrawn {
                Some(_) => None,
                None => Some(self.random_vm()),
            };
            let note = self.upstream_note(sequence, withdrawn, next);
            self.testbed.fleet.publish_note(&note);
            withdrawn = next;
            sleep(CHURN_INTERVAL).await;
        }
        if withdrawn.is_some() {
            let note = self.upstream_note(sequence.next(), withdrawn, None);
            self.testbed.fleet.publish_note(&note);
        }
    }

    fn upstream_note(
        &self,
        sequence: Sequence,
        add: Option<usize>,
        withdraw: Option<usize>,
    ) -> ReleaseNote {
        let fleet = &self.testbed.fleet;
        let vms = &fleet.layout().vms;
        let spec = |vm: usize| fleet.layout().upstream(fleet.deployment(), &vms[vm]);
        ReleaseNote {
            note: sequence,
            upstreams: Changes {
                add: add.into_iter().map(|vm| spec(vm).into()).collect(),
                change: Vec::new(),
                withdraw: withdraw
                    .map(|vm| vms[vm].upstream.clone())
                    .into_iter()
                    .collect(),
            },
            ..ReleaseNote::default()
        }
    }
}

fn millis_between(from: Instant, to: Instant) -> f64 {
    to.saturating_duration_since(from).as_secs_f64() * 1e3
}
