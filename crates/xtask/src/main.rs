//! Workspace tasks: generates Rust types from the JSON schemas.

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

/// Workspace tasks.
#[derive(Debug, Parser)]
enum Task {
    /// Generate the types from the schemas.
    Generate,
    /// Fail if the committed types differ from the generated ones.
    Check,
}

/// Schema directories and the files generated from them.
const TARGETS: [(&str, &str); 2] = [
    ("schema", "crates/coordination/src/border/generated.rs"),
    ("platform/schema", "platform/src/generated.rs"),
];

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
    let messages = TARGETS.map(|(schemas, output)| run_target(task, schemas, output));
    let messages = messages.into_iter().collect::<Result<Vec<_>, _>>()?;
    Ok(messages.join("\n"))
}

fn run_target(task: &Task, schemas: &str, output: &str) -> Result<String, TaskError> {
    let schemas = Schemas::read(&workspace_root().join(schemas))?;
    let code = generator::generate(&schemas)?;
    let path = workspace_root().join(output);
    match task {
        Task::Generate => write(&path, &code)?,
        Task::Check => check(&path, &code)?,
    }
    Ok(format!("{output} is up to date"))
}

fn write(path: &Path, code: &str) -> Result<(), TaskError> {
    fs::write(path, code).context(WriteSnafu { path })
}

fn check(path: &Path, code: &str) -> Result<(), TaskError> {
    let committed = fs::read_to_string(path).context(ReadSnafu { path })?;
    if committed != code {
        return Err(TaskError::Stale { path: path.into() });
    }
    Ok(())
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
