//! Shared part of `drain` and `restore`: issues an order and shows on which nodes it is in force.

use std::{collections::BTreeMap, net::SocketAddr};

use clap::{Args, Subcommand};
use serde::Serialize;
use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope, StatusReport, is_name};

use crate::{
    client::NodeClient,
    error::CliError,
    nodes::{Answers, Nodes},
    output,
    output::Exit,
    table::Table,
};

/// Scope of an order.
#[derive(Clone, Debug, Subcommand)]
pub(crate) enum Scope {
    /// A whole failure domain.
    Domain {
        /// Name of the failure domain.
        name: String,
    },
    /// One VM.
    Vm {
        /// Name of the VM.
        name: String,
    },
}

impl From<&Scope> for DrainScope {
    fn from(scope: &Scope) -> Self {
        match scope {
            Scope::Domain { name } => Self::Domain(name.as_str().into()),
            Scope::Vm { name } => Self::Vm(name.as_str().into()),
        }
    }
}

/// Arguments that `drain` and `restore` share.
#[derive(Debug, Args)]
pub(crate) struct OrderArguments {
    /// Number of the order; defaults to one above the highest known number.
    #[arg(long, global = true)]
    number: Option<u64>,
    /// Print the list to publish under the platform's `drains` key instead of sending the order.
    #[arg(long, global = true)]
    print: bool,
    /// Admin token from the settings of the nodes.
    #[arg(
        long,
        env = "WAGTAILLEVER_TOKEN",
        hide_env_values = true,
        global = true
    )]
    token: Option<String>,
    #[command(subcommand)]
    scope: Scope,
}

#[derive(Serialize)]
struct Outcome {
    order: DrainOrder,
    nodes: Vec<NodeOutcome>,
}

#[derive(Serialize)]
struct NodeOutcome {
    node: SocketAddr,
    in_force: bool,
    orders: Vec<DrainOrder>,
}

/// Sends an order to the nodes, or prints the list of orders to publish on the platform.
///
/// # Errors
///
/// Returns an error if the order is invalid, no node answers or printing fails.
pub(crate) async fn issue(
    arguments: &OrderArguments,
    action: DrainAction,
    json: bool,
    nodes: &Nodes,
) -> Result<Exit, CliError> {
    let known = known_orders(arguments, nodes).await?;
    let order = DrainOrder {
        number: arguments.number.unwrap_or(highest_number(&known) + 1),
        scope: (&arguments.scope).into(),
        action,
    };
    if arguments.print {
        let list = merge_order(known, &order);
        output::print(true, &list, |_| String::new())?;
        return Ok(Exit::Success);
    }
    let answers = send(arguments, &order, nodes).await?;
    let exit = answers.exit();
    let outcome = build_outcome(order, answers);
    let is_in_force = outcome.nodes.iter().all(|node| node.in_force);
    output::print(json, &outcome, render_outcome)?;
    if !is_in_force {
        return Ok(Exit::Failed);
    }
    Ok(exit)
}

async fn known_orders(
    arguments: &OrderArguments,
    nodes: &Nodes,
) -> Result<Vec<DrainOrder>, CliError> {
    let (Scope::Domain { name } | Scope::Vm { name }) = &arguments.scope;
    if !is_name(name) {
        return Err(CliError::InvalidOrder {
            reason: "invalid name: must be 1 to 63 lower-case letters, digits, dashes, dots or underscores",
        });
    }
    if arguments.number == Some(0) {
        return Err(CliError::InvalidOrder {
            reason: "the order number must be above 0",
        });
    }
    if arguments.number.is_some() && !arguments.print {
        return Ok(Vec::new());
    }
    let answers = nodes.get::<StatusReport>("/status").await?;
    let orders = answers
        .succeeded
        .into_iter()
        .flat_map(|(_, report)| report.orders);
    Ok(orders.collect())
}

fn highest_number(orders: &[DrainOrder]) -> u64 {
    orders.iter().map(|order| order.number).max().unwrap_or(0)
}

/// Returns the newest order of each scope, in the form of the platform's `drains` key.
fn merge_order(known: Vec<DrainOrder>, order: &DrainOrder) -> Vec<DrainOrder> {
    let mut list = wagtaillever_coordination::DrainList::default();
    for order in known.iter().chain([order]) {
        list.merge(order);
    }
    list.iter().collect()
}

async fn send(
    arguments: &OrderArguments,
    order: &DrainOrder,
    nodes: &Nodes,
) -> Result<Answers<Vec<DrainOrder>>, CliError> {
    let token = arguments.token.as_deref();
    nodes
        .query(|client, node| async move {
            let client = NodeClient::new(&client, node);
            client.post("/drains", token, order).await
        })
        .await
}

fn build_outcome(order: DrainOrder, answers: Answers<Vec<DrainOrder>>) -> Outcome {
    let nodes = answers
        .succeeded
        .into_iter()
        .map(|(node, orders)| NodeOutcome {
            node,
            in_force: orders.contains(&order),
            orders,
        });
    Outcome {
        nodes: nodes.collect(),
        order,
    }
}

fn render_outcome(outcome: &Outcome) -> String {
    let mut table = Table::new(&["NODE", "IN FORCE", "NEWEST ORDER FOR SCOPE"]);
    for entry in &outcome.nodes {
        let newest = entry.orders.iter();
        let newest = newest
            .filter(|order| order.scope == outcome.order.scope)
            .map(|order| format!("{} {}", order.number, action_name(order.action)));
        table.add_row([
            entry.node.to_string(),
            if entry.in_force { "yes" } else { "no" }.into(),
            newest.collect::<Vec<_>>().join(", "),
        ]);
    }
    format!("{}\n{}", describe(&outcome.order), table.render())
}

fn describe(order: &DrainOrder) -> String {
    format!(
        "order {}: {} {}",
        order.number,
        action_name(order.action),
        order.scope
    )
}

fn action_name(action: DrainAction) -> &'static str {
    match action {
        DrainAction::Drain => "drain",
        DrainAction::Restore => "restore",
    }
}

/// Renders orders as a table.
pub(crate) fn render(orders: &[DrainOrder]) -> String {
    let by_number: BTreeMap<_, _> = orders
        .iter()
        .map(|order| ((order.number, &order.scope), order.action))
        .collect();
    let mut table = Table::new(&["ORDER", "ACTION", "SCOPE"]);
    for ((number, scope), action) in by_number {
        table.add_row([
            number.to_string(),
            action_name(action).into(),
            scope.to_string(),
        ]);
    }
    table.render()
}
