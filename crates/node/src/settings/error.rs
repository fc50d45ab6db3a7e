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
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// Cause, with line and column.
        source: serde_yaml_ng::Error,
    },
}
