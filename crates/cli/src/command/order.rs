//! What `drain` and `restore` share: giving an order and showing who has it in force.

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

/// What an order refers to.
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
    /// Number of the order; one above the highest known by default.
    #[arg(long, global = true)]
    number: Option<u64>,
    /// Prints the list to publish under the platform's key `drains` and gives no order to nodes.
    #[arg(long, global = true)]
    print: bool,
    /// Token of the nodes' settings.
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
    nodes: Vec<Holder>,
}

#[derive(Serialize)]
struct Holder {
    node: SocketAddr,
    in_force: bool,
    orders: Vec<DrainOrder>,
}

/// Gives an order to the nodes in reach, or prints it for the platform.
///
/// # Errors
///
/// Returns an error when no node answers or the order can't be given.
pub(crate) async fn give(
    arguments: &OrderArguments,
    action: DrainAction,
    json: bool,
    nodes: &Nodes,
) -> Result<Exit, CliError> {
    let known = known_orders(arguments, nodes).await?;
    let order = DrainOrder {
        number: arguments.number.unwrap_or(highest(&known) + 1),
        scope: (&arguments.scope).into(),
        action,
    };
    if arguments.print {
        let list = with_order(known, &order);
        output::print(true, &list, |_| String::new())?;
        return Ok(Exit::Done);
    }
    let answers = send(arguments, &order, nodes).await?;
    let exit = answers.exit();
    let outcome = outcome_of(order, answers);
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
        return Err(CliError::BadOrder {
            reason: "a name has 1 to 63 lower-case letters, digits, dashes, dots or underscores",
        });
    }
    if arguments.number == Some(0) {
        return Err(CliError::BadOrder {
            reason: "the number of an order must be above 0",
        });
    }
    if arguments.number.is_some() && !arguments.print {
        return Ok(Vec::new());
    }
    let answers = nodes.get::<StatusReport>("/status").await?;
    let orders = answers
        .found
        .into_iter()
        .flat_map(|(_, report)| report.orders);
    Ok(orders.collect())
}

fn highest(orders: &[DrainOrder]) -> u64 {
    orders.iter().map(|order| order.number).max().unwrap_or(0)
}

/// Returns the newest order of each scope, as the platform's `drains` key holds them.
fn with_order(known: Vec<DrainOrder>, order: &DrainOrder) -> Vec<DrainOrder> {
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
        .ask(|client, node| async move {
            let client = NodeClient::new(&client, node);
            client.post("/drains", token, order).await
        })
        .await
}

fn outcome_of(order: DrainOrder, answers: Answers<Vec<DrainOrder>>) -> Outcome {
    let nodes = answers.found.into_iter().map(|(node, orders)| Holder {
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
    let mut table = Table::new(&["NODE", "IN FORCE", "NEWEST FOR THE SCOPE"]);
    for holder in &outcome.nodes {
        let newest = holder.orders.iter();
        let newest = newest
            .filter(|order| order.scope == outcome.order.scope)
            .map(|order| format!("{} {}", order.number, verb(order.action)));
        table.row([
            holder.node.to_string(),
            if holder.in_force { "yes" } else { "no" }.into(),
            newest.collect::<Vec<_>>().join(", "),
        ]);
    }
    format!("{}\n{}", describe(&outcome.order), table.render())
}

fn describe(order: &DrainOrder) -> String {
    format!(
        "order {}: {} {}",
        order.number,
        verb(order.action),
        order.scope
    )
}

fn verb(action: DrainAction) -> &'static str {
    match action {
        DrainAction::Drain => "drain",
        DrainAction::Restore => "restore",
    }
}

/// Returns the orders as a table.
pub(crate) fn render(orders: &[DrainOrder]) -> String {
    let by_number: BTreeMap<_, _> = orders
        .iter()
        .map(|order| ((order.number, &order.scope), order.action))
        .collect();
    let mut table = Table::new(&["ORDER", "ACTION", "SCOPE"]);
    for ((number, scope), action) in by_number {
        table.row([number.to_string(), verb(action).into(), scope.to_string()]);
    }
    table.render()
}
