//! Plays a schedule on a deployment and checks what must always hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use log::info;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;

use crate::{
    caller::{Answered, CallRecord, CallerLoad, Tally, Told},
    chaos::{
        ChaosReport, breach, invariant,
        notes::Notes,
        orders::Orders,
        perform::Active,
        quiet::Quiet,
        schedule::{self, Extent, Step},
    },
    checks::Checks,
    clock::wall_ms,
    converge::Observer,
    deployment::Deployment,
    error::BenchError,
    fleet::{FleetOptions, PLATFORM_RATE},
    service::{Site, Verdict},
};

/// Options of a chaotic run.
#[derive(Clone, Debug)]
pub(crate) struct ChaosOptions {
    /// The deployment.
    pub(crate) deployment: Deployment,
    /// Seed of the schedule.
    pub(crate) seed: u64,
    /// Length of the schedule.
    pub(crate) length: Duration,
    /// What is done instead of a schedule drawn from the seed.
    pub(crate) scenario: Option<Scenario>,
}

/// Fixed steps, with what differs from a run with a drawn schedule.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Deliberate fault of the nodes, by name.
    pub(crate) mutant: &'static str,
    /// What is done.
    pub(crate) steps: Vec<Step>,
    /// Load as a share of what all upstreams can carry.
    pub(crate) load: f64,
    /// Length of answers, if it is not the usual one.
    pub(crate) bytes: Option<u64>,
    /// Rest of the query of all requests.
    pub(crate) query: &'static str,
}

/// Load as a share of what all upstreams can carry.
const LOAD: f64 = 0.2;
/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Pause between two rounds of questions to nodes.
const POLL_PAUSE: Duration = Duration::from_secs(2);
/// Time after the last fault until all nodes must have the last note.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(8);
/// Longest time of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(35);

/// A run that goes on.
pub(crate) struct Run {
    pub(crate) site: Site,
    pub(crate) rng: SmallRng,
    pub(crate) notes: Notes,
    pub(crate) orders: Orders,
    pub(crate) active: Vec<Active>,
    pub(crate) quiet: BTreeMap<String, Quiet>,
    pub(crate) stopping: BTreeMap<usize, Instant>,
    pub(crate) turned_cold: BTreeSet<usize>,
    pub(crate) crashes: u64,
    observer: Observer,
    checks: Checks,
    stops: Vec<Stop>,
    cut_until: Instant,
    report: ChaosReport,
}

/// A planned stop during which nothing else could cut requests.
struct Stop {
    vm: usize,
    from: Instant,
    to: Instant,
}

/// Plays the schedule of a seed.
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
    let site = Site::start(fleet).await?;
    let extent = Extent {
        vms: site.upstreams.len(),
        domains: site.fleet.layout().domains.len(),
    };
    let drawn = || schedule::draw(options.seed, options.length, extent);
    let steps = options.scenario.as_ref().map(|s| s.steps.clone());
    let steps = steps.unwrap_or_else(drawn);
    for step in &steps {
        eprintln!("{step}");
    }
    let base = site.fleet.base()?;
    let mut run = Run {
        rng: SmallRng::seed_from_u64(options.seed),
        notes: Notes::new(base),
        orders: Orders::default(),
        active: Vec::new(),
        quiet: BTreeMap::new(),
        stopping: BTreeMap::new(),
        turned_cold: BTreeSet::new(),
        crashes: 0,
        observer: Observer::new(extent.vms),
        checks: Checks::default(),
        stops: Vec::new(),
        cut_until: Instant::now(),
        report: ChaosReport {
            deployment: options.deployment.name.clone(),
            seed: options.seed,
            seconds: options.length.as_secs(),
            steps: steps.len(),
            ..ChaosReport::default()
        },
        site,
    };
    run.play(&options, steps).await?;
    if !run.checks.broken().is_empty() {
        breach::print_timeline(&run.site.fleet, wall_ms()).await;
        info!(
            "settings and logs: {}",
            run.site.fleet.keep_logs().display()
        );
    }
    run.report.held = run.checks.held();
    run.report.broken = run.checks.broken().to_vec();
    Ok(run.report)
}

