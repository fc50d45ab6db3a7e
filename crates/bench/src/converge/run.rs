//! One run: start, quiet window, notes before, under and after the fault, then the reckoning.

use std::time::{Duration, Instant};

use log::info;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;
use wagtaillever_coordination::StatusReport;

use crate::{
    clock::wall_ms,
    converge::{
        ConvergeBaseline, ConvergeFault, ConvergeReport,
        inject::Injector,
        notes::{self, Published},
        observer::Observer,
        report::{Cost, Outcome},
        spans::Spans,
        times::Times,
    },
    deployment::Deployment,
    error::BenchError,
    fleet::{Fleet, FleetOptions},
    meter::Reading,
};

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct ConvergeOptions {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of failure domains.
    pub(crate) domains: usize,
    /// Number of services.
    pub(crate) services: usize,
    /// Number of notes.
    pub(crate) notes: u64,
    /// What is brought about.
    pub(crate) fault: ConvergeFault,
    /// What is measured in place of the system.
    pub(crate) baseline: Option<ConvergeBaseline>,
    /// Seed.
    pub(crate) seed: u64,
}

/// Longest time until all nodes serve.
const SERVE_LIMIT: Duration = Duration::from_secs(60);
/// Time after the start that counts as no quiet window.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Length of the quiet window.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Time between two notes.
const NOTE_PAUSE: Duration = Duration::from_millis(500);
/// Longest time after the last note until all nodes have it.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at all nodes.
const LOOK_PAUSE: Duration = Duration::from_secs(1);
/// Sequence of the first note after the base.
const FIRST_NOTE: u64 = 2;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error when the fleet can't be started.
pub(crate) async fn run_converge(options: ConvergeOptions) -> Result<ConvergeReport, BenchError> {
    let deployment = Deployment::synthetic(options.nodes, options.domains, options.services);
    let mut fleet = FleetOptions::new(deployment);
    fleet.seed = options.seed;
    fleet.log_filter = "warn".into();
    fleet.proxied = options.fault.needs_proxy();
    if let Some(baseline) = options.baseline {
        fleet.policies = baseline.policies();
    }
    let run = Run {
        fleet: Fleet::prepare(fleet)?,
        spans: Spans::new(options.nodes),
        observer: Observer::new(options.nodes),
        rng: SmallRng::seed_from_u64(options.seed),
        published: Vec::new(),
        options,
    };
    run.all().await
}

struct Run {
    options: ConvergeOptions,
    fleet: Fleet,
    spans: Spans,
    observer: Observer,
    rng: SmallRng,
    published: Vec<Published>,
}

impl Run {
    async fn all(mut self) -> Result<ConvergeReport, BenchError> {
        let begin = Instant::now();
        self.fleet.publish_base()?;
        self.fleet.start_all()?;
        let all = self.fleet.running();
        self.fleet.wait_serving(&all, SERVE_LIMIT).await?;
        let start_ms = begin.elapsed().as_millis() as u64;
        info!("all serve after {start_ms} ms");
        sleep(SETTLE_TIME).await;
        let quiet_begin = Reading::of(&self.fleet).await;
        sleep(QUIET_TIME).await;
        let quiet_end = Reading::of(&self.fleet).await;
        info!("publishing {} notes", self.options.notes);
        self.publish_all().await?;
        self.catch_up().await;
        let end = Reading::of(&self.fleet).await;
        let times = self.times().await;
        let ended = self.fleet.exited();
        for &vm in &ended {
            info!("the node on {} ended", self.fleet.layout().vms[vm].vm);
        }
        let cost = Cost {
            idle: quiet_end.since(&quiet_begin),
            notes: end.since(&quiet_end),
            platform: self.fleet.platform().counts(),
        };
        let outcome = Outcome {
            start_ms,
            times,
            regressions: self.observer.regressions().to_vec(),
            splits: self.observer.splits(),
            ended: ended.len(),
        };
        let report = ConvergeReport::new(&self.options, &self.published, outcome, &cost);
        if !report.broken.is_empty() {
            info!("settings and logs: {}", self.fleet.keep_logs().display());
        }
        Ok(report)
    }

    /// Publishes a third of the notes before the fault, one under it and one after it.
    async fn publish_all(&mut self) -> Result<(), BenchError> {
        let last = FIRST_NOTE + self.options.notes;
        let begin = FIRST_NOTE + self.options.notes / 3;
        let end = FIRST_NOTE + self.options.notes * 2 / 3;
        for note in FIRST_NOTE..begin {
            self.publish(note).await;
        }
        info!("fault {:?}", self.options.fault);
        let fault_ends = Instant::now() + self.options.fault.span();
        self.injector().begin().await?;
        for note in begin..end {
            self.publish(note).await;
            self.injector().go_on().await?;
        }
        sleep(fault_ends.saturating_duration_since(Instant::now())).await;
        self.injector().end()?;
        info!("the fault ended");
        for note in end..last {
            self.publish(note).await;
        }
        Ok(())
    }

    async fn publish(&mut self, note: u64) {
        let text = notes::draw_note(&self.fleet, note, &mut self.rng);
        let at_ms = wall_ms();
        let bytes = self.fleet.publish_note(&text);
        self.published.push(Published {
            note,
            at_ms,
            bytes,
            good: !notes::is_bad(note),
        });
        sleep(NOTE_PAUSE).await;
    }

    /// Waits until all nodes have the last note, or the time is up.
    async fn catch_up(&mut self) {
        let last = FIRST_NOTE + self.options.notes - 1;
        let end = Instant::now() + CATCH_UP_LIMIT;
        let all = self.fleet.running();
        loop {
            let statuses = self.fleet.statuses(&all).await;
            let has_last = |status: &StatusReport| status.note.0 >= last;
            let have = statuses.iter().flatten().filter(|s| has_last(s)).count();
            for (vm, status) in all.iter().zip(&statuses) {
                if let Some(status) = status {
                    self.observer.status(*vm, status);
                }
            }
            info!("{have} of {} nodes have the last note", all.len());
            if have == all.len() || Instant::now() >= end {
                return;
            }
            sleep(LOOK_PAUSE).await;
        }
    }

    async fn times(&mut self) -> Times {
        let mut times = Times::default();
        let all: Vec<usize> = (0..self.fleet.layout().vms.len()).collect();
        let events = self.fleet.events(&all).await;
        for (vm, events) in all.into_iter().zip(&events) {
            times.add(vm, events, &self.published, &self.spans);
            self.observer.events(vm, events);
        }
        times.sort();
        times
    }

    fn injector(&mut self) -> Injector<'_> {
        Injector {
            fault: self.options.fault,
            fleet: &mut self.fleet,
            spans: &mut self.spans,
            observer: &mut self.observer,
            rng: &mut self.rng,
        }
    }
}
