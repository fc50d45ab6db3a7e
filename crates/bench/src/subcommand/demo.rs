//! Subcommand `demo`.

mod call;
mod run;
mod show;

use std::path::PathBuf;

use crate::{
    deployment::Deployment,
    error::BenchError,
    fleet::FleetOptions,
    subcommand::{Verdict, demo::run::DemoRun},
};

/// Arguments of `demo`.
#[derive(Debug, clap::Args)]
pub(crate) struct Demo {
    /// Deployment file.
    #[arg(long, default_value = "examples/ragusa.yaml", value_name = "FILE")]
    deployment: PathBuf,
    /// Keeps the directory with settings and logs.
    #[arg(long)]
    keep: bool,
}

impl Demo {
    /// Runs the demo steps on a deployment and prints the results of the checks.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let deployment = Deployment::load(&self.deployment)?;
        show::start(&deployment);
        let mut run = DemoRun::start(FleetOptions::new(deployment)).await?;
        let result = run.execute().await;
        if self.keep {
            println!("settings and logs: {}", run.keep_logs().display());
        }
        let checks = run.checks();
        show::summary(checks);
        result?;
        Ok(checks.verdict())
    }
}
