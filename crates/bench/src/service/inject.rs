//! Brings faults about while calls run.

use std::time::{Duration, Instant};

use log::info;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::sleep;
use wagtaillever_coordination::{Changes, DrainAction, ReleaseNote, Sequence};

use crate::{
    caller::{CallerLoad, Target},
    error::BenchError,
    proxy::{Rule, Rules},
    service::{ServiceFault, run::HIT_DOMAIN, testbed::Testbed},
    upstream::HealthMode,
};

/// What was brought about.
#[derive(Clone, Debug, Default)]
pub(crate) struct Injected {
    /// Requests that crash each upstream that runs them.
    pub(crate) poisons: u64,
    /// Time from an order to drain until the last new work, in milliseconds.
    pub(crate) last_new_work_ms: Option<f64>,
}

/// Brings faults about on a testbed.
pub(crate) struct Injector<'a> {
    testbed: &'a mut Testbed,
    targets: &'a [Target],
    rng: SmallRng,
}

/// Time that a killed upstream stays down.
const UPSTREAM_DOWN: Duration = Duration::from_millis(500);
/// Time that a killed node stays down.
const NODE_DOWN: Duration = Duration::from_millis(500);
/// Pause between two kills, restarts or pauses.
const FAULT_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which a node is paused, longer than every timeout between nodes.
const PAUSE_SPAN: Duration = Duration::from_secs(4);
/// Longest time of a graceful stop or a start.
const STEP_LIMIT: Duration = Duration::from_secs(20);
/// Requests that crash upstreams.
const POISONS: u64 = 2;
/// Sendings with which a caller repeats such a request.
const POISON_SENDINGS: u32 = 8;
/// Time for which a caller repeats such a request.
const POISON_DEADLINE: Duration = Duration::from_secs(8);
/// Bytes after which a connection between failure domains is cut.
const CUT_BYTES: u64 = 100_000;
/// Pause between two release notes of a churn.
const CHURN_PAUSE: Duration = Duration::from_millis(250);

