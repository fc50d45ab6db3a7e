//! `wagtaillever note`

mod check;
mod diff;
mod fold;
mod input;
mod status;

use clap::Subcommand;

use crate::{error::CliError, nodes::Nodes, output::Exit};

/// Subcommands of `note`.
#[derive(Debug, Subcommand)]
pub(crate) enum NoteCommand {
    /// Checks notes, alone or against the base that they would change.
    Check(check::Check),
    /// Folds notes into a base to publish.
    Fold(fold::Fold),
    /// Shows what a note or a newer base changes.
    Diff(diff::Diff),
    /// Shows on how many nodes of which failure domain a note is in force.
    Status(status::Status),
}

impl NoteCommand {
    pub(crate) async fn run(self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        match self {
            Self::Check(command) => command.run(json),
            Self::Fold(command) => command.run(json),
            Self::Diff(command) => command.run(json),
            Self::Status(command) => command.run(json, nodes).await,
        }
    }
}
