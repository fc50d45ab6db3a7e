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
    /// Validate notes, alone or against the base that they apply to.
    Check(check::Check),
    /// Fold notes into a base for publication.
    Fold(fold::Fold),
    /// Show the changes that a note or a newer base makes.
    Diff(diff::Diff),
    /// Show on how many nodes of each failure domain a note is in force.
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
