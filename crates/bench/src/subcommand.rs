//! Subcommands of the bench.

mod chaos;
mod converge;
mod demo;
mod mutants;
mod platform;
mod report;
mod service;
mod stops;

use std::process::ExitCode;

use crate::error::BenchError;

/// Subcommand to run.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Subcommand {
    /// Serves a simulated platform until interrupted.
    Platform(platform::Platform),
    /// Runs a deployment on loopback and shows how release notes and calls are handled.
    Demo(demo::Demo),
    /// Measures the delay and cost until release notes are in force.
    Converge(converge::Converge),
    /// Puts a deployment under load and measures latency, goodput and errors of calls.
    Service(service::Service),
    /// Stops nodes in turn while callers keep using their connections.
    Stops(stops::Stops),
    /// Writes an HTML page with plots of JSON results.
    Report(report::Report),
    /// Runs a random schedule of faults and checks the invariants.
    Chaos(chaos::Chaos),
    /// Runs nodes with deliberate faults and verifies that the matching check fails.
    Mutants(mutants::Mutants),
}

impl Subcommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error if the subcommand can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        match self {
            Self::Platform(platform) => platform.run().await,
            Self::Demo(demo) => demo.run().await,
            Self::Converge(converge) => converge.run().await,
            Self::Service(service) => service.run().await,
            Self::Stops(stops) => stops.run().await,
            Self::Report(report) => report.run().await,
            Self::Chaos(chaos) => chaos.run().await,
            Self::Mutants(mutants) => mutants.run().await,
        }
    }
}

/// Overall result of the checks of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// All checks passed.
    Passed,
    /// At least one check failed.
    Failed,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Passed => Self::SUCCESS,
            Verdict::Failed => Self::FAILURE,
        }
    }
}
