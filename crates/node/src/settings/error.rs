//! Errors in settings.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// Reason for which settings are refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("{}: can't read the settings: {source}", path.display()))]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file is not valid YAML or does not match the schema of the settings.
    #[snafu(display("{}:{line}: {reason}", path.display()))]
    Syntax {
        /// Path of the settings file.
        path: PathBuf,
        /// Line of the error, counted from 1; 1 if it is not known.
        line: usize,
        /// What was expected.
        reason: String,
    },
    /// A setting of the command line is unknown or has an invalid value.
    #[snafu(display("--set {name}: {reason}"))]
    Override {
        /// Path of the setting, such as `limits.cold_slack`.
        name: String,
        /// What was expected.
        reason: String,
    },
    /// A field has an invalid value.
    #[snafu(display("{}:{line}: {field}: {reason}", path.display()))]
    Invalid {
        /// Path of the settings file.
        path: PathBuf,
        /// Line of the field, counted from 1; 1 if the field is not in the file.
        line: usize,
        /// Path of the field, such as `limits.grace_s`.
        field: &'static str,
        /// What was expected.
        reason: String,
    },
}
