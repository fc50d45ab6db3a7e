//! Runs a schedule on a deployment and checks the invariants.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use log::info;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use crate::{
    caller::{CallOutcome, CallRecord, CallerLoad, SendOutcome, Tally},
    chaos::{
        ChaosReport, invariant,
        notes::Notes,
        orders::Orders,
        perform::ActiveAction,
        quiet::QuietScope,
        schedule::{self, FleetSize, Step},
        violation,
    },
    checks::Checks,
    clock::wall_ms,
    converge::Observer,
    deployment::Deployment,
    error::BenchError,
    fleet::{FleetOptions, PLATFORM_CALLS_PER_S},
    service::{CallAudit, Testbed},
    upstream::Counts,
};

/// Options of a chaos run.
#[derive(Clone, Debug)]
pub(crate) struct ChaosOptions {
    pub(crate) deployment: Deployment,
    /// Seed of the schedule.
    pub(crate) seed: u64,
    /// Duration of the schedule.
    pub(crate) length: Duration,
    /// Scenario to run instead of a random schedule.
    pub(crate) scenario: Option<Scenario>,
}

/// Fixed steps and the settings that differ from a run with a random schedule.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Name of the mutant that the nodes enable.
    pub(crate) mutant: &'static str,
    pub(crate) steps: Vec<Step>,
    /// Load as a share of the total upstream capacity.
    pub(crate) load: f64,
    /// Length of answers in bytes; `None` keeps the default.
    pub(crate) bytes: Option<u64>,
    /// Additional query of all requests.
    pub(crate) query: &'static str,
}

/// Load of a random schedule as a share of the total upstream capacity.
const RANDOM_RUN_LOAD: f64 = 0.2;
/// Interval at which due steps and quiet scopes are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two polls of the node statuses.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum time after the last fault until all nodes have the last note.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(35);

/// A run in progress.
pub(crate) struct Run {
    pub(crate) testbed: Testbed,
    pub(crate) rng: SmallRng,
    pub(crate) notes: Notes,
    pub(crate) orders: Orders,
    pub(crate) active: Vec<ActiveAction>,
    pub(crate) quiet_scopes: BTreeMap<String, QuietScope>,
    pub(crate) stopping: BTreeMap<usize, Instant>,
    pub(crate) cold_upstreams: BTreeSet<usize>,
    pub(crate) crash_requests: u64,
    observer: Observer,
    checks: Checks,
    clean_stops: Vec<CleanStop>,
    cut_until: Instant,
    report: ChaosReport,
}

/// A planned stop during which no other fault could cut requests.
struct CleanStop {
    vm: usize,
    from: Instant,
    to: Instant,
}

/// Runs a scenario, or the random schedule of a seed.
///
/// # Errors
///
/// Returns an error when the deployment can't be started.
pub(crate) async fn run_chaos(options: ChaosOptions) -> Result<ChaosReport, BenchError> {
    let mut fleet = FleetOptions::new(options.deployment.clone());
    fleet.seed = options.seed;
    if let Some(scenario) = &options.scenario {
        fleet.mutants.push(scenario.mutant);
    }
    let testbed = Testbed::start(fleet).await?;
    let size = FleetSize {
        vms: testbed.upstreams.len(),
        domains: testbed.fleet.layout().domains.len(),
    };
    let random_steps = || schedule::random_schedule(options.seed, options.length, size);
    let steps = options.scenario.as_ref().map(|s| s.steps.clone());
    let steps = steps.unwrap_or_else(random_steps);
    for step in &steps {
        eprintln!("{step}");
    }
    let base = testbed.fleet.base()?;
    let mut run = Run {
        rng: SmallRng::seed_from_u64(options.seed),
        notes: Notes::new(base),
        orders: Orders::default(),
        active: Vec::new(),
        quiet_scopes: BTreeMap::new(),
        stopping: BTreeMap::new(),
        cold_upstreams: BTreeSet::new(),
        crash_requests: 0,
        observer: Observer::new(size.vms),
        checks: Checks::default(),
        clean_stops: Vec::new(),
        cut_until: Instant::now(),
        report: ChaosReport {
            deployment: options.deployment.name.clone(),
            seed: options.seed,
            seconds: options.length.as_secs(),
            steps: steps.len(),
            ..ChaosReport::default()
        },
        testbed,
    };
    run.execute(&options, steps).await?;
    if !run.checks.broken().is_empty() {
        violation::print_timeline(&run.testbed.fleet, wall_ms()).await;
        let logs = run.testbed.fleet.keep_logs();
        info!("settings and logs kept in {}", logs.display());
    }
    run.report.held = run.checks.held();
    run.report.broken = run.checks.broken().to_vec();
    Ok(run.report)
}

