//! Errors of the transport.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Why a message could not be exchanged with another node.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TransportError {
    /// No connection could be opened; nothing was sent.
    #[snafu(display("{address} can't be reached: {source}"))]
    Connect {
        /// Address of the other node.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The connection or stream broke.
    #[snafu(display("the stream broke: {source}"), context(false))]
    Broken {
        /// Cause.
        source: h2::Error,
    },
    /// The stream ended where a frame was expected.
    #[snafu(display("the stream ended early"))]
    Ended,
    /// The other node does not have the service that the stream names.
    #[snafu(display("the node does not have the service"))]
    NoService,
    /// A frame can't be decoded.
    #[snafu(display("a frame can't be decoded: {source}"), context(false))]
    Decode {
        /// Cause.
        source: bincode::error::DecodeError,
    },
    /// A frame can't be encoded.
    #[snafu(display("a frame can't be encoded: {source}"), context(false))]
    Encode {
        /// Cause.
        source: bincode::error::EncodeError,
    },
    /// A frame is larger than allowed.
    #[snafu(display("a frame of {bytes} bytes is larger than allowed"))]
    TooLarge {
        /// Size of the frame in bytes.
        bytes: usize,
    },
}
