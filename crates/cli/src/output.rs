//! Exit codes and the choice between JSON and text.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, WriteSnafu};

/// How the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// All that was asked for was done.
    Done = 0,
    /// The command failed, or no node could be reached.
    Failed = 1,
    /// The arguments are wrong; `clap` ends with the same code.
    Usage = 2,
    /// A note or base is refused.
    Refused = 3,
    /// Some nodes could not be reached; what the others answered is shown.
    Partial = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

impl From<&CliError> for Exit {
    fn from(err: &CliError) -> Self {
        match err {
            CliError::Note { .. } => Self::Refused,
            CliError::NoNodes | CliError::BadOrder { .. } => Self::Usage,
            _ => Self::Failed,
        }
    }
}

/// Prints a value as JSON or as the text that `text` makes of it.
///
/// # Errors
///
/// Returns an error when the value can't be encoded or written.
pub(crate) fn print<T: Serialize>(
    json: bool,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), CliError> {
    let mut out = if json {
        serde_json::to_string_pretty(value)?
    } else {
        text(value)
    };
    if !out.ends_with('\n') {
        out.push('\n');
    }
    write(out.as_bytes())
}

/// Writes to the standard output; a reader that left early is no fault.
fn write(bytes: &[u8]) -> Result<(), CliError> {
    match io::stdout().write_all(bytes) {
        Err(err) if err.kind() != io::ErrorKind::BrokenPipe => {
            Err(err).context(WriteSnafu { path: "stdout" })
        }
        _ => Ok(()),
    }
}
