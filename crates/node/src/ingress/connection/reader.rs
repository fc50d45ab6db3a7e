//! Reading of requests from a connection: the buffer, the codec and the checks of framing.

use std::{
    collections::VecDeque,
    future::Future,
    io,
    pin::pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use actix_http::{
    Request, ServiceConfig, StatusCode,
    error::ParseError,
    h1::{Codec, Message, MessageType},
};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::{io::AsyncReadExt, net::TcpStream};
use tokio_util::codec::Decoder;

use crate::{
    body_budget::{BodyBudget, Reservation},
    ingress::connection::{
        chunk_scan::{ChunkScan, InvalidChunk},
        head_scan::{HeadError, HeadScan},
    },
};

/// Bytes that are read at once while a head is expected; most heads are shorter.
const HEAD_READ_BYTES: usize = 4 << 10;
/// Bytes that are read at once of a body, and bytes that are read ahead of what calls can take. Reading
/// ahead is what notices a caller that closes its connection.
pub(super) const READ_AHEAD_BYTES: usize = 16 << 10;
/// Bytes that are read beyond that while calls take nothing, so that the end of a connection is noticed behind them.
const EXTENSION_BYTES: usize = 128 << 10;
/// Most times of reads that are kept for the arrival of requests.
const MAX_MARKS: usize = 8;

/// A part of a request.
pub(super) enum Input {
    /// Head of a request, with the time at which its last byte was read and whether a body follows.
    Head(Request, Instant, bool),
    /// Part of the body.
    Chunk(Bytes),
    /// End of the body.
    End,
}

/// Why no further request can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputError {
    /// The framing is invalid, so the start of the next request is unknown.
    Malformed,
    /// The head is longer than the limit.
    HeadTooLarge,
}

impl InputError {
    /// Returns the status of the response to the caller.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        }
    }
}

impl From<HeadError> for InputError {
    fn from(err: HeadError) -> Self {
        match err {
            HeadError::Malformed | HeadError::TooManyEmptyLines => Self::Malformed,
            HeadError::TooLarge => Self::HeadTooLarge,
        }
    }
}

impl From<InvalidChunk> for InputError {
    fn from(InvalidChunk: InvalidChunk) -> Self {
        Self::Malformed
    }
}

/// Time of a read.
struct Mark {
    /// Bytes that were read from the connection so far.
    received: u64,
    time: Instant,
}

/// Reads the requests of a connection.
pub(super) struct Reader {
    codec: Codec,
    buffer: BytesMut,
    scan: HeadScan,
    /// Check of the current body, if it is chunked.
    chunks: Option<ChunkScan>,
    /// Bytes at the start of the buffer that this check has seen.
    checked: usize,
    is_in_body: bool,
    is_ended: bool,
    received: u64,
    marks: VecDeque<Mark>,
    /// Memory beyond what is read as a rule, so that the end of the connection can be read.
    extension: Reservation,
    extended_bytes: usize,
}

impl Reader {
    pub(super) fn new(config: ServiceConfig, budget: &BodyBudget) -> Self {
        Self {
            codec: Codec::new(config),
            buffer: BytesMut::new(),
            scan: HeadScan::default(),
            chunks: None,
            checked: 0,
            is_in_body: false,
            is_ended: false,
            received: 0,
            marks: VecDeque::new(),
            extension: budget.reserve(),
            extended_bytes: 0,
        }
    }

    /// Lets more be read than as a rule if the budget has room for it.
    pub(super) fn extend(&mut self) {
        let bytes = self.buffer.len() + EXTENSION_BYTES;
        if self.extended_bytes == 0 && self.extension.try_set(bytes) {
            self.extended_bytes = bytes;
        }
    }

    /// Returns to the rule once what was read beyond it is decoded.
    pub(super) fn end_extension(&mut self) {
        if self.extended_bytes > 0 && self.buffer.is_empty() {
            self.extended_bytes = 0;
            self.extension.set(0);
        }
    }

    /// Returns whether nothing was received that is not decoded.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the next bytes belong to the body of a request.
    pub(super) fn is_in_body(&self) -> bool {
        self.is_in_body
    }

    /// Returns whether no further request can be decoded.
    pub(super) fn is_ended(&self) -> bool {
        self.is_ended
    }

    /// Decodes nothing more.
    pub(super) fn end(&mut self) {
        self.is_ended = true;
    }

    /// Returns whether more bytes may be read while at most `max_bytes` are kept.
    pub(super) fn has_room(&self, max_bytes: usize) -> bool {
        self.buffer.len() < max_bytes.max(self.extended_bytes)
    }

    /// Releases the buffer while the connection is idle.
    pub(super) fn release(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 0 {
            self.buffer = BytesMut::new();
        }
    }

