//! Errors of the settings.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// Why settings are refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not YAML of the expected shape.
    #[snafu(display("{}:{line}: {reason}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Line of the fault, counted from 1; 1 when it is not known.
        line: usize,
        /// What was expected.
        reason: String,
    },
    /// A field has a value that the node can't work with.
    #[snafu(display("{}:{line}: {field}: {reason}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line of the field, counted from 1; 1 when the field is not in the file.
        line: usize,
        /// Field, with the fields that hold it.
        field: &'static str,
        /// What was expected.
        reason: String,
    },
}
