//! `wagtaillever restore`

use clap::Args;
use wagtaillever_coordination::DrainAction;

use crate::{
    command::order::{self, OrderArguments},
    error::CliError,
    nodes::Nodes,
    output::Exit,
};

/// Arguments of `restore`.
#[derive(Debug, Args)]
pub(crate) struct Restore {
    #[command(flatten)]
    order: OrderArguments,
}

impl Restore {
    pub(crate) async fn run(&self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        order::issue(&self.order, DrainAction::Restore, json, nodes).await
    }
}
