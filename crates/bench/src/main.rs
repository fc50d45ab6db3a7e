//! Entry point of the bench command.

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    wagtaillever_bench::run(wagtaillever_bench::Arguments::parse())
}
