//! One run: start, stops in turn, judgement.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use log::info;
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, sleep_until};
use wagtaillever_coordination::{Changes, ReleaseNote, RouteSpec, Sequence};

use crate::{
    deployment::Deployment,
    error::BenchError,
    fleet::{FleetOptions, StopLimits},
    platform::Outage,
    service::Testbed,
    stops::{
        caller::{CalledNode, CallerLoad, Callers, Exchange, WorkTimes},
        judge::{Stop, judge},
        report::StopsReport,
        schedule::{Disturbance, disturbances},
    },
};

/// Options of a run.
#[derive(Clone, Debug)]
pub(crate) struct StopsOptions {
    pub(crate) nodes: usize,
    pub(crate) domains: usize,
    /// Kept connections to each node.
    pub(crate) callers: usize,
    /// Largest factor by which an upstream is slower than others.
    pub(crate) slowest: f64,
    /// Share of the bodies that pause after their first byte.
    pub(crate) slow_bodies: f64,
    /// Number of stops.
    pub(crate) stops: usize,
    /// Nodes that stop at the same time.
    pub(crate) together: usize,
    /// Time after SIGTERM after which a node is killed.
    pub(crate) grace: Duration,
    /// Notice period of the nodes.
    pub(crate) notice: Duration,
    pub(crate) stop_limits: StopLimits,
    /// Whether further signals, notes and outages of the platform come while nodes stop.
    pub(crate) is_disturbed: bool,
    pub(crate) seed: u64,
}

/// Time before the first stop and after the last one.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Interval between two checks for the end of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time until a replacement node serves.
const SERVE_TIMEOUT: Duration = Duration::from_secs(30);
/// Share of the rounds in which the platform does not answer.
const OUTAGE_SHARE: f64 = 0.3;
/// Timeout of the routes that notes add, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 5_000;

/// Runs the experiment.
///
/// # Errors
///
/// Returns an error if a node can't be started or does not serve in time.
pub(crate) async fn run_stops(options: StopsOptions) -> Result<StopsReport, BenchError> {
    let mut fleet = FleetOptions::new(Deployment::synthetic(options.nodes, options.domains, 1));
    fleet.seed = options.seed;
    fleet.proxied = false;
    fleet.stop_limits = Some(options.stop_limits);
    let testbed = Testbed::start(fleet).await?;
    let vms = testbed.fleet.layout().vms.iter().enumerate();
    let nodes: Vec<_> = vms
        .map(|(vm, placement)| CalledNode {
            vm,
            address: placement.callers,
        })
        .collect();
    let load = CallerLoad {
        times: WorkTimes::new(options.slowest),
        slow_bodies: options.slow_bodies,
    };
    let callers = Callers::start(&nodes, options.callers, load, options.seed);
    let mut run = Run {
        rng: SmallRng::seed_from_u64(options.seed),
        sequence: Sequence(1),
        stops: Vec::new(),
        testbed,
        options,
    };
    let result = run.stop_all().await;
    let exchanges = callers.finish().await;
    result?;
    Ok(run.report(&exchanges))
}

struct Run {
    options: StopsOptions,
    testbed: Testbed,
    rng: SmallRng,
    sequence: Sequence,
    stops: Vec<Stop>,
}

impl Run {
    async fn stop_all(&mut self) -> Result<(), BenchError> {
        sleep(CALM_TIME).await;
        let mut first = 0;
        while first < self.options.stops {
            let next = (first + self.options.together).min(self.options.stops);
            let vms: Vec<_> = (first..next).map(|at| at % self.options.nodes).collect();
            self.disturb_fleet();
            self.stop_round(&vms).await?;
            first = next;
        }
        sleep(CALM_TIME).await;
        Ok(())
    }

    /// Stops nodes at the same time and starts replacements.
    async fn stop_round(&mut self, vms: &[usize]) -> Result<(), BenchError> {
        let mut stops = Vec::new();
        for &vm in vms {
            let disturbances = match self.options.is_disturbed {
                true => disturbances(&mut self.rng),
                false => Vec::new(),
            };
            stops.push((vm, disturbances));
        }
        let asked = Instant::now();
        for &vm in vms {
            self.signal(vm, Signal::SIGTERM);
        }
        let run = &*self;
        join_all(stops.into_iter().map(|(vm, disturbances)| async move {
            for (at, disturbance) in disturbances {
                sleep_until((asked + at).into()).await;
                run.signal(
                    vm,
                    match disturbance {
                        Disturbance::Terminate => Signal::SIGTERM,
                        Disturbance::Hangup => Signal::SIGHUP,
                    },
                );
            }
        }))
        .await;
        let mut open = vms.to_vec();
        while !open.is_empty() {
            let is_late = asked.elapsed() >= self.options.grace;
            open.retain(|&vm| {
                let Some(node) = self.testbed.fleet.node_mut(vm) else {
                    return false;
                };
                if !node.has_exited() && !is_late {
                    return true;
                }
                let code = node.exit_code();
                self.testbed.fleet.kill(vm);
                self.stops.push(Stop {
                    vm,
                    asked,
                    ended: Instant::now(),
                    code,
                });
                false
            });
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.testbed
            .fleet
            .platform()
            .set_faults(|faults| faults.outage = None);
        for &vm in vms {
            self.testbed.fleet.start(vm)?;
        }
        info!("stopped {} of {}", self.stops.len(), self.options.stops);
        self.testbed.fleet.wait_serving(vms, SERVE_TIMEOUT).await
    }

    /// Publishes a note and lets the platform fail during some rounds.
    fn disturb_fleet(&mut self) {
        if !self.options.is_disturbed {
            return;
        }
        self.sequence = self.sequence.next();
        let name = format!("added-{}", self.sequence);
        let route = RouteSpec::for_service(
            name.as_str().into(),
            format!("/{name}"),
            "service-0".into(),
            ROUTE_TIMEOUT_MS,
        );
        let routes = Changes {
            add: vec![route.into()],
            ..Changes::default()
        };
        let note = ReleaseNote {
            note: self.sequence,
            routes,
            ..ReleaseNote::default()
        };
        self.testbed.fleet.publish_note(&note);
        if self.rng.random_bool(OUTAGE_SHARE) {
            let platform = self.testbed.fleet.platform();
            platform.set_faults(|faults| faults.outage = Some(Outage::Silent));
        }
    }

    fn signal(&self, vm: usize, signal: Signal) {
        if let Some(node) = self.testbed.fleet.node(vm) {
            node.signal(signal);
        }
    }

    fn report(&mut self, exchanges: &[Exchange]) -> StopsReport {
        let mut runs: HashMap<String, u32> = HashMap::new();
        for counts in self.testbed.counts() {
            for (id, times) in counts.ran {
                *runs.entry(id).or_default() += times;
            }
        }
        let losses = judge(exchanges, &self.stops, &runs, self.options.grace);
        let report = StopsReport::new(&self.options, exchanges, &self.stops, &losses);
        if !report.broken.is_empty() {
            let logs = self.testbed.fleet.keep_logs();
            info!("settings and logs kept in {}", logs.display());
        }
        report
    }
}