impl Run {
    async fn execute(
        &mut self,
        options: &ChaosOptions,
        steps: Vec<Step>,
    ) -> Result<(), BenchError> {
        let load = options
            .scenario
            .as_ref()
            .map_or(RANDOM_RUN_LOAD, |s| s.load);
        let mut workload = self
            .testbed
            .workload("chaos", load * self.testbed.capacity());
        if let Some(scenario) = &options.scenario {
            for kind in &mut workload.kinds {
                kind.query = scenario.query.into();
                kind.size = scenario.bytes.unwrap_or(kind.size);
            }
        }
        let load = CallerLoad::start(self.testbed.targets(), workload, options.seed);
        let started = load.started();
        let mut result = self.run_steps(options, steps).await;
        if result.is_ok() && self.checks.broken().is_empty() {
            self.check_convergence().await;
            if options.scenario.is_none() {
                sleep(CUT_REPORT_DELAY).await;
                result = self.stop_without_faults().await;
            }
        }
        let records = load.finish().await;
        self.check_results(&records, started).await;
        result
    }

    async fn run_steps(
        &mut self,
        options: &ChaosOptions,
        steps: Vec<Step>,
    ) -> Result<(), BenchError> {
        let start = Instant::now();
        let mut next_poll = start;
        let mut steps = steps.into_iter().peekable();
        while start.elapsed() < options.length && self.checks.broken().is_empty() {
            let now = start.elapsed();
            while let Some(step) = steps.next_if(|step| step.begin <= now) {
                info!("begin {}", step.action);
                let active = self.begin(step.action, step.end).await;
                self.active.push(active);
                self.apply_faults();
            }
            let (ended, ongoing): (Vec<_>, Vec<_>) =
                self.active.drain(..).partition(|active| active.end <= now);
            self.active = ongoing;
            self.extend_cut_window(&ended);
            for active in ended {
                info!("end {}", active.action);
                self.end(active).await?;
                self.apply_faults();
            }
            self.check_quiet_scopes();
            self.check_exits();
            if Instant::now() >= next_poll {
                let nodes = self.responsive_nodes();
                self.poll_statuses(&nodes).await;
                next_poll = Instant::now() + POLL_INTERVAL;
            }
            sleep(TICK_INTERVAL).await;
        }
        for active in std::mem::take(&mut self.active) {
            self.end(active).await?;
        }
        self.apply_faults();
        Ok(())
    }

    /// Returns the indices of nodes that run and are not paused.
    pub(crate) fn responsive_nodes(&self) -> Vec<usize> {
        let fleet = &self.testbed.fleet;
        let is_responsive = |&vm: &usize| fleet.node(vm).is_some_and(|node| !node.is_paused());
        fleet.running().into_iter().filter(is_responsive).collect()
    }

    /// Polls the status of nodes and checks it against their earlier statuses.
    pub(crate) async fn poll_statuses(&mut self, vms: &[usize]) {
        let statuses = self.testbed.fleet.statuses(vms).await;
        for (&vm, status) in vms.iter().zip(&statuses) {
            if let Some(status) = status {
                self.observer.record_status(vm, status);
            }
        }
        let seen = self.observer.regressions().join("; ");
        if !seen.is_empty() {
            self.checks.expect(invariant::NEVER_BACK, false, seen);
        }
    }

