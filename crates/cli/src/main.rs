//! Command-line tool for operating wagtaillever.

mod arguments;
mod client;
mod command;
mod error;
mod nodes;
mod output;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::{arguments::Arguments, output::Exit};

fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    let exit = actix_rt::System::new().block_on(arguments.run());
    match exit {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("error: {err}");
            Exit::from(&err).into()
        }
    }
}
