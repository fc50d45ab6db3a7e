//! Subcommand `mutants`.

use std::{path::PathBuf, time::Duration};

use crate::{
    chaos::{ChaosOptions, Mutation, mutations, run_chaos},
    deployment::Deployment,
    error::BenchError,
    subcommand::Verdict,
};

/// Arguments of `mutants`.
///
/// Nodes and bench must be built with the feature `mutants` of the node.
#[derive(Debug, clap::Args)]
pub(crate) struct Mutants {
    /// Deployment to run.
    #[arg(long, default_value = "examples/ragusa.yaml", value_name = "FILE")]
    deployment: PathBuf,
    /// Deliberate fault to run; all of them if none is given.
    #[arg(long, value_name = "NAME")]
    only: Vec<String>,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of each run in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

impl Mutants {
    /// Runs the deliberate faults one by one and prints which check caught which.
    ///
    /// # Errors
    ///
    /// Returns an error when the deployment can't be started, or no fault has a given name.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let mut verdict = Verdict::Passed;
        let mut table = vec![row("mutant", "check", "caught", "all that broke")];
        for mutation in mutations() {
            let name = mutation.scenario.mutant;
            if !self.only.is_empty() && !self.only.iter().any(|only| only == name) {
                continue;
            }
            let (caught, broken) = self.catch(&mutation).await?;
            if !caught {
                verdict = Verdict::Failed;
            }
            let caught = if caught { "yes" } else { "no" };
            table.push(row(name, mutation.check, caught, &broken));
        }
        println!("{}", table.join("\n"));
        if table.len() == 1 {
            verdict = Verdict::Failed;
        }
        Ok(verdict)
    }

    async fn catch(&self, mutation: &Mutation) -> Result<(bool, String), BenchError> {
        let report = run_chaos(ChaosOptions {
            deployment: Deployment::load(&self.deployment)?,
            seed: self.seed,
            length: Duration::from_secs(self.seconds),
            scenario: Some(mutation.scenario.clone()),
        })
        .await?;
        let caught = report.broken.iter().any(|b| b.name == mutation.check);
        let mut broken: Vec<String> = report
            .broken
            .iter()
            .map(|breach| format!("{} ({})", breach.name, breach.seen))
            .collect();
        broken.dedup();
        broken.truncate(MAX_SHOWN);
        Ok((caught, broken.join("; ")))
    }
}

/// Breaches that a row of the table shows.
const MAX_SHOWN: usize = 4;

fn row(mutant: &str, check: &str, caught: &str, broken: &str) -> String {
    format!("{mutant:<18} {check:<22} {caught:<7} {broken}")
}
