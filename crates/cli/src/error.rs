//! Error types.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;
use wagtaillever_coordination::{NoteError, Sequence};

/// Error that ends the command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file cannot be read.
    #[snafu(display("failed to read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A file cannot be written.
    #[snafu(display("failed to write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A note or base is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    Note { path: PathBuf, source: NoteError },
    /// A note is missing between the base and the last note.
    #[snafu(display("note {note} is missing; the notes after it cannot be folded"))]
    MissingNote { note: Sequence },
    /// No node address was given.
    #[snafu(display("no nodes given; pass --nodes <ip:port>,... or set WAGTAILLEVER_NODES"))]
    NoNodes,
    /// No node gave a valid answer.
    #[snafu(display("none of the {count} nodes answered"))]
    NoAnswers { count: usize },
    /// The name or number of an order is invalid.
    #[snafu(display("{reason}"))]
    InvalidOrder { reason: &'static str },
    /// A value cannot be encoded as JSON.
    #[snafu(display("failed to encode JSON: {source}"), context(false))]
    Json { source: serde_json::Error },
}

/// Error of a request to one node.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum NodeError {
    /// The request could not be sent or timed out.
    #[snafu(display("cannot reach node {node}: {reason}"))]
    Unreachable { node: SocketAddr, reason: String },
    /// The node answered with an error status.
    #[snafu(display("node {node} rejected the request with status {status}: {reason}"))]
    Refused {
        node: SocketAddr,
        status: u16,
        reason: String,
    },
    /// The response could not be read or decoded.
    #[snafu(display("node {node} sent an invalid response: {reason}"))]
    BadAnswer { node: SocketAddr, reason: String },
}
