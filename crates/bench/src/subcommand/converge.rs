//! Subcommand `converge`.

use crate::{
    converge::{ConvergeBaseline, ConvergeFault, ConvergeOptions, ConvergeReport, run_converge},
    error::BenchError,
    fleet::json,
    subcommand::Verdict,
};

/// Arguments of `converge`.
#[derive(Debug, clap::Args)]
pub(crate) struct Converge {
    /// Number of nodes, each with one upstream.
    #[arg(long, default_value_t = 50)]
    nodes: usize,
    /// Number of failure domains.
    #[arg(long, default_value_t = 6)]
    domains: usize,
    /// Number of services.
    #[arg(long, default_value_t = 30)]
    services: usize,
    /// Number of release notes; every fifth one is invalid.
    #[arg(long, default_value_t = 20)]
    notes: u64,
    /// Fault during the middle third of the notes.
    #[arg(long, default_value = "none")]
    fault: ConvergeFault,
    /// Baseline to measure instead of the system.
    #[arg(long)]
    baseline: Option<ConvergeBaseline>,
    /// Seed of notes, selected nodes and platform faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Converge {
    /// Runs the experiment and prints the result and the failed checks.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet can't be started.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let report = run_converge(ConvergeOptions {
            nodes: self.nodes,
            domains: self.domains,
            services: self.services,
            notes: self.notes,
            fault: self.fault,
            baseline: self.baseline,
            seed: self.seed,
        })
        .await?;
        if self.json {
            println!("{}", json(&report));
        } else {
            print_table(&report);
        }
        for violation in &report.broken {
            eprintln!("BROKEN {}: {}", violation.name, violation.seen);
        }
        Ok(report.verdict())
    }
}

fn print_table(report: &ConvergeReport) {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(report) else {
        return;
    };
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_array()) {
        println!("{name:<24} {value}");
    }
}
