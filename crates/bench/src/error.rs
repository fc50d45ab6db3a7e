//! Errors of the bench as a whole.

use snafu::Snafu;

/// Why a subcommand can't be run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum BenchError {
    /// An address can't be bound.
    #[snafu(display("address {address} can't be bound: {source}"))]
    Bind {
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Input or output failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was done.
        what: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is not a deployment.
    #[snafu(display("{}: {source}", path.display()))]
    Deployment {
        /// The file.
        path: std::path::PathBuf,
        /// Cause, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// A note of the bench's own breaks a rule.
    #[snafu(display("the deployment's note is refused: {source}"))]
    Note {
        /// Cause.
        source: wagtaillever_coordination::NoteError,
    },
    /// No block of ports is free.
    #[snafu(display("no block of ports is free"))]
    NoPorts,
    /// A line of a file is no result of an experiment.
    #[snafu(display("{}, line {line}: {source}", path.display()))]
    Result {
        /// The file.
        path: std::path::PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Cause.
        source: serde_json::Error,
    },
    /// The run was interrupted.
    #[snafu(display("interrupted"))]
    Interrupted,
    /// Something did not come about in time.
    #[snafu(display("{what} did not come about within {}s", limit.as_secs()))]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long it was waited for.
        limit: std::time::Duration,
    },
}
