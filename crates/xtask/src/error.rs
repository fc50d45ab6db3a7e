//! Errors of the tasks.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// Why a task fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TaskError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A file can't be written.
    #[snafu(display("{}: can't be written: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A schema is not a JSON Schema.
    #[snafu(display("{}: not a schema: {source}", path.display()))]
    Schema {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// Two schemas define one name in different ways.
    #[snafu(display("{name} is defined twice"))]
    Clash { name: String },
    /// No types follow from the schemas.
    #[snafu(display("no types can be generated: {source}"))]
    Generate { source: typify::Error },
    /// The generated code is not Rust.
    #[snafu(display("the generated code can't be parsed: {source}"))]
    Code { source: syn::Error },
    /// The committed code is not current.
    #[snafu(display(
        "{} is not current; run `cargo run -p xtask -- generate` and commit the result",
        path.display()
    ))]
    Stale { path: PathBuf },
}
