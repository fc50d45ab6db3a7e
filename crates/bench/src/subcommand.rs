//! Subcommands of the bench, one file each.

mod chaos;
mod converge;
mod demo;
mod mutants;
mod platform;
mod report;
mod service;

use std::process::ExitCode;

use crate::error::BenchError;

/// What to run.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Subcommand {
    /// Serves the platform stand-in until it is interrupted.
    Platform(platform::Platform),
    /// Runs a deployment on loopback and shows the whole path of a note and of calls.
    Demo(demo::Demo),
    /// Measures how fast and at what cost release notes come into force.
    Converge(converge::Converge),
    /// Loads a deployment and measures how calls are answered.
    Service(service::Service),
    /// Writes one page with plots from the JSON of experiments.
    Report(report::Report),
    /// Runs a random schedule of faults and checks what must always hold.
    Chaos(chaos::Chaos),
    /// Shows that each check fails when the nodes break its promise on purpose.
    Mutants(mutants::Mutants),
}

impl Subcommand {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error when the subcommand can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        match self {
            Self::Platform(platform) => platform.run().await,
            Self::Demo(demo) => demo.run().await,
            Self::Converge(converge) => converge.run().await,
            Self::Service(service) => service.run().await,
            Self::Report(report) => report.run().await,
            Self::Chaos(chaos) => chaos.run().await,
            Self::Mutants(mutants) => mutants.run().await,
        }
    }
}

/// Whether all that a subcommand checks held.
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
