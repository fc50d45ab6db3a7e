//! Errors of the transport.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Error of an exchange with another node.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum TransportError {
    /// The connection could not be opened; nothing was sent.
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
    /// The stream ended before all expected data was exchanged.
    #[snafu(display("the stream ended unexpectedly"))]
    Ended,
    /// The other node does not have the service that the stream names.
    #[snafu(display("the other node does not have the service"))]
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
    /// A frame exceeds the maximum size.
    #[snafu(display("a frame of {bytes} bytes exceeds the maximum size"))]
    TooLarge {
        /// Size of the frame in bytes.
        bytes: usize,
    },
}
