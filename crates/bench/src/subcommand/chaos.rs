//! Subcommand `chaos`.

use std::{path::PathBuf, time::Duration};

use crate::{
    chaos::{ChaosOptions, run_chaos},
    deployment::Deployment,
    error::BenchError,
    fleet::json,
    subcommand::Verdict,
};

/// Arguments of `chaos`.
#[derive(Debug, clap::Args)]
pub(crate) struct Chaos {
    /// Deployment file.
    #[arg(long, default_value = "examples/ragusa.yaml", value_name = "FILE")]
    deployment: PathBuf,
    /// Seed of the schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the schedule in seconds.
    #[arg(long, default_value_t = 60)]
    seconds: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Chaos {
    /// Runs the schedule and prints a summary and the failed checks.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment can't be started or a node can't be restarted.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let report = run_chaos(ChaosOptions {
            deployment: Deployment::load(&self.deployment)?,
            seed: self.seed,
            length: Duration::from_secs(self.seconds),
            scenario: None,
        })
        .await?;
        if self.json {
            println!("{}", json(&report));
        } else {
            println!(
                "seed {}: {} steps, {} notes, {} requests, {} answered, {} refused, {} unknown, \
                 {} quiet scopes, {} clean stops, {} checks held",
                report.seed,
                report.steps,
                report.notes,
                report.requests,
                report.good,
                report.refused,
                report.unknown,
                report.quiet_scopes,
                report.clean_stops,
                report.held,
            );
        }
        for violation in &report.broken {
            eprintln!(
                "BROKEN seed {} {}: {}",
                report.seed, violation.name, violation.seen
            );
        }
        Ok(report.verdict())
    }
}
