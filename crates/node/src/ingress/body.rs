//! Request body of a caller, buffered while it is small so that it can be resent.

use std::{
    cell::RefCell,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::{Sleep, sleep, timeout};

use crate::{
    body_budget::{BodyBudget, Reservation},
    ingress::connection::Payload,
    transport::FrameWriter,
};

/// Size of the largest body that is buffered for another attempt.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;
/// Bytes of the body that are read for the fingerprint before the call is sent.
pub(super) const PREFIX_BYTES: usize = 4 << 10;
/// Largest size of a body without a configured limit.
pub(super) const DEFAULT_MAX_BYTES: u64 = 64 << 20;
/// Size of the parts in which a body is sent. Chunks of a caller are copied into them, as each chunk
/// keeps the whole read buffer of its connection alive.
const PART_BYTES: usize = 16 << 10;
/// Size below which a part costs more in frames and bookkeeping than its bytes.
const SMALL_PART_BYTES: usize = 512;
/// Small parts that are sent as they come, for callers that exchange short messages.
const MAX_SMALL_PARTS: u32 = 64;
/// Time for which a later small part waits for more bytes. It bounds the frames of a body in chunks of
/// one byte to 50 per second.
const SMALL_PART_DELAY: Duration = Duration::from_millis(20);

/// Time for which the body of a rejected request is read before the answer, enough for one that is sent with
/// its head.
pub(super) const DISCARD_TIME: Duration = Duration::from_millis(20);

/// Reads the body of a request that is rejected, for [`DISCARD_TIME`] at most.
///
/// If the body is incomplete when the answer is sent, the connection closes, as the start of the next request
/// is unknown. What arrives within a second after the answer is discarded.
pub(super) async fn discard(mut payload: Payload) {
    let read_all = async { while let Some(Ok(_)) = payload.next().await {} };
    let _ = timeout(DISCARD_TIME, read_all).await;
}

/// Request body. Clones share their state, so only one attempt may read it at a time.
#[derive(Clone)]
pub(super) struct RequestBody {
    state: Rc<RefCell<State>>,
}

struct State {
    payload: Payload,
    /// Received bytes from `start` on: all that may be resent or were not sent yet.
    buffer: BytesMut,
    /// Position in the body of the first buffered byte.
    start: u64,
    reservation: Reservation,
    is_sending: bool,
    length: Option<u64>,
    max_bytes: u64,
    received: u64,
    /// Whether the end of the body was reached.
    is_ended: bool,
    progress: Progress,
    small_parts: u32,
    /// Wait of a small part for more bytes.
    delay: Option<Pin<Box<Sleep>>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// All bytes received so far are buffered.
    Buffered,
    /// More bytes were received than may be buffered.
    Overflowed,
    /// The whole body was received and is buffered.
    Complete,
    /// The body can't be received completely.
    Failed(BodyError),
}

/// Reason for which a request body can't be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The caller aborted its request.
    Aborted,
    /// The body is larger than a caller may send.
    TooLarge,
    /// The bodies of all calls take up the memory for them.
    NoMemory,
}

