//! Daemon that runs one node.

use std::process::ExitCode;

use clap::Parser;
use wagtaillever_node::{Arguments, run};

fn main() -> ExitCode {
    run(Arguments::parse())
}
