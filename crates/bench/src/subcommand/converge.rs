//! Subcommand `converge`.

use crate::{error::BenchError, subcommand::Verdict};

/// Arguments of `converge`.
#[derive(Debug, clap::Args)]
pub(crate) struct Converge {}

impl Converge {
    /// Runs the subcommand.
    ///
    /// # Errors
    ///
    /// Returns an error when the subcommand can't be run.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        Ok(Verdict::Broken)
    }
}
