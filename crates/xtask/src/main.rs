//! Tasks of the workspace: generation of the border types from the schemas.

mod error;
mod generator;
mod schemas;

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Parser;
use snafu::ResultExt;

use crate::{
    error::{ReadSnafu, TaskError, WriteSnafu},
    schemas::Schemas,
};

/// Tasks of the workspace.
#[derive(Debug, Parser)]
enum Task {
    /// Writes the border types that follow from the schemas.
    Generate,
    /// Fails when the committed border types don't follow from the schemas.
    Check,
}

/// Directory of the schemas.
const SCHEMAS: &str = "schema";
/// File of the border types.
const OUTPUT: &str = "crates/coordination/src/border/generated.rs";

fn main() -> ExitCode {
    match run(&Task::parse()) {
        Ok(message) => {
            println!("{message}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(task: &Task) -> Result<String, TaskError> {
    let schemas = Schemas::read(&root().join(SCHEMAS))?;
    let code = generator::generate(&schemas)?;
    let path = root().join(OUTPUT);
    match task {
        Task::Generate => write(&path, &code),
        Task::Check => check(&path, &code),
    }
}

fn write(path: &Path, code: &str) -> Result<String, TaskError> {
    fs::write(path, code).context(WriteSnafu { path })?;
    Ok(format!("wrote {OUTPUT}"))
}

fn check(path: &Path, code: &str) -> Result<String, TaskError> {
    let committed = fs::read_to_string(path).context(ReadSnafu { path })?;
    if committed != code {
        return Err(TaskError::Stale { path: path.into() });
    }
    Ok(format!("{OUTPUT} is current"))
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
