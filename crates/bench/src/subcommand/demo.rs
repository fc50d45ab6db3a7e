//! Subcommand `demo`.

mod act;
mod call;
mod show;

use std::path::PathBuf;

use crate::{
    deployment::Deployment,
    error::BenchError,
    fleet::FleetOptions,
    subcommand::{Verdict, demo::act::Act},
};

/// Arguments of `demo`.
#[derive(Debug, clap::Args)]
pub(crate) struct Demo {
    /// Deployment to run.
    #[arg(long, default_value = "examples/ragusa.yaml", value_name = "FILE")]
    deployment: PathBuf,
    /// Keeps the directory with settings and logs.
    #[arg(long)]
    keep: bool,
}

impl Demo {
    /// Runs a deployment, shows the way of a note and of calls, and checks what must hold.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let deployment = Deployment::load(&self.deployment)?;
        show::start(&deployment);
        let mut act = Act::start(FleetOptions::new(deployment)).await?;
        let result = act.play().await;
        if self.keep {
            println!("settings and logs: {}", act.keep_logs().display());
        }
        let checks = act.checks();
        show::summary(checks);
        result?;
        Ok(checks.verdict())
    }
}
