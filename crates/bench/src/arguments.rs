//! Command line of the bench.

use std::process::ExitCode;

use clap::Parser;

use crate::subcommand::Subcommand;

/// Runs stand-ins and experiments around real nodes on loopback.
///
/// Results go to standard output, progress to standard error.
#[derive(Debug, Parser)]
#[command(name = "wagtaillever-bench", version)]
pub struct Arguments {
    /// Log filter, as `env_logger` reads it.
    #[arg(long, global = true, default_value = "warn", value_name = "FILTER")]
    log: String,
    /// What to run.
    #[command(subcommand)]
    subcommand: Subcommand,
}

/// Exit code when an experiment can't be run.
const EXIT_FAILED: u8 = 2;

/// Runs a subcommand and returns its exit code: 0 when all that it checks
/// holds, 1 when something did not, 2 when it could not be run.
#[must_use]
pub fn run(arguments: Arguments) -> ExitCode {
    env_logger::Builder::new()
        .parse_filters(&arguments.log)
        .init();
    let result = actix_rt::System::new().block_on(arguments.subcommand.run());
    match result {
        Ok(verdict) => verdict.into(),
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