impl RequestBody {
    /// Creates the body of a request; `length` is its size in bytes, if known, and `max_bytes` the largest
    /// one allowed.
    pub(super) fn new(
        payload: Payload,
        length: Option<u64>,
        max_bytes: u64,
        budget: &BodyBudget,
    ) -> Self {
        let is_too_large = length.is_some_and(|length| length > max_bytes);
        let state = State {
            payload,
            buffer: BytesMut::new(),
            start: 0,
            reservation: budget.reserve(),
            is_sending: false,
            length,
            max_bytes,
            received: 0,
            is_ended: false,
            progress: if is_too_large {
                Progress::Failed(BodyError::TooLarge)
            } else {
                Progress::Buffered
            },
            small_parts: 0,
            delay: None,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Reads up to [`PREFIX_BYTES`] from the start of the body and passes them to `consume`.
    ///
    /// The number of bytes does not depend on how the network splits them, so that every resend of
    /// the request yields the same prefix.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be received.
    pub(super) async fn read_prefix(
        &self,
        mut consume: impl FnMut(&[u8]),
    ) -> Result<(), BodyError> {
        let mut position = 0;
        let mut remaining = PREFIX_BYTES;
        while remaining > 0 {
            let Some(part) = self.next_part(&mut position).await? else {
                break;
            };
            let part = &part[..part.len().min(remaining)];
            consume(part);
            remaining -= part.len();
        }
        Ok(())
    }

    /// Reads the rest of the body unless it is too large to be buffered.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be received.
    pub(super) async fn buffer_whole(&self) -> Result<(), BodyError> {
        let mut position = 0;
        while self.is_resendable() {
            if self.next_part(&mut position).await?.is_none() {
                break;
            }
        }
        Ok(())
    }

    /// Returns whether the whole body was received.
    pub(super) fn is_whole(&self) -> bool {
        let state = self.state.borrow();
        state.is_ended || state.length == Some(state.received)
    }

    /// Returns whether the body can be sent again from its start.
    pub(super) fn is_resendable(&self) -> bool {
        let progress = self.state.borrow().progress;
        matches!(progress, Progress::Buffered | Progress::Complete)
    }

    /// Returns why the body can't be received, if so.
    pub(super) fn error(&self) -> Option<BodyError> {
        match self.state.borrow().progress {
            Progress::Failed(err) => Some(err),
            _ => None,
        }
    }

    /// Sends the body and resets the stream if it can't be received.
    pub(super) async fn send(self, mut writer: FrameWriter) {
        self.state.borrow_mut().is_sending = true;
        let mut position = 0;
        loop {
            match self.next_part(&mut position).await {
                Ok(Some(part)) => {
                    if writer.write_bytes(part).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let _ = writer.finish();
                    return;
                }
                Err(_) => {
                    writer.reset();
                    return;
                }
            }
        }
    }

    async fn next_part(&self, position: &mut u64) -> Result<Option<Bytes>, BodyError> {
        poll_fn(|cx| self.state.borrow_mut().poll_part(cx, position)).await
    }
}

impl State {
    /// Returns the part of the body at a position and advances it.
    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
        position: &mut u64,
    ) -> Poll<Result<Option<Bytes>, BodyError>> {
        if let Progress::Failed(err) = self.progress {
            return Poll::Ready(Err(err));
        }
        let first_new = self.received;
        self.fill(cx, *position)?;
        let available = usize::try_from(self.received - *position).unwrap_or(usize::MAX);
        if available == 0 {
            return match self.is_ended {
                true => Poll::Ready(Ok(None)),
                false => Poll::Pending,
            };
        }
        let is_new = first_new <= *position || self.delay.is_some();
        if is_new && available < SMALL_PART_BYTES && !self.is_whole() {
            ready!(self.poll_delay(cx));
        }
        self.delay = None;
        let offset = usize::try_from(*position - self.start).unwrap_or(usize::MAX);
        let end = offset + available.min(PART_BYTES);
        let part = Bytes::copy_from_slice(&self.buffer[offset..end]);
        *position += part.len() as u64;
        self.drop_sent(*position);
        Poll::Ready(Ok(Some(part)))
    }

    /// Receives chunks until there is a whole part after the position or the caller has sent no more.
    fn fill(&mut self, cx: &mut Context<'_>, position: u64) -> Result<(), BodyError> {
        while !self.is_ended && self.received - position < PART_BYTES as u64 {
            match Pin::new(&mut self.payload).poll_next(cx) {
                Poll::Pending => break,
                Poll::Ready(Some(Ok(chunk))) => self.append(&chunk)?,
                Poll::Ready(Some(Err(_))) => return Err(self.fail(BodyError::Aborted)),
                Poll::Ready(None) => self.end()?,
            }
        }
        Ok(())
    }

    /// Waits for more bytes if the body came in many small parts.
    fn poll_delay(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.small_parts < MAX_SMALL_PARTS {
            self.small_parts += 1;
            return Poll::Ready(());
        }
        let delay = self
            .delay
            .get_or_insert_with(|| Box::pin(sleep(SMALL_PART_DELAY)));
        delay.as_mut().poll(cx)
    }

    /// Buffers a received chunk.
    fn append(&mut self, chunk: &Bytes) -> Result<(), BodyError> {
        self.received += chunk.len() as u64;
        if self.received > self.max_bytes {
            return Err(self.fail(BodyError::TooLarge));
        }
        if self.received > MAX_BUFFERED_BYTES {
            self.progress = Progress::Overflowed;
        }
        self.buffer.extend_from_slice(chunk);
        let bytes = self.buffer.capacity();
        if self.reservation.try_set(bytes) {
            return Ok(());
        }
        if !self.is_sending {
            return Err(self.fail(BodyError::NoMemory));
        }
        // What was sent is no longer kept, so that the body needs no more memory than one part.
        self.progress = Progress::Overflowed;
        self.reservation.set(bytes);
        Ok(())
    }

    /// Releases the bytes before a position unless they may be resent.
    fn drop_sent(&mut self, position: u64) {
        if !self.is_sending || self.progress != Progress::Overflowed {
            return;
        }
        let sent = usize::try_from(position - self.start).unwrap_or(usize::MAX);
        self.start = position;
        self.buffer.advance(sent);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
            self.reservation.set(0);
        }
    }

    /// Ends the body. One shorter or longer than its announced length counts as aborted.
    fn end(&mut self) -> Result<(), BodyError> {
        if !self.is_whole() && self.length.is_some() {
            return Err(self.fail(BodyError::Aborted));
        }
        self.is_ended = true;
        if self.progress == Progress::Buffered {
            self.progress = Progress::Complete;
        }
        Ok(())
    }

    fn is_whole(&self) -> bool {
        self.is_ended || self.length == Some(self.received)
    }

    fn fail(&mut self, err: BodyError) -> BodyError {
        self.progress = Progress::Failed(err);
        self.buffer = BytesMut::new();
        self.reservation.set(0);
        err
    }
}
