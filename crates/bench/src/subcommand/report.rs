//! Subcommand `report`.

use std::{fs, path::PathBuf};

use clap::Args;
use snafu::ResultExt;

use crate::{
    error::{BenchError, IoSnafu},
    report::{Page, Record},
    subcommand::Verdict,
};

/// Arguments of `report`.
#[derive(Debug, Args)]
pub(crate) struct Report {
    /// Files with one JSON result per line.
    #[arg(required = true)]
    results: Vec<PathBuf>,
    /// Output file.
    #[arg(long, default_value = "report.html")]
    output: PathBuf,
    /// Machine on which the results were measured.
    #[arg(long, default_value = "not stated")]
    machine: String,
    /// Measured commit.
    #[arg(long, default_value = "not stated")]
    commit: String,
}

impl Report {
    /// Writes the page.
    ///
    /// # Errors
    ///
    /// Returns an error if a result can't be read or the page can't be written.
    pub(crate) async fn run(self) -> Result<Verdict, BenchError> {
        let mut records = Vec::new();
        for path in &self.results {
            records.extend(Record::read(path)?);
        }
        let page = Page {
            machine: self.machine,
            commit: self.commit,
            records,
        };
        fs::write(&self.output, page.html()).with_context(|_| IoSnafu {
            what: self.output.display().to_string(),
        })?;
        eprintln!("wrote {}", self.output.display());
        Ok(Verdict::Passed)
    }
}
