//! Subcommand `stops`.

use std::time::Duration;

use crate::{
    error::BenchError,
    fleet::{StopLimits, json},
    stops::{StopsOptions, run_stops},
    subcommand::Verdict,
};

/// Arguments of `stops`. The defaults are those of the users' large deployment.
#[derive(Debug, clap::Args)]
pub(crate) struct Stops {
    /// Number of nodes.
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// Number of failure domains.
    #[arg(long, default_value_t = 3)]
    domains: usize,
    /// Number of kept connections to each node.
    #[arg(long, default_value_t = 6)]
    callers: usize,
    /// Largest factor by which an upstream is slower than others of its service.
    #[arg(long, default_value_t = 1.6)]
    slowest: f64,
    /// Share of the bodies that pause for up to 4 s after their first byte.
    #[arg(long, default_value_t = 0.0)]
    slow_bodies: f64,
    /// Number of stops [default: one for each node].
    #[arg(long)]
    stops: Option<usize>,
    /// Number of nodes that stop at the same time.
    #[arg(long, default_value_t = 3)]
    together: usize,
    /// Time after SIGTERM after which a node is killed, in seconds.
    #[arg(long, default_value_t = 10.0)]
    grace_s: f64,
    /// Notice period of the nodes in milliseconds.
    #[arg(long, default_value_t = 2_600)]
    notice_ms: u64,
    /// Sends further signals, publishes notes and lets the platform fail while nodes stop.
    #[arg(long)]
    disturbed: bool,
    /// Seed of calls and disturbances.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Stops {
    /// Runs the experiment and prints the result.
    ///
    /// # Errors
    ///
    /// Returns an error if a node can't be started or does not serve in time.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let report = run_stops(StopsOptions {
            nodes: self.nodes,
            domains: self.domains,
            callers: self.callers,
            slowest: self.slowest,
            slow_bodies: self.slow_bodies,
            stops: self.stops.unwrap_or(self.nodes),
            together: self.together.max(1),
            grace: Duration::from_secs_f64(self.grace_s),
            notice: Duration::from_millis(self.notice_ms),
            stop_limits: StopLimits {
                notice_ms: self.notice_ms,
                grace_s: self.grace_s,
            },
            is_disturbed: self.disturbed,
            seed: self.seed,
        })
        .await?;
        if self.json {
            println!("{}", json(&report));
        } else {
            report.print();
        }
        Ok(report.verdict())
    }
}