impl Run {
    async fn play(&mut self, options: &ChaosOptions, steps: Vec<Step>) -> Result<(), BenchError> {
        let load = options.scenario.as_ref().map_or(LOAD, |s| s.load);
        let mut workload = self.site.workload("chaos", load * self.site.capacity());
        if let Some(scenario) = &options.scenario {
            for kind in &mut workload.kinds {
                kind.query = scenario.query.into();
                kind.size = scenario.bytes.unwrap_or(kind.size);
            }
        }
        let load = CallerLoad::start(self.site.targets(), workload, options.seed);
        let started = load.started();
        let mut played = self.play_steps(options, steps).await;
        if played.is_ok() && self.checks.broken().is_empty() {
            self.catch_up().await;
            if options.scenario.is_none() {
                sleep(CUT_ECHO).await;
                played = self.stop_calmly().await;
            }
        }
        let records = load.finish().await;
        self.settle(&records, started).await;
        played
    }

    async fn play_steps(
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
            let (over, on): (Vec<_>, Vec<_>) =
                self.active.drain(..).partition(|active| active.end <= now);
            self.active = on;
            self.mark_cuts(&over);
            for active in over {
                info!("end {}", active.action);
                self.end(active).await?;
                self.apply_faults();
            }
            self.check_quiet();
            self.check_processes();
            if Instant::now() >= next_poll {
                let awake = self.awake();
                self.poll(&awake).await;
                next_poll = Instant::now() + POLL_PAUSE;
            }
            sleep(TICK).await;
        }
        for active in std::mem::take(&mut self.active) {
            self.end(active).await?;
        }
        self.apply_faults();
        Ok(())
    }

    /// Returns the positions of nodes that run and are not paused.
    pub(crate) fn awake(&self) -> Vec<usize> {
        let fleet = &self.site.fleet;
        let is_awake = |&vm: &usize| fleet.node(vm).is_some_and(|node| !node.is_paused());
        fleet.running().into_iter().filter(is_awake).collect()
    }

    /// Asks nodes for their status and compares it with what they said before.
    pub(crate) async fn poll(&mut self, vms: &[usize]) {
        let statuses = self.site.fleet.statuses(vms).await;
        for (&vm, status) in vms.iter().zip(&statuses) {
            if let Some(status) = status {
                self.observer.status(vm, status);
            }
        }
        let seen = self.observer.regressions().join("; ");
        if !seen.is_empty() {
            self.checks.expect(invariant::NEVER_BACK, false, seen);
        }
    }

    /// Waits for the end of a planned stop and starts a replacement.
    ///
    /// # Errors
    ///
    /// Returns an error when the replacement can't be started.
    pub(crate) async fn finish_stop(&mut self, vm: usize) -> Result<(), BenchError> {
        let Some(from) = self.stopping.get(&vm).copied() else {
            return Ok(());
        };
        let Some(node) = self.site.fleet.node_mut(vm) else {
            return Ok(());
        };
        while !node.has_exited() && from.elapsed() < STOP_LIMIT {
            sleep(TICK).await;
        }
        let code = node.exit_code();
        let seen = format!("exit code {code:?} after {} ms", from.elapsed().as_millis());
        self.checks
            .expect(invariant::STOP_CUTS_NOTHING, code == Some(0), seen);
        self.stopping.remove(&vm);
        self.site.fleet.kill(vm);
        self.site.fleet.start(vm)?;
        let may_cut = self.active.iter().any(|active| active.action.may_cut());
        if !may_cut && self.cut_until < from {
            let to = Instant::now();
            self.stops.push(Stop { vm, from, to });
        }
        Ok(())
    }

    /// Remembers until when requests may be cut by something else than a planned stop.
    fn mark_cuts(&mut self, over: &[Active]) {
        let all = self.active.iter().chain(over);
        if all.into_iter().any(|active| active.action.may_cut()) {
            self.cut_until = Instant::now() + CUT_ECHO;
        }
    }

    fn check_quiet(&mut self) {
        let now = Instant::now();
        let hindered = self.active.iter().any(|a| a.action.hinders_reach());
        for (what, quiet) in &mut self.quiet {
            self.report.quiet_scopes += usize::from(quiet.tick(now, hindered));
            for &vm in &quiet.vms {
                let start = self.site.upstreams[vm].state().last_start();
                if let Some(start) = start.filter(|&start| quiet.is_broken_by(start)) {
                    let name = &self.site.fleet.layout().vms[vm].vm;
                    let ago = start.elapsed().as_millis();
                    let seen = format!("new work on {name} {ago} ms ago during {what}");
                    self.checks.expect(quiet.invariant, false, seen);
                }
            }
        }
    }

    fn check_processes(&mut self) {
        for vm in self.site.fleet.exited() {
            if !self.stopping.contains_key(&vm) {
                let name = &self.site.fleet.layout().vms[vm].vm;
                let seen = format!("the node on {name} ended by itself");
                self.checks.expect(invariant::NODES_RUN, false, seen);
            }
        }
    }

    /// Waits until all nodes have what the notes fold to.
    async fn catch_up(&mut self) {
        let expected = self.notes.expected();
        let digest = format!("{:016x}", expected.digest());
        let note = expected.sequence;
        let all = self.site.fleet.running();
        let holds = |status: &wagtaillever_coordination::StatusReport| status.note >= note;
        let wait = self
            .site
            .fleet
            .wait_for(&all, "last note", CATCH_UP_LIMIT, holds);
        let result = wait.await;
        let seen = result.as_ref().err().map(ToString::to_string);
        let in_force = result.is_ok() && all.len() == self.site.upstreams.len();
        let seen = seen.unwrap_or_else(|| format!("{} nodes run", all.len()));
        self.checks
            .expect(invariant::IN_FORCE_EVERYWHERE, in_force, seen);
        let statuses = self.site.fleet.statuses(&all).await;
        let differing = statuses.iter().flatten().filter(|s| s.digest != digest);
        let differing: Vec<String> = differing
            .map(|s| format!("{} has {} at {}", s.vm, s.digest, s.note))
            .collect();
        let seen = format!("expected {digest} at {note}: {differing:?}");
        self.checks
            .expect(invariant::WHOLE_NOTES, differing.is_empty(), seen);
        self.poll(&all).await;
        let events = self.site.fleet.events(&all).await;
        for (&vm, events) in all.iter().zip(&events) {
            self.observer.events(vm, events);
        }
        self.report.notes = note.0;
    }

    async fn settle(&mut self, records: &[CallRecord], started: Instant) {
        let mut counts = self.site.counts();
        for &vm in &self.turned_cold {
            // Without a sign nobody can know, so these may fall over.
            counts[vm].swamped = 0;
        }
        let verdict = Verdict::of(records, &counts);
        let checks = &mut self.checks;
        let regressions = self.observer.regressions();
        checks.expect(
            invariant::NEVER_BACK,
            regressions.is_empty(),
            regressions.join("; "),
        );
        let splits = self.observer.splits();
        let seen = format!("sequences {splits:?}");
        checks.expect(invariant::ONE_VERDICT, splits.is_empty(), seen);
        checks.expect_zero(invariant::ROUTED_TO_OWN_SERVICE, verdict.misrouted);
        checks.expect_zero(invariant::COLD_UPSTREAM_SPARED, verdict.swamped);
        checks.expect_zero(invariant::OWN_WHOLE_ANSWER, verdict.wrong);
        checks.expect_zero(invariant::REFUSAL_IS_TRUE, verdict.false_did_not_run);
        checks.expect_zero(invariant::AT_MOST_ONCE, verdict.ran_twice);
        let cut = self
            .stops
            .iter()
            .map(|stop| stop.cuts(records, started))
            .sum();
        checks.expect_zero(invariant::STOP_CUTS_NOTHING, cut);
        let platform = self.site.fleet.platform().counts();
        let seen = format!("{} reads in a second", platform.peak);
        checks.expect(
            invariant::PLATFORM_RATE,
            platform.peak <= PLATFORM_RATE,
            seen,
        );
        let inside = self.site.broken_invariants().await;
        self.checks.expect_zero(invariant::INSIDE_HOLDS, inside);
        let tally = Tally::of(records, Duration::ZERO, Duration::MAX);
        self.report.requests = tally.offered;
        self.report.good = tally.count(Answered::Good);
        self.report.refused = tally.count(Answered::Refused);
        self.report.unknown = tally.count(Answered::Unknown) + tally.count(Answered::Broken);
        self.report.platform_peak_reads_s = platform.peak;
        self.report.clean_stops = self.stops.len();
    }
}

/// Time after a fault in which requests that it cut may still come to light.
const CUT_ECHO: Duration = Duration::from_secs(4);

impl Stop {
    /// Returns how many sendings to the node broke off during its planned stop.
    fn cuts(&self, records: &[CallRecord], started: Instant) -> u64 {
        let span = self.from..self.to;
        let sendings = records.iter().flat_map(|record| &record.sendings);
        let cut = sendings.filter(|sending| {
            let is_cut = matches!(sending.told, Told::Broken | Told::Lost);
            is_cut && sending.node == self.vm && span.contains(&(started + sending.ended))
        });
        cut.count() as u64
    }
}
