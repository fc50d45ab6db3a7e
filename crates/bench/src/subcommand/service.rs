//! Subcommand `service`.

use std::{path::PathBuf, time::Duration};

use clap::Args;

use crate::{
    deployment::Deployment,
    error::BenchError,
    service::{ServiceBaseline, ServiceFault, ServiceOptions, run_service},
    subcommand::Verdict,
};

/// Arguments of `service`.
#[derive(Debug, Args)]
pub(crate) struct Service {
    /// Deployment file.
    #[arg(long, default_value = "examples/ragusa.yaml")]
    deployment: PathBuf,
    /// Offered load as a multiple of the capacity [default: 0.5, or 3 with the fault `overload`].
    #[arg(long)]
    load: Option<f64>,
    /// Fault in the middle third of the run.
    #[arg(long, value_enum, default_value_t)]
    fault: ServiceFault,
    /// Baseline to measure instead of the system.
    #[arg(long, value_enum)]
    baseline: Option<ServiceBaseline>,
    /// Seed of load and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the load in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
}

/// Default load as a multiple of the capacity.
const DEFAULT_LOAD: f64 = 0.5;
/// Default load with the fault `overload`, as a multiple of the capacity.
const DEFAULT_OVERLOAD: f64 = 3.0;

impl Service {
    /// Runs the experiment and prints the result.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment can't be started or a node can't be restarted.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let load = match self.fault {
            ServiceFault::Overload => DEFAULT_OVERLOAD,
            _ => DEFAULT_LOAD,
        };
        let result = run_service(ServiceOptions {
            deployment: Deployment::load(&self.deployment)?,
            load: self.load.unwrap_or(load),
            fault: self.fault,
            baseline: self.baseline,
            seed: self.seed,
            duration: Duration::from_secs(self.seconds),
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
