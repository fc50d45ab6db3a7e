//! Subcommand `demo`.

use crate::{error::BenchError, subcommand::Verdict};

/// Arguments of `demo`.
#[derive(Debug, clap::Args)]
pub(crate) struct Demo {}

impl Demo {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error when the subcommand can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        Ok(Verdict::Broken)
    }
}
