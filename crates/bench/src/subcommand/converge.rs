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
    /// Number of nodes, each with its own upstream.
    #[arg(long, default_value_t = 50)]
    nodes: usize,
    /// Number of failure domains.
    #[arg(long, default_value_t = 6)]
    domains: usize,
    /// Number of services.
    #[arg(long, default_value_t = 30)]
    services: usize,
    /// Number of notes; every fifth one breaks a rule.
    #[arg(long, default_value_t = 20)]
    notes: u64,
    /// What is brought about while the middle third of the notes is published.
    #[arg(long, default_value = "none")]
    fault: ConvergeFault,
    /// What is measured in place of the system's own distribution.
    #[arg(long)]
    baseline: Option<ConvergeBaseline>,
    /// Seed of notes, victims and the platform's faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the result as one JSON object.
    #[arg(long)]
    json: bool,
}

impl Converge {
    /// Runs the experiment and prints its result.
    ///
    /// # Errors
    ///
    /// Returns an error when the fleet can't be started.
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
        for breach in &report.broken {
            eprintln!("BROKEN {}: {}", breach.name, breach.seen);
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
