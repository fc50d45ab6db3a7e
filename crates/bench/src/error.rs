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
}
