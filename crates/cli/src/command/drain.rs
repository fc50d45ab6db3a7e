//! `wagtaillever drain`

use clap::Args;
use wagtaillever_coordination::DrainAction;

use crate::{
    command::order::{self, OrderArguments},
    error::CliError,
    nodes::Nodes,
    output::Exit,
};

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub(crate) struct Drain {
    #[command(flatten)]
    order: OrderArguments,
}

impl Drain {
    pub(crate) async fn run(&self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        order::issue(&self.order, DrainAction::Drain, json, nodes).await
    }
}
