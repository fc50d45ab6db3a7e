//! Command line of the bench.

use std::process::ExitCode;

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};

use crate::{error::BenchError, subcommand::Subcommand};

/// Runs experiments with real nodes and simulated upstreams on loopback.
///
/// Results are written to standard output, progress to standard error.
#[derive(Debug, Parser)]
#[command(name = "wagtaillever-bench", version)]
pub struct Arguments {
    /// Log filter in the syntax of `env_logger`.
    #[arg(
        long,
        global = true,
        default_value = "warn,wagtaillever_bench=info",
        value_name = "FILTER"
    )]
    log: String,
    /// Subcommand to run.
    #[command(subcommand)]
    subcommand: Subcommand,
}

/// Exit code if a subcommand can't be run.
const EXIT_FAILED: u8 = 2;

/// Runs a subcommand and returns its exit code: 0 if all checks passed, 1 if a check failed,
/// 2 if it could not be run.
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

/// Waits for SIGINT or SIGTERM. The caller then drops the running subcommand, which also ends its
/// child processes.
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

/// Returns the name of a value on the command line.
pub(crate) fn value_name(value: &impl clap::ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}