    /// Waits for the end of a planned stop, checks the exit code and starts a replacement.
    ///
    /// # Errors
    ///
    /// Returns an error when the replacement can't be started.
    pub(crate) async fn finish_stop(&mut self, vm: usize) -> Result<(), BenchError> {
        let Some(from) = self.stopping.get(&vm).copied() else {
            return Ok(());
        };
        let Some(node) = self.testbed.fleet.node_mut(vm) else {
            return Ok(());
        };
        while !node.has_exited() && from.elapsed() < STOP_TIMEOUT {
            sleep(TICK_INTERVAL).await;
        }
        let code = node.exit_code();
        let seen = format!("exit code {code:?} after {} ms", from.elapsed().as_millis());
        self.checks
            .expect(invariant::STOP_CUTS_NOTHING, code == Some(0), seen);
        self.stopping.remove(&vm);
        self.testbed.fleet.kill(vm);
        self.testbed.upstreams[vm].state().forget_statements();
        self.testbed.fleet.start(vm)?;
        let may_cut = self
            .active
            .iter()
            .any(|active| active.action.may_cut_requests());
        if !may_cut && self.cut_until < from {
            let to = Instant::now();
            self.clean_stops.push(CleanStop { vm, from, to });
        }
        Ok(())
    }

    /// Extends the time during which faults other than a planned stop may cut requests.
    fn extend_cut_window(&mut self, ended: &[ActiveAction]) {
        let all = self.active.iter().chain(ended);
        if all
            .into_iter()
            .any(|active| active.action.may_cut_requests())
        {
            self.cut_until = Instant::now() + CUT_REPORT_DELAY;
        }
    }

    fn check_quiet_scopes(&mut self) {
        let now = Instant::now();
        let is_delayed = self.active.iter().any(|a| a.action.can_delay_propagation());
        for (action, scope) in &mut self.quiet_scopes {
            self.report.quiet_scopes += usize::from(scope.advance(now, is_delayed));
            for &vm in &scope.vms {
                let start = self.testbed.upstreams[vm].state().last_start();
                if let Some(start) = start.filter(|&start| scope.is_violated_by(start)) {
                    let name = &self.testbed.fleet.layout().vms[vm].vm;
                    let ago = start.elapsed().as_millis();
                    let seen = format!("new request on {name} {ago} ms ago during {action}");
                    self.checks.expect(scope.invariant, false, seen);
                }
            }
        }
    }

    /// Lists the VMs of the upstreams that counted cases, with their numbers.
    fn vms_with(&self, counts: &[Counts], cases: impl Fn(&Counts) -> u64) -> Vec<String> {
        let vms = &self.testbed.fleet.layout().vms;
        let cases = counts.iter().map(cases).zip(vms);
        let cases = cases.filter(|(count, _)| *count > 0);
        cases
            .map(|(count, vm)| format!("{count} cases on {}", vm.vm))
            .collect()
    }

    fn check_exits(&mut self) {
        for vm in self.testbed.fleet.exited() {
            if !self.stopping.contains_key(&vm) {
                let name = &self.testbed.fleet.layout().vms[vm].vm;
                let seen = format!("node on {name} exited by itself");
                self.checks.expect(invariant::NODES_RUN, false, seen);
            }
        }
    }

    /// Waits until all nodes have the last note and checks their configurations.
    async fn check_convergence(&mut self) {
        let expected = self.notes.expected();
        let digest = format!("{:016x}", expected.digest());
        let note = expected.sequence;
        let all = self.testbed.fleet.running();
        let holds = |status: &wagtaillever_coordination::StatusReport| status.note >= note;
        let wait = self
            .testbed
            .fleet
            .wait_for(&all, "last note", CATCH_UP_TIMEOUT, holds);
        let result = wait.await;
        let seen = result.as_ref().err().map(ToString::to_string);
        let in_force = result.is_ok() && all.len() == self.testbed.upstreams.len();
        let seen = seen.unwrap_or_else(|| format!("{} nodes running", all.len()));
        self.checks
            .expect(invariant::IN_FORCE_EVERYWHERE, in_force, seen);
        let statuses = self.testbed.fleet.statuses(&all).await;
        let differing = statuses.iter().flatten().filter(|s| s.digest != digest);
        let differing: Vec<String> = differing
            .map(|s| format!("{} has {} at note {}", s.vm, s.digest, s.note))
            .collect();
        let seen = format!("expected {digest} at note {note}: {differing:?}");
        self.checks
            .expect(invariant::WHOLE_NOTES, differing.is_empty(), seen);
        self.poll_statuses(&all).await;
        let events = self.testbed.fleet.events(&all).await;
        for (&vm, events) in all.iter().zip(&events) {
            self.observer.record_events(vm, events);
        }
        self.report.notes = note.0;
    }

