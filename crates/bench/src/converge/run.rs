//! One run: start, idle window, notes before, during and after the fault, then the results.

use std::time::{Duration, Instant};

use log::info;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::sleep;
use wagtaillever_coordination::StatusReport;

use crate::{
    clock::wall_ms,
    converge::{
        ConvergeBaseline, ConvergeFault, ConvergeReport,
        delays::Delays,
        inject::Injector,
        notes::{self, PublishedNote},
        observer::Observer,
        report::{Cost, Outcome},
        spans::UnreachableSpans,
    },
    deployment::Deployment,
    error::BenchError,
    fleet::{Fleet, FleetOptions},
    meter::Reading,
};

/// Options of one run.
#[derive(Clone, Debug)]
pub(crate) struct ConvergeOptions {
    pub(crate) nodes: usize,
    pub(crate) domains: usize,
    pub(crate) services: usize,
    /// Number of notes to publish.
    pub(crate) notes: u64,
    /// Fault to inject.
    pub(crate) fault: ConvergeFault,
    /// Baseline to measure; `None` measures the system itself.
    pub(crate) baseline: Option<ConvergeBaseline>,
    /// Seed of notes and faults.
    pub(crate) seed: u64,
}

/// Maximum time until all nodes serve.
const SERVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the start that is left out of the idle window.
const STABILISATION_TIME: Duration = Duration::from_secs(4);
/// Duration of the window in which idle usage is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(10);
/// Time between two notes.
const NOTE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time after the last note until all nodes have it.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two polls of all nodes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Sequence of the first note after the base.
const FIRST_SEQUENCE: u64 = 2;

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
        spans: UnreachableSpans::new(options.nodes),
        observer: Observer::new(options.nodes),
        rng: SmallRng::seed_from_u64(options.seed),
        published: Vec::new(),
        options,
    };
    run.execute().await
}

struct Run {
    options: ConvergeOptions,
    fleet: Fleet,
    spans: UnreachableSpans,
    observer: Observer,
    rng: SmallRng,
    published: Vec<PublishedNote>,
}

impl Run {
    async fn execute(mut self) -> Result<ConvergeReport, BenchError> {
        let begin = Instant::now();
        self.fleet.publish_base()?;
        self.fleet.start_all()?;
        let all = self.fleet.running();
        self.fleet.wait_serving(&all, SERVE_TIMEOUT).await?;
        let start_ms = begin.elapsed().as_millis() as u64;
        info!("all nodes serving after {start_ms} ms");
        sleep(STABILISATION_TIME).await;
        let idle_begin = Reading::of(&self.fleet).await;
        sleep(IDLE_WINDOW).await;
        let idle_end = Reading::of(&self.fleet).await;
        info!("publishing {} notes", self.options.notes);
        self.publish_all().await?;
        self.wait_for_last_note().await;
        let end = Reading::of(&self.fleet).await;
        let delays = self.delays().await;
        let exited = self.fleet.exited();
        for &vm in &exited {
            info!(
                "node on {} exited by itself",
                self.fleet.layout().vms[vm].vm
            );
        }
        let cost = Cost {
            idle: idle_end.since(&idle_begin),
            notes: end.since(&idle_end),
            platform: self.fleet.platform().counts(),
        };
        let outcome = Outcome {
            start_ms,
            delays,
            regressions: self.observer.regressions().to_vec(),
            diverging_sequences: self.observer.diverging_sequences(),
            exited: exited.len(),
        };
        let report = ConvergeReport::new(&self.options, &self.published, outcome, &cost);
        if !report.broken.is_empty() {
            let logs = self.fleet.keep_logs();
            info!("settings and logs kept in {}", logs.display());
        }
        Ok(report)
    }

    /// Publishes one third of the notes before, one during and one after the fault.
    async fn publish_all(&mut self) -> Result<(), BenchError> {
        let last = FIRST_SEQUENCE + self.options.notes;
        let begin = FIRST_SEQUENCE + self.options.notes / 3;
        let end = FIRST_SEQUENCE + self.options.notes * 2 / 3;
        for note in FIRST_SEQUENCE..begin {
            self.publish(note).await;
        }
        info!("starting fault {:?}", self.options.fault);
        let fault_end = Instant::now() + self.options.fault.min_duration();
        self.injector().begin().await?;
        for note in begin..end {
            self.publish(note).await;
            self.injector().continue_fault().await?;
        }
        sleep(fault_end.saturating_duration_since(Instant::now())).await;
        self.injector().end()?;
        info!("fault ended");
        for note in end..last {
            self.publish(note).await;
        }
        Ok(())
    }

    async fn publish(&mut self, note: u64) {
        let content = notes::random_note(&self.fleet, note, &mut self.rng);
        let at_ms = wall_ms();
        let bytes = self.fleet.publish_note(&content);
        self.published.push(PublishedNote {
            note,
            at_ms,
            bytes,
            is_valid: !notes::is_invalid(note),
        });
        sleep(NOTE_INTERVAL).await;
    }

    /// Waits until all nodes have the last note or the timeout has passed.
    async fn wait_for_last_note(&mut self) {
        let last = FIRST_SEQUENCE + self.options.notes - 1;
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        let all = self.fleet.running();
        loop {
            let statuses = self.fleet.statuses(&all).await;
            let has_last = |status: &StatusReport| status.note.0 >= last;
            let count = statuses.iter().flatten().filter(|s| has_last(s)).count();
            for (vm, status) in all.iter().zip(&statuses) {
                if let Some(status) = status {
                    self.observer.record_status(*vm, status);
                }
            }
            info!("{count} of {} nodes have the last note", all.len());
            if count == all.len() || Instant::now() >= deadline {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn delays(&mut self) -> Delays {
        let mut delays = Delays::default();
        let all: Vec<usize> = (0..self.fleet.layout().vms.len()).collect();
        let events = self.fleet.events(&all).await;
        for (vm, events) in all.into_iter().zip(&events) {
            delays.add(vm, events, &self.published, &self.spans);
            self.observer.record_events(vm, events);
        }
        delays.sort();
        delays
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
