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
/// Nodes and bench must be built with the `mutants` feature of the node crate.
#[derive(Debug, clap::Args)]
pub(crate) struct Mutants {
    /// Deployment file.
    #[arg(long, default_value = "examples/ragusa.yaml", value_name = "FILE")]
    deployment: PathBuf,
    /// Mutant to run; may be given several times. By default, all mutants are run.
    #[arg(long, value_name = "NAME")]
    only: Vec<String>,
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

impl Mutants {
    /// Runs the mutants one after the other and prints whether the expected check failed for each.
    ///
    /// The verdict is `Failed` if a check did not catch its mutant or no mutant was selected.
    ///
    /// # Errors
    ///
    /// Returns an error if the deployment can't be started or a node can't be restarted.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let mut verdict = Verdict::Passed;
        let mut table = vec![row("mutant", "check", "caught", "failed checks")];
        for mutation in mutations() {
            let name = mutation.scenario.mutant;
            if !self.only.is_empty() && !self.only.iter().any(|only| only == name) {
                continue;
            }
            let (caught, broken) = self.run_mutation(&mutation).await?;
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

    /// Runs a mutant; returns whether the expected check failed, and a text of all failed checks.
    async fn run_mutation(&self, mutation: &Mutation) -> Result<(bool, String), BenchError> {
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
            .map(|violation| format!("{} ({})", violation.name, violation.seen))
            .collect();
        broken.dedup();
        broken.truncate(MAX_LISTED_VIOLATIONS);
        Ok((caught, broken.join("; ")))
    }
}

/// Maximum number of failed checks in a row of the table.
const MAX_LISTED_VIOLATIONS: usize = 4;

fn row(mutant: &str, check: &str, caught: &str, broken: &str) -> String {
    format!("{mutant:<18} {check:<22} {caught:<7} {broken}")
}
