//! Length-prefixed `bincode` frames and raw bytes on one `h2` stream.

use std::{
    future::poll_fn,
    task::{Context, Poll},
};

use bincode::{Decode, Encode, config};
use bytes::{Buf, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::{
    body_budget::{BodyBudget, Reservation},
    transport::{client::STREAM_WINDOW_BYTES, error::TransportError},
};

/// Size of the length prefix of a frame.
const PREFIX_BYTES: usize = 4;
/// Size of the header of an HTTP/2 frame.
const H2_HEADER_BYTES: usize = 9;
/// Maximum size of a frame: a value of the platform plus its metadata.
const MAX_FRAME_BYTES: usize = (1 << 20) + (64 << 10);

/// Collected bytes from which on a body counts as large: its sender may wait for the window.
const COLLECTED_BYTES: usize = STREAM_WINDOW_BYTES as usize * 3 / 4;

/// Reads frames and raw bytes from a stream and releases its flow-control window.
pub(crate) struct FrameReader {
    stream: RecvStream,
    buffer: BytesMut,
    /// Collected bytes whose flow-control window is not released yet, and their share of the budget.
    unreleased: usize,
    reservation: Option<Reservation>,
    total_bytes: u64,
}

/// The budget has no room for bytes that were received.
#[derive(Debug)]
pub(crate) struct NoMemory;

impl FrameReader {
    /// Returns a reader of a stream.
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            unreleased: 0,
            reservation: None,
            total_bytes: 0,
        }
    }

    /// Collects what arrives before it is read. Completes only if the budget has no room for it.
    ///
    /// Bytes that wait in the `h2` library cost a multiple of their size if they come in small frames.
    /// The flow-control window of collected bytes is released when they are read, so that there are never
    /// more than the window allows.
    pub(crate) fn poll_collect(
        &mut self,
        cx: &mut Context<'_>,
        budget: &BodyBudget,
    ) -> Poll<NoMemory> {
        while let Poll::Ready(Some(Ok(data))) = self.stream.poll_data(cx) {
            self.buffer.extend_from_slice(&data);
            self.unreleased += data.len();
            self.total_bytes += (data.len() + H2_HEADER_BYTES) as u64;
            let reservation = self.reservation.get_or_insert_with(|| budget.reserve());
            if !reservation.try_set(self.buffer.capacity()) {
                return Poll::Ready(NoMemory);
            }
        }
        Poll::Pending
    }

    /// Returns whether nothing more can be collected: all of a body has arrived, `length` bytes if that is
    /// known, or the window is full.
    pub(crate) fn is_collected(&self, length: Option<u64>) -> bool {
        let is_whole = length == Some(self.buffer.len() as u64) || self.stream.is_end_stream();
        is_whole || self.unreleased >= COLLECTED_BYTES
    }

    /// Returns the number of bytes received on the stream, including HTTP/2 frame headers.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Reads the next frame. Returns `None` at the regular end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or ends within a frame, or if the frame is too large
    /// or can't be decoded.
    pub(crate) async fn read_frame<T: Decode<()>>(&mut self) -> Result<Option<T>, TransportError> {
        while self.buffer.len() < PREFIX_BYTES {
            if !self.fill_buffer().await? {
                return self.check_end();
            }
        }
        let bytes = u32::from_be_bytes([
            self.buffer[0],
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
        ]) as usize;
        if bytes > MAX_FRAME_BYTES {
            return Err(TransportError::TooLarge { bytes });
        }
        while self.buffer.len() < PREFIX_BYTES + bytes {
            if !self.fill_buffer().await? {
                return Err(TransportError::Ended);
            }
        }
        self.buffer.advance(PREFIX_BYTES);
        let frame = self.buffer.split_to(bytes);
        let (value, _) = bincode::decode_from_slice(&frame, config::standard())?;
        Ok(Some(value))
    }

    /// Reads raw bytes. Returns `None` at the regular end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks.
    pub(crate) async fn read_bytes(&mut self) -> Result<Option<Bytes>, TransportError> {
        if self.buffer.is_empty() && !self.fill_buffer().await? {
            return Ok(None);
        }
        let unreleased = std::mem::take(&mut self.unreleased);
        if unreleased > 0 {
            self.stream.flow_control().release_capacity(unreleased)?;
            self.reservation = None;
        }
        Ok(Some(self.buffer.split().freeze()))
    }

    async fn fill_buffer(&mut self) -> Result<bool, TransportError> {
        let Some(data) = self.stream.data().await else {
            return Ok(false);
        };
        let data = data?;
        self.stream.flow_control().release_capacity(data.len())?;
        self.buffer.extend_from_slice(&data);
        self.total_bytes += (data.len() + H2_HEADER_BYTES) as u64;
        Ok(true)
    }

    fn check_end<T>(&self) -> Result<Option<T>, TransportError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        Err(TransportError::Ended)
    }
}

/// Writes frames and raw bytes to a stream as its flow-control window allows.
pub(crate) struct FrameWriter {
    stream: SendStream<Bytes>,
    total_bytes: u64,
}

impl FrameWriter {
    /// Returns a writer to a stream.
    pub(crate) fn new(stream: SendStream<Bytes>) -> Self {
        Self {
            stream,
            total_bytes: 0,
        }
    }

    /// Returns the number of bytes sent on the stream, including HTTP/2 frame headers.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or the frame is too large.
    pub(crate) async fn write_frame<T: Encode>(&mut self, value: &T) -> Result<(), TransportError> {
        self.write_bytes(encode_frame(value)?).await
    }

    /// Writes raw bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks.
    pub(crate) async fn write_bytes(&mut self, mut bytes: Bytes) -> Result<(), TransportError> {
        while !bytes.is_empty() {
            self.stream.reserve_capacity(bytes.len());
            let granted = poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted = granted.ok_or(TransportError::Ended)??;
            let part = bytes.split_to(granted.min(bytes.len()));
            self.total_bytes += (part.len() + H2_HEADER_BYTES) as u64;
            self.stream.send_data(part, false)?;
        }
        Ok(())
    }

    /// Ends the stream regularly.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is broken.
    pub(crate) fn finish(mut self) -> Result<(), TransportError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Resets the stream, so that the other side sees that it is incomplete.
    pub(crate) fn reset(mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }

    /// Waits until the other side resets the stream.
    pub(crate) async fn wait_for_reset(&mut self) {
        let _ = poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }
}

fn encode_frame<T: Encode>(value: &T) -> Result<Bytes, TransportError> {
    let body = bincode::encode_to_vec(value, config::standard())?;
    let bytes = body.len();
    if bytes > MAX_FRAME_BYTES {
        return Err(TransportError::TooLarge { bytes });
    }
    let mut frame = BytesMut::with_capacity(PREFIX_BYTES + bytes);
    frame.extend_from_slice(&u32::try_from(bytes).unwrap_or(u32::MAX).to_be_bytes());
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}
