//! `wagtaillever note fold`

use std::{
    fs,
    path::{Path, PathBuf},
};

use clap::Args;
use serde::Serialize;
use snafu::ResultExt;
use wagtaillever_coordination::{Fold as NoteFold, FoldEvent, Sequence};

use super::input;
use crate::{
    error::{CliError, NoteSnafu, WriteSnafu},
    output,
    output::Exit,
};

/// Arguments of `note fold`.
#[derive(Debug, Args)]
pub(crate) struct Fold {
    /// Notes to fold, in any order; their sequence numbers must follow the base without a gap.
    #[arg(required = true, value_name = "NOTE")]
    notes: Vec<PathBuf>,
    /// Base to fold the notes into; empty if not given.
    #[arg(long, value_name = "FILE")]
    base: Option<PathBuf>,
    /// Output directory for the values to publish, one file per key.
    #[arg(long, value_name = "DIRECTORY")]
    out: PathBuf,
}

#[derive(Serialize)]
struct Folded {
    sequence: Sequence,
    files: Vec<PathBuf>,
    refused: Vec<Refused>,
}

#[derive(Serialize)]
struct Refused {
    note: Sequence,
    reason: String,
}

impl Fold {
    pub(crate) fn run(&self, json: bool) -> Result<Exit, CliError> {
        let mut fold = NoteFold::default();
        let base = input::read_base(self.base.as_deref())?;
        let path = self.base.clone().unwrap_or_default();
        let mut events = fold.install(base).context(NoteSnafu { path })?;
        for path in &self.notes {
            let (sequence, text) = input::read_numbered(path)?;
            events.extend(fold.insert(sequence, text.into()));
        }
        if let Some(note) = fold.gap() {
            return Err(CliError::MissingNote { note });
        }
        let folded = Folded {
            sequence: fold.sequence(),
            files: self.write_files(&fold)?,
            refused: events.into_iter().filter_map(as_refused).collect(),
        };
        output::print(json, &folded, render)?;
        Ok(Exit::Success)
    }

    fn write_files(&self, fold: &NoteFold) -> Result<Vec<PathBuf>, CliError> {
        let publications = fold.config().publications();
        let files = publications.iter().map(|value| {
            let path = self.out.join(&value.key).with_extension("json");
            write_file(&path, &value.text).context(WriteSnafu { path: path.clone() })?;
            Ok(path)
        });
        files.collect()
    }
}

fn write_file(path: &Path, text: &str) -> std::io::Result<()> {
    if let Some(directory) = path.parent() {
        fs::create_dir_all(directory)?;
    }
    fs::write(path, text)
}

fn as_refused(event: FoldEvent) -> Option<Refused> {
    let FoldEvent::Refused(note, reason) = event else {
        return None;
    };
    Some(Refused {
        note,
        reason: reason.to_string(),
    })
}

fn render(folded: &Folded) -> String {
    let refused = folded.refused.iter();
    let refused =
        refused.map(|entry| format!("note {} is refused: {}\n", entry.note, entry.reason));
    let files = folded.files.iter();
    let files = files.map(|path| format!("wrote {}\n", path.display()));
    let last = format!("the base includes all notes up to {}\n", folded.sequence);
    refused.chain(files).chain([last]).collect()
}
