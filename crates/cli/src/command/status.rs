//! `wagtaillever status`

use clap::Args;
use wagtaillever_coordination::{DomainReport, StatusReport};

use crate::{error::CliError, nodes::Nodes, output, output::Exit, table::Table};

/// Arguments of `status`.
#[derive(Debug, Args)]
pub(crate) struct Status {}

impl Status {
    pub(crate) async fn run(&self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        let answers = nodes.get::<StatusReport>("/status").await?;
        let reports: Vec<_> = answers.succeeded.iter().map(|(_, report)| report).collect();
        output::print(json, &reports, |reports| render(reports))?;
        Ok(answers.exit())
    }
}

fn render(reports: &[&StatusReport]) -> String {
    let mut text = render_nodes(reports);
    if let Some(newest) = reports.iter().max_by_key(|report| report.note) {
        text.push_str(&render_fleet(newest));
        text.push_str(&render_refused(newest));
        text.push_str(&render_orders(newest));
    }
    text
}

fn render_nodes(reports: &[&StatusReport]) -> String {
    let mut table = Table::new(&[
        "VM", "DOMAIN", "PHASE", "NOTE", "HIGHEST", "DIGEST", "PLATFORM", "PEERS",
    ]);
    for report in reports {
        table.add_row([
            report.vm.to_string(),
            report.domain.to_string(),
            render_phase(report),
            report.note.to_string(),
            report.highest.to_string(),
            report.digest.clone(),
            render_age(report.age_ms),
            report.peers.len().to_string(),
        ]);
    }
    table.render()
}

fn render_phase(report: &StatusReport) -> String {
    match &report.waiting {
        Some(reason) => format!("{} ({reason})", report.phase),
        None => report.phase.clone(),
    }
}

fn render_age(age_ms: Option<u64>) -> String {
    age_ms.map_or("never".into(), |age| format!("{age} ms ago"))
}

fn render_fleet(report: &StatusReport) -> String {
    if report.fleet.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["DOMAIN", "NODES", "HEARD", "IN FORCE", "BEHIND"]);
    for (domain, entry) in &report.fleet {
        table.add_row([
            domain.to_string(),
            entry.nodes.to_string(),
            entry.heard.to_string(),
            render_notes(entry),
            render_laggards(entry),
        ]);
    }
    format!("\nfleet, as reported by {}\n{}", report.vm, table.render())
}

fn render_notes(entry: &DomainReport) -> String {
    let notes = entry.notes.iter().rev();
    let notes: Vec<_> = notes
        .map(|(note, count)| format!("{note} on {count}"))
        .collect();
    notes.join(", ")
}

fn render_laggards(entry: &DomainReport) -> String {
    let laggards: Vec<_> = entry
        .laggards
        .iter()
        .map(|laggard| format!("{} ({})", laggard.vm, laggard.reason))
        .collect();
    laggards.join(", ")
}

fn render_refused(report: &StatusReport) -> String {
    if report.refused.is_empty() {
        return String::new();
    }
    let mut table = Table::new(&["REFUSED", "REASON"]);
    for refused in &report.refused {
        table.add_row([refused.note.to_string(), refused.reason.clone()]);
    }
    format!("\n{}", table.render())
}

fn render_orders(report: &StatusReport) -> String {
    if report.orders.is_empty() {
        return String::new();
    }
    format!("\n{}", super::order::render(&report.orders))
}
