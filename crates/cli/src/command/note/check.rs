//! `wagtaillever note check`

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use wagtaillever_coordination::{Config, NoteError, ReleaseNote, Rule, Sequence};

use super::input;
use crate::{error::CliError, output, output::Exit};

/// Arguments of `note check`.
#[derive(Debug, Args)]
pub(crate) struct Check {
    /// Notes in ascending order of sequence number.
    #[arg(required = true, value_name = "NOTE")]
    notes: Vec<PathBuf>,
    /// Base that the first note applies to. Without a base, only the syntax of
    /// the notes is checked, unless the first note is note 1.
    #[arg(long, value_name = "FILE")]
    base: Option<PathBuf>,
}

#[derive(Serialize)]
struct CheckedNote {
    file: PathBuf,
    #[serde(skip_serializing_if = "Option::is_none")]
    note: Option<Sequence>,
    valid: bool,
    /// Whether the note was checked against the preceding configuration.
    against_base: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    fault: Option<Fault>,
}

#[derive(Serialize)]
struct Fault {
    rule: Rule,
    line: Option<usize>,
    reason: String,
    #[serde(skip)]
    text: String,
}

impl Check {
    pub(crate) fn run(&self, json: bool) -> Result<Exit, CliError> {
        let mut config = self.initial_config()?;
        let mut entries = Vec::new();
        for path in &self.notes {
            let text = input::read_file(path)?;
            let verdict = check(config.as_ref(), &text);
            let against_base = config.is_some();
            let fault = verdict.as_ref().err().map(Fault::from);
            let note = ReleaseNote::parse(&text).ok().map(|note| note.note);
            match verdict {
                Ok(next) => config = next,
                Err(_) => skip_sequence(config.as_mut()),
            }
            entries.push(CheckedNote {
                file: path.clone(),
                note,
                valid: fault.is_none(),
                against_base,
                fault,
            });
        }
        output::print(json, &entries, |entries| render(entries))?;
        if entries.iter().all(|entry| entry.valid) {
            return Ok(Exit::Success);
        }
        Ok(Exit::Refused)
    }

    /// Returns the configuration that the first note applies to, if it is known.
    fn initial_config(&self) -> Result<Option<Config>, CliError> {
        if let Some(path) = &self.base {
            return input::read_base(Some(path)).map(Some);
        }
        let Some(first) = self.notes.first() else {
            return Ok(None);
        };
        let note = ReleaseNote::parse(&input::read_file(first)?);
        let is_first = note.is_ok_and(|note| note.note == Sequence::ZERO.next());
        Ok(is_first.then(Config::default))
    }
}

/// Advances past the sequence number of a refused note, which is not reused.
fn skip_sequence(config: Option<&mut Config>) {
    if let Some(config) = config {
        config.sequence = config.sequence.next();
    }
}

fn check(config: Option<&Config>, text: &[u8]) -> Result<Option<Config>, NoteError> {
    let Some(config) = config else {
        return ReleaseNote::parse(text).map(|_| None);
    };
    config.apply_text(config.sequence.next(), text).map(Some)
}

impl From<&NoteError> for Fault {
    fn from(err: &NoteError) -> Self {
        Self {
            rule: err.rule(),
            line: err.line(),
            reason: err.reason().into(),
            text: err.to_string(),
        }
    }
}

fn render(entries: &[CheckedNote]) -> String {
    entries.iter().map(render_entry).collect()
}

fn render_entry(entry: &CheckedNote) -> String {
    let file = entry.file.display();
    if let Some(fault) = &entry.fault {
        return format!("{file}: refused: {}\n", fault.text);
    }
    let note = entry.note.unwrap_or_default();
    if entry.against_base {
        return format!("{file}: note {note} is valid\n");
    }
    format!("{file}: the syntax of note {note} is valid; pass --base to check its references\n")
}
