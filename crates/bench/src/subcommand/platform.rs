//! Subcommand `platform`.

use crate::{error::BenchError, subcommand::Verdict};

/// Arguments of `platform`.
#[derive(Debug, clap::Args)]
pub(crate) struct Platform {}

impl Platform {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error when the subcommand can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        Ok(Verdict::Broken)
    }
}
