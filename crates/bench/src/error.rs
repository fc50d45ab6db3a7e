//! Errors of the bench subcommands.

use snafu::Snafu;

/// Reason why a subcommand can't be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum BenchError {
    /// A listen address can't be bound.
    #[snafu(display("failed to bind {address}: {source}"))]
    Bind {
        /// Listen address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// An I/O operation failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// Operation or file that failed.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is not a valid deployment.
    #[snafu(display("invalid deployment in {}: {source}", path.display()))]
    Deployment {
        /// Path of the file.
        path: std::path::PathBuf,
        /// Cause, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// The release note generated from the deployment is invalid.
    #[snafu(display("invalid release note of the deployment: {source}"))]
    Note {
        /// Cause.
        source: wagtaillever_coordination::NoteError,
    },
    /// All port blocks are in use.
    #[snafu(display("no free block of loopback ports"))]
    NoPorts,
    /// A line of a file is not the result of an experiment.
    #[snafu(display("invalid result in {}, line {line}: {source}", path.display()))]
    Result {
        /// Path of the file.
        path: std::path::PathBuf,
        /// Line number, starting from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The process received SIGINT or SIGTERM.
    #[snafu(display("interrupted by a signal"))]
    Interrupted,
    /// A condition did not hold within its time limit.
    #[snafu(display("timed out after {}s waiting for: {what}", limit.as_secs()))]
    TimedOut {
        /// Condition and the nodes that do not meet it.
        what: String,
        /// Time limit.
        limit: std::time::Duration,
    },
}
