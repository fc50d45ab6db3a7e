//! `wagtaillever completions`

use std::io;

use clap::{Args, CommandFactory};
use clap_complete::{Shell, generate};

use crate::{arguments::Arguments, error::CliError, output::Exit};

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub(crate) struct Completions {
    /// Shell to generate the completions for.
    shell: Shell,
}

impl Completions {
    pub(crate) fn run(&self) -> Result<Exit, CliError> {
        let mut command = Arguments::command();
        generate(self.shell, &mut command, "wagtaillever", &mut io::stdout());
        Ok(Exit::Success)
    }
}
