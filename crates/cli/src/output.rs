//! Exit codes and output as JSON or text.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use serde::Serialize;
use snafu::ResultExt;

use crate::error::{CliError, WriteSnafu};

/// Exit code of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed, or no node answered.
    Failed = 1,
    /// The arguments are invalid; `clap` exits with the same code.
    Usage = 2,
    /// A note or base was refused.
    Refused = 3,
    /// Some nodes gave no valid answer; the answers of the others were printed.
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
            CliError::NoNodes | CliError::InvalidOrder { .. } => Self::Usage,
            _ => Self::Failed,
        }
    }
}

/// Prints a value as JSON, or as the text returned by `render`.
///
/// # Errors
///
/// Returns an error if the value cannot be encoded or written.
pub(crate) fn print<T: Serialize>(
    json: bool,
    value: &T,
    render: impl FnOnce(&T) -> String,
) -> Result<(), CliError> {
    let mut output = if json {
        serde_json::to_string_pretty(value)?
    } else {
        render(value)
    };
    if !output.ends_with('\n') {
        output.push('\n');
    }
    write_stdout(output.as_bytes())
}

/// Writes to the standard output. A closed pipe is not an error, such as when piped to `head`.
fn write_stdout(bytes: &[u8]) -> Result<(), CliError> {
    match io::stdout().write_all(bytes) {
        Err(err) if err.kind() != io::ErrorKind::BrokenPipe => {
            Err(err).context(WriteSnafu { path: "stdout" })
        }
        _ => Ok(()),
    }
}