impl<'a> Injector<'a> {
    /// Returns an injector for a testbed.
    pub(crate) fn new(testbed: &'a mut Testbed, targets: &'a [Target], seed: u64) -> Self {
        Self {
            testbed,
            targets,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Brings a fault about for about the span given.
    ///
    /// # Errors
    ///
    /// Returns an error when a node can't be started again.
    pub(crate) async fn inject(
        &mut self,
        fault: ServiceFault,
        span: Duration,
    ) -> Result<Injected, BenchError> {
        let end = Instant::now() + span;
        let mut injected = Injected::default();
        match fault {
            ServiceFault::None | ServiceFault::Overload => {}
            ServiceFault::Cold => self.cold(end).await,
            ServiceFault::Liar => self.lie(),
            ServiceFault::CrashRequest => injected.poisons = self.poison().await,
            ServiceFault::Kill => self.kill(end).await?,
            ServiceFault::Pause => self.pause(end).await,
            ServiceFault::Partition => self.partition(span).await,
            ServiceFault::CutBody => {
                self.rule(span, |rules| rules.set_between(Rule::CutAfter(CUT_BYTES)))
                    .await;
            }
            ServiceFault::HalfOpen => {
                let vm = self.some_vm();
                self.rule(span, |rules| rules.set_vm(vm, Rule::HalfOpen))
                    .await;
            }
            ServiceFault::DomainLeave => {
                injected.last_new_work_ms = self.leave(span).await;
            }
            ServiceFault::DomainReturn => self.testbed.order(HIT_DOMAIN, DrainAction::Restore),
            ServiceFault::DomainDeath => self.domain_death(),
            ServiceFault::ThirdDown => self.third_down(span),
            ServiceFault::NodeStop => self.stop_nodes(end).await?,
            ServiceFault::UpstreamStop => {
                injected.last_new_work_ms = self.stop_upstream(span).await;
            }
            ServiceFault::ConfigChurn => self.churn(end).await,
        }
        Ok(injected)
    }

    fn some_vm(&mut self) -> usize {
        self.rng.random_range(0..self.testbed.upstreams.len())
    }

    async fn cold(&mut self, end: Instant) {
        let mut restarts = false;
        while Instant::now() < end {
            let vm = self.some_vm();
            let upstream = &self.testbed.upstreams[vm];
            if restarts {
                upstream.kill(Some(UPSTREAM_DOWN));
            } else {
                upstream.state().turn_cold();
            }
            restarts = !restarts;
            sleep(FAULT_PAUSE).await;
        }
    }

    fn lie(&self) {
        for (at, upstream) in self.testbed.upstreams.iter().enumerate() {
            let health = if at % 2 == 0 {
                HealthMode::AlwaysBad
            } else {
                HealthMode::AlwaysGood
            };
            upstream.state().change(|model| model.health = health);
        }
    }

    async fn poison(&self) -> u64 {
        for at in 0..POISONS {
            let mut workload = self.testbed.workload("poison", 1.0);
            workload.kinds.retain(|kind| !kind.keyed);
            workload.kinds[0].query = format!("crash={}", at + 1);
            workload.sendings = POISON_SENDINGS;
            workload.deadline = POISON_DEADLINE;
            let record = CallerLoad::once(self.targets.to_vec(), workload, at).await;
            info!("poison {at}: {:?}", record.sendings);
        }
        POISONS
    }

    async fn kill(&mut self, end: Instant) -> Result<(), BenchError> {
        while Instant::now() < end {
            let vm = self.some_vm();
            self.testbed.fleet.kill(vm);
            sleep(NODE_DOWN).await;
            self.testbed.fleet.start(vm)?;
            sleep(FAULT_PAUSE).await;
        }
        Ok(())
    }

    async fn pause(&mut self, end: Instant) {
        while Instant::now() < end {
            let vm = self.some_vm();
            if let Some(node) = self.testbed.fleet.node_mut(vm) {
                node.pause();
                sleep(PAUSE_SPAN).await;
                node.resume();
            }
            sleep(FAULT_PAUSE).await;
        }
    }

    async fn partition(&self, span: Duration) {
        let domains = self.testbed.fleet.layout().domains.len();
        self.rule(span, |rules| {
            for other in (0..domains).filter(|&other| other != HIT_DOMAIN) {
                rules.set_both_ways(HIT_DOMAIN, other, Rule::Hold);
            }
        })
        .await;
    }

    /// Holds rules of the proxy for a span.
    async fn rule(&self, span: Duration, change: impl FnOnce(&mut Rules)) {
        let Some(proxy) = self.testbed.fleet.proxy() else {
            return;
        };
        proxy.rules().change(change);
        sleep(span).await;
        proxy.rules().change(|rules| {
            rules.heal();
            rules.set_between(Rule::Pass);
        });
    }

    async fn leave(&mut self, span: Duration) -> Option<f64> {
        let ordered = Instant::now();
        self.testbed.order(HIT_DOMAIN, DrainAction::Drain);
        sleep(span).await;
        let vms = self.testbed.fleet.layout().vms_of(HIT_DOMAIN);
        let starts = vms
            .iter()
            .map(|&vm| self.testbed.upstreams[vm].state().counts().last_start);
        let last = starts.flatten().max()?;
        Some(millis_between(ordered, last))
    }

    fn domain_death(&mut self) {
        for vm in self.testbed.fleet.layout().vms_of(HIT_DOMAIN) {
            self.testbed.upstreams[vm].kill(None);
            self.testbed.fleet.kill(vm);
        }
    }

    fn third_down(&self, span: Duration) {
        for upstream in self.testbed.upstreams.iter().step_by(3) {
            upstream.kill(Some(span));
        }
    }

    async fn stop_nodes(&mut self, end: Instant) -> Result<(), BenchError> {
        let mut vm = 0;
        while Instant::now() < end && vm < self.testbed.upstreams.len() {
            self.stop_node(vm).await;
            self.testbed.fleet.kill(vm);
            self.testbed.fleet.start(vm)?;
            self.testbed.fleet.wait_serving(&[vm], STEP_LIMIT).await?;
            vm += 1;
        }
        Ok(())
    }

    async fn stop_node(&mut self, vm: usize) {
        let Some(node) = self.testbed.fleet.node_mut(vm) else {
            return;
        };
        node.terminate();
        let limit = Instant::now() + STEP_LIMIT;
        while !node.has_exited() && Instant::now() < limit {
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn stop_upstream(&mut self, span: Duration) -> Option<f64> {
        let vm = self.some_vm();
        let note = self.churn_note(Sequence(2), None, Some(vm));
        let ordered = Instant::now();
        self.testbed.fleet.publish_note(&note);
        sleep(span).await;
        let upstream = &self.testbed.upstreams[vm];
        upstream.stop().await;
        let last = upstream.state().counts().last_start?;
        Some(millis_between(ordered, last))
    }

    /// Withdraws and adds one upstream after the other.
    async fn churn(&mut self, end: Instant) {
        let mut sequence = Sequence(1);
        let mut withdrawn: Option<usize> = None;
        while Instant::now() < end {
            sequence = sequence.next();
            let next = match withdrawn {
                Some(_) => None,
                None => Some(self.some_vm()),
            };
            let note = self.churn_note(sequence, withdrawn, next);
            self.testbed.fleet.publish_note(&note);
            withdrawn = next;
            sleep(CHURN_PAUSE).await;
        }
        if withdrawn.is_some() {
            let note = self.churn_note(sequence.next(), withdrawn, None);
            self.testbed.fleet.publish_note(&note);
        }
    }

    fn churn_note(
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