    /// Reads from the connection, to at most `max_bytes` in the buffer, and returns the number of bytes,
    /// zero at its end. No buffer is allocated before the connection is readable.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub(super) fn poll_fill(
        &mut self,
        stream: &mut TcpStream,
        max_bytes: usize,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        ready!(stream.poll_read_ready(cx))?;
        let size = if self.is_in_body {
            READ_AHEAD_BYTES
        } else {
            HEAD_READ_BYTES
        };
        let max_bytes = max_bytes.max(self.extended_bytes);
        let size = size.min(max_bytes.saturating_sub(self.buffer.len()));
        self.buffer.reserve(size);
        let mut target = (&mut self.buffer).limit(size);
        let read = pin!(stream.read_buf(&mut target)).poll(cx);
        let count = ready!(read)?;
        self.record_read(count);
        Poll::Ready(Ok(count))
    }

    /// Decodes the next part of a request, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if no further request can be read.
    pub(super) fn next(&mut self, head_bytes: usize) -> Result<Option<Input>, InputError> {
        if self.is_ended {
            return Ok(None);
        }
        let input = if self.is_in_body {
            self.next_of_body()
        } else {
            self.next_head(head_bytes)
        };
        self.is_ended |= input.is_err();
        input
    }

    fn next_of_body(&mut self) -> Result<Option<Input>, InputError> {
        if let Some(chunks) = &mut self.chunks {
            chunks.check(&self.buffer[self.checked..])?;
        }
        let message = self.codec.decode(&mut self.buffer);
        // The codec takes bytes from the start of the buffer, all of which are checked.
        self.checked = self.buffer.len();
        match message.map_err(|_| InputError::Malformed)? {
            None => Ok(None),
            Some(Message::Chunk(Some(chunk))) => Ok(Some(Input::Chunk(chunk))),
            Some(Message::Chunk(None)) => {
                self.is_in_body = false;
                Ok(Some(Input::End))
            }
            Some(Message::Item(_)) => Err(InputError::Malformed),
        }
    }

    fn next_head(&mut self, head_bytes: usize) -> Result<Option<Input>, InputError> {
        while self.buffer.starts_with(b"\r\n") {
            self.scan.count_empty_line()?;
            self.buffer.advance(2);
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let Some(length) = self.scan.advance(&self.buffer, head_bytes)? else {
            return Ok(None);
        };
        let arrived = self.arrival(length);
        let request = match self.codec.decode(&mut self.buffer) {
            Ok(Some(Message::Item(request))) => request,
            // More headers than the codec takes.
            Err(ParseError::TooLarge) => return Err(InputError::HeadTooLarge),
            _ => return Err(InputError::Malformed),
        };
        check_framing(&request)?;
        self.scan.reset();
        let message_type = self.codec.message_type();
        self.is_in_body = message_type == MessageType::Payload;
        let is_chunked = request.head().headers().contains_key("transfer-encoding");
        self.chunks = (self.is_in_body && is_chunked).then(ChunkScan::new);
        self.checked = 0;
        // Upgrades and tunnels are not supported. What follows is in the other protocol.
        self.is_ended = message_type == MessageType::Stream;
        Ok(Some(Input::Head(request, arrived, self.is_in_body)))
    }

    fn record_read(&mut self, count: usize) {
        let consumed = self.received - (self.buffer.len() - count) as u64;
        while self.marks.front().is_some_and(|m| m.received <= consumed) {
            self.marks.pop_front();
        }
        self.received += count as u64;
        let received = self.received;
        if self.marks.len() < MAX_MARKS {
            let time = Instant::now();
            self.marks.push_back(Mark { received, time });
        } else if let Some(last) = self.marks.back_mut() {
            // A time that is too early shortens a deadline; one that is too late would extend it.
            last.received = received;
        }
    }

    /// Returns when the last byte of a head at the start of the buffer was read.
    fn arrival(&mut self, length: usize) -> Instant {
        let end = self.received - (self.buffer.len() - length) as u64;
        let mark = self.marks.iter().find(|mark| mark.received >= end);
        mark.map_or_else(Instant::now, |mark| mark.time)
    }
}

/// Checks that a request states the framing of its body once and in a way that all parsers take alike.
fn check_framing(request: &Request) -> Result<(), InputError> {
    let mut lengths = request.head().headers().get_all("content-length");
    let mut codings = request.head().headers().get_all("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    let is_repeated = lengths.next().is_some() || codings.next().is_some();
    let is_number = length.is_none_or(|value| {
        let digits = value.as_bytes();
        !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
    });
    let is_chunked = coding.is_none_or(|value| value.as_bytes().eq_ignore_ascii_case(b"chunked"));
    if is_repeated || !is_number || !is_chunked || (length.is_some() && coding.is_some()) {
        return Err(InputError::Malformed);
    }
    Ok(())
}
