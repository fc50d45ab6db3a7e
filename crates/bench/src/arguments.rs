//! Command line of the bench.

use std::process::ExitCode;

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

use crate::{error::BenchError, subcommand::Subcommand};

/// Runs stand-ins and experiments around real nodes on loopback.
///
/// Results go to standard output, progress to standard error.
#[derive(Debug, Parser)]
#[command(name = "wagtaillever-bench", version)]
pub struct Arguments {
    /// Log filter, as `env_logger` reads it.
    #[arg(
        long,
        global = true,
        default_value = "warn,wagtaillever_bench=info",
        value_name = "FILTER"
    )]
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
    let result = actix_rt::System::new().block_on(async {
        tokio::select! {
            result = arguments.subcommand.run() => result,
            () = interrupted() => Err(BenchError::Interrupted),
        }
    });
    match result {
        Ok(verdict) => verdict.into(),
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Waits for a signal to end; what runs is dropped then, and its processes with it.
async fn interrupted() {
    let interrupt = signal(SignalKind::interrupt());
    let terminate = signal(SignalKind::terminate());
    let (Ok(mut interrupt), Ok(mut terminate)) = (interrupt, terminate) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Returns the name of a value as the command line takes it.
pub(crate) fn value_name(value: &impl clap::ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}
