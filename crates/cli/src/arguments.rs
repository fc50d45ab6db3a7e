//! Command-line arguments.

use clap::{Parser, Subcommand};

use crate::{
    command::{completions, drain, note, restore, status, timeline},
    error::CliError,
    nodes::Nodes,
    output::Exit,
};

/// Checks and folds release notes, queries wagtaillever nodes, and drains and
/// restores failure domains and VMs.
///
/// Exit codes: 0 success; 1 failure or no node answered; 2 invalid arguments;
/// 3 a note or base was refused; 4 some nodes gave no valid answer.
#[derive(Debug, Parser)]
#[command(name = "wagtaillever", version)]
pub(crate) struct Arguments {
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(flatten)]
    nodes: Nodes,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check, fold and compare release notes.
    #[command(subcommand)]
    Note(note::NoteCommand),
    /// Show the state that each node reports.
    Status(status::Status),
    /// Show the events of all nodes, merged in time-stamp order.
    Timeline(timeline::Timeline),
    /// Take a failure domain or a VM out of service.
    Drain(drain::Drain),
    /// Return a failure domain or a VM to service.
    Restore(restore::Restore),
    /// Print a shell completion script.
    Completions(completions::Completions),
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the command fails.
    pub(crate) async fn run(self) -> Result<Exit, CliError> {
        let (json, nodes) = (self.json, self.nodes);
        match self.command {
            Command::Note(command) => command.run(json, &nodes).await,
            Command::Status(command) => command.run(json, &nodes).await,
            Command::Timeline(command) => command.run(json, &nodes).await,
            Command::Drain(command) => command.run(json, &nodes).await,
            Command::Restore(command) => command.run(json, &nodes).await,
            Command::Completions(command) => command.run(),
        }
    }
}
