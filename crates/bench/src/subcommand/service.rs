//! Experiment on calls.

use std::{path::PathBuf, time::Duration};

use clap::Args;

use crate::{
    deployment::Deployment,
    error::BenchError,
    service::{ServiceBaseline, ServiceFault, ServiceOptions, run_service},
    subcommand::Verdict,
};

/// Loads a deployment and measures how calls are answered.
#[derive(Debug, Args)]
pub(crate) struct Service {
    /// Deployment file.
    #[arg(long, default_value = "examples/ragusa.yaml")]
    deployment: PathBuf,
    /// Offered load as a multiple of the capacity; 0.5, and 3 with the fault `overload`.
    #[arg(long)]
    load: Option<f64>,
    /// What is brought about in the middle third of the run.
    #[arg(long, value_enum, default_value_t)]
    fault: ServiceFault,
    /// What is measured in place of the system.
    #[arg(long, value_enum)]
    baseline: Option<ServiceBaseline>,
    /// Seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seconds under load.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Prints one JSON object on standard output.
    #[arg(long)]
    json: bool,
}

/// Load as a multiple of the capacity, unless stated.
const LOAD: f64 = 0.5;
/// Load of the fault `overload`, unless stated.
const OVERLOAD: f64 = 3.0;

impl Service {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let load = match self.fault {
            ServiceFault::Overload => OVERLOAD,
            _ => LOAD,
        };
        let result = run_service(ServiceOptions {
            deployment: Deployment::load(&self.deployment)?,
            load: self.load.unwrap_or(load),
            fault: self.fault,
            baseline: self.baseline,
            seed: self.seed,
            span: Duration::from_secs(self.seconds),
        })
        .await?;
        if self.json {
            println!("{}", serde_json::to_string(&result).unwrap_or_default());
        } else {
            println!("{}", result.table());
        }
        if result.broken.is_empty() || self.baseline.is_some() {
            return Ok(Verdict::Passed);
        }
        Ok(Verdict::Failed)
    }
}