    async fn check_results(&mut self, records: &[CallRecord], started: Instant) {
        let mut counts = self.testbed.counts();
        for &vm in &self.cold_upstreams {
            // Nodes get no signal of these cold starts, so they may overload the upstreams.
            counts[vm].overloads = 0;
        }
        let audit = CallAudit::of(records, &counts);
        let overloaded = self.vms_with(&counts, |counts| counts.overloads);
        let over_stated = self.vms_with(&counts, |counts| counts.over_stated);
        let after_leaving = self.vms_with(&counts, |counts| counts.after_leaving);
        let checks = &mut self.checks;
        let regressions = self.observer.regressions();
        checks.expect(
            invariant::NEVER_BACK,
            regressions.is_empty(),
            regressions.join("; "),
        );
        let diverging = self.observer.diverging_sequences();
        let seen = format!("diverging sequences {diverging:?}");
        checks.expect(invariant::ONE_VERDICT, diverging.is_empty(), seen);
        checks.expect_zero(invariant::ROUTED_TO_OWN_SERVICE, audit.misrouted);
        for (name, seen) in [
            (invariant::COLD_UPSTREAM_SPARED, overloaded),
            (invariant::STATED_LIMIT_KEPT, over_stated),
            (invariant::LEAVING_GETS_NO_WORK, after_leaving),
        ] {
            checks.expect(name, seen.is_empty(), seen.join(", "));
        }
        checks.expect_zero(invariant::OWN_WHOLE_ANSWER, audit.wrong);
        checks.expect_zero(invariant::REFUSAL_IS_TRUE, audit.false_did_not_run);
        checks.expect_zero(invariant::AT_MOST_ONCE, audit.ran_twice);
        let cut = self
            .clean_stops
            .iter()
            .map(|stop| stop.cut_count(records, started))
            .sum();
        checks.expect_zero(invariant::STOP_CUTS_NOTHING, cut);
        let platform = self.testbed.fleet.platform().counts();
        let seen = format!("peak of {} reads in one second", platform.peak);
        checks.expect(
            invariant::PLATFORM_RATE,
            platform.peak <= PLATFORM_CALLS_PER_S,
            seen,
        );
        let inside = self.testbed.broken_invariants().await;
        self.checks.expect_zero(invariant::INSIDE_HOLDS, inside);
        let tally = Tally::of(records, Duration::ZERO, Duration::MAX);
        self.report.requests = tally.offered;
        self.report.good = tally.count(CallOutcome::Good);
        self.report.refused = tally.count(CallOutcome::Refused);
        self.report.unknown = tally.count(CallOutcome::Unknown) + tally.count(CallOutcome::Broken);
        self.report.platform_peak_reads_s = platform.peak;
        self.report.clean_stops = self.clean_stops.len();
    }
}

/// Time after a fault until all requests that it cut are reported.
const CUT_REPORT_DELAY: Duration = Duration::from_secs(4);

impl CleanStop {
    /// Returns the number of sends to the node that were cut during its planned stop.
    fn cut_count(&self, records: &[CallRecord], started: Instant) -> u64 {
        let span = self.from..self.to;
        let sends = records.iter().flat_map(|record| &record.sends);
        let cut = sends.filter(|send| {
            let is_cut = matches!(send.outcome, SendOutcome::Broken | SendOutcome::Lost);
            is_cut && send.node == self.vm && span.contains(&(started + send.ended))
        });
        cut.count() as u64
    }
}
