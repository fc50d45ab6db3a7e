//! Arguments of the command.

use clap::{Parser, Subcommand};

use crate::{
    command::{completions, drain, note, restore, status, timeline},
    error::CliError,
    nodes::Nodes,
    output::Exit,
};

/// Checks and folds release notes, asks the nodes of wagtaillever, and takes
/// failure domains and VMs out of service and back.
///
/// Exit codes: 0 done; 1 failed or no node answered; 2 wrong arguments; 3 a
/// note or base is refused; 4 some nodes could not be reached.
#[derive(Debug, Parser)]
#[command(name = "wagtaillever", version)]
pub(crate) struct Arguments {
    /// Prints JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(flatten)]
    nodes: Nodes,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Works on release notes.
    #[command(subcommand)]
    Note(note::NoteCommand),
    /// Shows what each node believes.
    Status(status::Status),
    /// Shows the events of all nodes in one order.
    Timeline(timeline::Timeline),
    /// Takes a failure domain or a VM out of service.
    Drain(drain::Drain),
    /// Brings a failure domain or a VM back into service.
    Restore(restore::Restore),
    /// Prints the completions of a shell.
    Completions(completions::Completions),
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the command failed.
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
