//! `wagtaillever note check`

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use snafu::ResultExt;
use wagtaillever_coordination::{NoteError, ReleaseNote, Sequence};

use super::input;
use crate::{
    error::{CliError, NoteSnafu},
    output,
    output::Exit,
};

/// Arguments of `note check`.
#[derive(Debug, Args)]
pub(crate) struct Check {
    /// Notes in the order of their sequence numbers.
    #[arg(required = true, value_name = "NOTE")]
    notes: Vec<PathBuf>,
    /// Base that the first note would change; without it only the form of notes after others is checked.
    #[arg(long, value_name = "FILE")]
    base: Option<PathBuf>,
}

#[derive(Serialize)]
struct Checked {
    file: PathBuf,
    note: Sequence,
    accepted: bool,
}

impl Check {
    pub(crate) fn run(&self, json: bool) -> Result<Exit, CliError> {
        let mut config = input::read_base(self.base.as_deref())?;
        let mut checked = Vec::new();
        for path in &self.notes {
            let (note, next) = input::apply(&config, path)?;
            check_sequence(&note, config.sequence.next()).context(NoteSnafu { path })?;
            checked.push(Checked {
                file: path.clone(),
                note: note.note,
                accepted: true,
            });
            config = next;
        }
        output::print(json, &checked, |checked| render(checked))?;
        Ok(Exit::Done)
    }
}

fn check_sequence(note: &ReleaseNote, expected: Sequence) -> Result<(), NoteError> {
    if note.note == expected {
        return Ok(());
    }
    Err(NoteError::WrongSequence {
        named: note.note,
        published: expected,
    })
}

fn render(checked: &[Checked]) -> String {
    let line =
        |entry: &Checked| format!("{}: note {} is valid\n", entry.file.display(), entry.note);
    checked.iter().map(line).collect()
}
