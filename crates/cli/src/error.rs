//! Errors of the command.

use std::{io, net::SocketAddr, path::PathBuf};

use snafu::Snafu;
use wagtaillever_coordination::{NoteError, Sequence};

/// Why the command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CliError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    /// A file can't be written.
    #[snafu(display("{}: can't be written: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    /// A note or base is refused.
    #[snafu(display("{}: {source}", path.display()))]
    Note { path: PathBuf, source: NoteError },
    /// A note is missing between the base and the last note.
    #[snafu(display("note {note} is missing; later notes can't be folded without it"))]
    Gap { note: Sequence },
    /// No node was named.
    #[snafu(display("no node is named; give --nodes <ip:port>,... or set WAGTAILLEVER_NODES"))]
    NoNodes,
    /// No node that was named answered.
    #[snafu(display("none of the {count} nodes answered"))]
    NoneReached { count: usize },
    /// The order can't be given like this.
    #[snafu(display("{reason}"))]
    BadOrder { reason: &'static str },
    /// A value can't be encoded.
    #[snafu(display("can't be encoded: {source}"), context(false))]
    Json { source: serde_json::Error },
}

/// Why a node gave no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum NodeError {
    /// The node can't be reached.
    #[snafu(display("node {node} can't be reached: {reason}"))]
    Unreachable { node: SocketAddr, reason: String },
    /// The node refused the request.
    #[snafu(display("node {node} refused with status {status}: {reason}"))]
    Refused {
        node: SocketAddr,
        status: u16,
        reason: String,
    },
    /// The node's answer is not what was expected.
    #[snafu(display("node {node} gave an answer that can't be read: {reason}"))]
    BadAnswer { node: SocketAddr, reason: String },
}
