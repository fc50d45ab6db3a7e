//! Writing of responses to a connection.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    Response, ServiceConfig,
    body::BodySize,
    h1::{Codec, Message},
};
use bytes::{Buf, Bytes, BytesMut};
use tokio::{io::AsyncWrite, net::TcpStream};
use tokio_util::codec::{Decoder, Encoder};

/// Encoded bytes from which no more of a response is read until the caller takes them.
const MAX_PENDING_BYTES: usize = 32 << 10;
/// Request with which the codec of the responses starts. The codec of the requests can't encode them:
/// it takes version and connection type from the latest request, which is not the one that is answered.
const FIRST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: node\r\n\r\n";
/// Response that lets a caller send the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Responses that are encoded and not written yet.
pub(super) struct Output {
    codec: Codec,
    buffer: BytesMut,
}

impl Output {
    pub(super) fn new(config: ServiceConfig) -> Self {
        let mut codec = Codec::new(config);
        let first = codec.decode(&mut BytesMut::from(FIRST_REQUEST));
        debug_assert!(matches!(first, Ok(Some(Message::Item(_)))));
        Self {
            codec,
            buffer: BytesMut::new(),
        }
    }

    /// Returns whether all encoded bytes are written.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether more of a response may be encoded.
    pub(super) fn has_room(&self) -> bool {
        self.buffer.len() < MAX_PENDING_BYTES
    }

    /// Releases the buffer while the connection is idle.
    pub(super) fn release(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 0 {
            self.buffer = BytesMut::new();
        }
    }

    /// Encodes the interim response that lets the caller send a body.
    pub(super) fn push_continue(&mut self) {
        self.buffer.extend_from_slice(CONTINUE);
    }

    /// Encodes the head of a response.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec can't encode it.
    pub(super) fn push_head(&mut self, head: Response<()>, size: BodySize) -> io::Result<()> {
        let message = Message::Item((head, size));
        self.codec.encode(message, &mut self.buffer)
    }

    /// Encodes a part of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec can't encode it.
    pub(super) fn push_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(chunk)), &mut self.buffer)
    }

    /// Encodes the end of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is shorter than its head states.
    pub(super) fn push_end(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.buffer)
    }

    /// Writes what the connection takes and returns whether any bytes were written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub(super) fn flush(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> io::Result<bool> {
        let mut is_written = false;
        while !self.buffer.is_empty() {
            match Pin::new(&mut *stream).poll_write(cx, &self.buffer) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) => return Err(io::ErrorKind::WriteZero.into()),
                Poll::Ready(Ok(count)) => self.buffer.advance(count),
                Poll::Ready(Err(err)) => return Err(err),
            }
            is_written = true;
        }
        Ok(is_written)
    }
}
