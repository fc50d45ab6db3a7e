//! Error types.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// Error that ends a task.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TaskError {
    /// A file cannot be read.
    #[snafu(display("failed to read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A file cannot be written.
    #[snafu(display("failed to write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A file is not a valid JSON Schema.
    #[snafu(display("{}: not a valid JSON Schema: {source}", path.display()))]
    Schema {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// Two schemas define the same name.
    #[snafu(display("type {name} is defined more than once"))]
    DuplicateName { name: String },
    /// No types can be generated from the schemas.
    #[snafu(display("failed to generate types from the schemas: {source}"))]
    Generate { source: typify::Error },
    /// The generated code is not valid Rust.
    #[snafu(display("failed to parse the generated code: {source}"))]
    Code { source: syn::Error },
    /// The committed code differs from the generated code.
    #[snafu(display(
        "{} is out of date; run `cargo run -p xtask -- generate` and commit the result",
        path.display()
    ))]
    Stale { path: PathBuf },
}
