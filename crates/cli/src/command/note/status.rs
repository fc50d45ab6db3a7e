//! `wagtaillever note status`

use clap::Args;
use wagtaillever_coordination::{NoteReport, NoteVerdict, SpreadReport};

use crate::{error::CliError, nodes::Nodes, output, output::Exit, table::Table};

/// Arguments of `note status`.
#[derive(Debug, Args)]
pub(crate) struct Status {
    /// Sequence number of the note.
    sequence: u64,
}

impl Status {
    pub(crate) async fn run(&self, json: bool, nodes: &Nodes) -> Result<Exit, CliError> {
        let path = format!("/notes/{}", self.sequence);
        let answers = nodes.get::<NoteReport>(&path).await?;
        let exit = answers.exit();
        let report = merge_reports(answers.succeeded.into_iter().map(|(_, report)| report));
        if let Some(report) = report {
            output::print(json, &report, render)?;
        }
        Ok(exit)
    }
}

/// Merges reports: keeps the verdict of the highest rank and the newest spread of each failure domain.
fn merge_reports(reports: impl Iterator<Item = NoteReport>) -> Option<NoteReport> {
    reports.reduce(|mut merged, report| {
        if verdict_rank(report.verdict) > verdict_rank(merged.verdict) {
            merged.verdict = report.verdict;
            merged.reason = report.reason;
        }
        for (domain, spread) in report.fleet {
            let known = merged.fleet.entry(domain).or_default();
            if is_newer(&spread, known) {
                *known = spread;
            }
        }
        merged
    })
}

/// Returns whether a spread is newer. The number of nodes that a note has reached never falls, so
/// the larger count is the newer one.
fn is_newer(spread: &SpreadReport, known: &SpreadReport) -> bool {
    (spread.reached, spread.heard) > (known.reached, known.heard) || known.nodes == 0
}

fn verdict_rank(verdict: NoteVerdict) -> u8 {
    match verdict {
        NoteVerdict::Pending => 0,
        NoteVerdict::Folded => 1,
        NoteVerdict::Accepted => 2,
        NoteVerdict::Refused => 3,
    }
}

fn render(report: &NoteReport) -> String {
    let mut table = Table::new(&["DOMAIN", "NODES", "HEARD", "IN FORCE", "BEHIND"]);
    for (domain, spread) in &report.fleet {
        let behind = spread.laggards.iter();
        let behind = behind.map(|laggard| format!("{} ({})", laggard.vm, laggard.reason));
        table.add_row([
            domain.to_string(),
            spread.nodes.to_string(),
            spread.heard.to_string(),
            spread.reached.to_string(),
            behind.collect::<Vec<_>>().join(", "),
        ]);
    }
    format!("{}\n{}", describe(report), table.render())
}

fn describe(report: &NoteReport) -> String {
    let note = report.note;
    match report.verdict {
        NoteVerdict::Accepted => format!("note {note} is accepted"),
        NoteVerdict::Folded => {
            format!("note {note} is already folded; these nodes no longer keep its verdict")
        }
        NoteVerdict::Pending => format!("note {note} has not reached these nodes"),
        NoteVerdict::Refused => {
            let reason = report.reason.as_deref().unwrap_or("no reason given");
            format!("note {note} is refused and has no effect: {reason}")
        }
    }
}
