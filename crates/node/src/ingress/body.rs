//! Request body of a caller, buffered while it is small so that it can be resent.

use std::{
    cell::RefCell,
    future::poll_fn,
    mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;

use crate::{ingress::connection::Payload, transport::FrameWriter};

/// Size of the largest body that is buffered for another attempt.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;
/// Bytes of the body that are read for the fingerprint before the call is sent.
pub(super) const PREFIX_BYTES: usize = 4 << 10;

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
    chunks: Vec<Bytes>,
    is_sending: bool,
    length: Option<u64>,
    received: u64,
    /// Whether the end of the body was reached.
    is_ended: bool,
    progress: Progress,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// All bytes received so far are buffered.
    Buffered,
    /// More bytes were received than may be buffered.
    Overflowed,
    /// The whole body was received and is buffered.
    Complete,
    /// The caller aborted the request.
    Aborted,
}

/// The caller aborted its request.
#[derive(Debug)]
pub(super) struct RequestAborted;

impl RequestBody {
    /// Creates the body of a request; `length` is its size in bytes, if known.
    pub(super) fn new(payload: Payload, length: Option<u64>) -> Self {
        let state = State {
            payload,
            chunks: Vec::new(),
            is_sending: false,
            length,
            received: 0,
            is_ended: false,
            progress: Progress::Buffered,
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
    /// Returns an error if the caller aborts the request.
    pub(super) async fn read_prefix(
        &self,
        mut consume: impl FnMut(&[u8]),
    ) -> Result<(), RequestAborted> {
        let mut index = 0;
        let mut remaining = PREFIX_BYTES;
        while remaining > 0 {
            let Some(chunk) = self.next_chunk(&mut index).await? else {
                break;
            };
            let chunk = &chunk[..chunk.len().min(remaining)];
            consume(chunk);
            remaining -= chunk.len();
        }
        Ok(())
    }

    /// Reads the rest of the body unless it is too large to be buffered.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller aborts the request.
    pub(super) async fn buffer_whole(&self) -> Result<(), RequestAborted> {
        let mut index = 0;
        while self.is_resendable() {
            if self.next_chunk(&mut index).await?.is_none() {
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

    /// Sends the body and resets the stream if the caller aborts the request.
    pub(super) async fn send(self, mut writer: FrameWriter) {
        self.state.borrow_mut().is_sending = true;
        let mut index = 0;
        loop {
            match self.next_chunk(&mut index).await {
                Ok(Some(chunk)) => {
                    if writer.write_bytes(chunk).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let _ = writer.finish();
                    return;
                }
                Err(RequestAborted) => {
                    writer.reset();
                    return;
                }
            }
        }
    }

    async fn next_chunk(&self, index: &mut usize) -> Result<Option<Bytes>, RequestAborted> {
        poll_fn(|cx| self.state.borrow_mut().poll_chunk(cx, index)).await
    }
}

impl State {
    fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
        index: &mut usize,
    ) -> Poll<Result<Option<Bytes>, RequestAborted>> {
        if let Some(chunk) = self.buffered_chunk(*index) {
            *index += 1;
            return Poll::Ready(Ok(Some(chunk)));
        }
        match self.progress {
            Progress::Complete => return Poll::Ready(Ok(None)),
            Progress::Aborted => return Poll::Ready(Err(RequestAborted)),
            Progress::Buffered | Progress::Overflowed => {}
        }
        match Pin::new(&mut self.payload).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.buffer(&chunk);
                *index = self.chunks.len();
                Poll::Ready(Ok(Some(chunk)))
            }
            Poll::Ready(Some(Err(_))) => self.finish(Progress::Aborted),
            Poll::Ready(None) => self.finish(self.final_progress()),
        }
    }

    /// Returns a chunk that was received before. Once the body is too large to be resent, the chunk
    /// is moved out of the buffer.
    fn buffered_chunk(&mut self, index: usize) -> Option<Bytes> {
        let chunk = self.chunks.get_mut(index)?;
        if self.is_sending && self.progress == Progress::Overflowed {
            return Some(mem::take(chunk));
        }
        Some(chunk.clone())
    }

    /// Buffers a received chunk if it has yet to be sent or may be resent.
    fn buffer(&mut self, chunk: &Bytes) {
        self.received += chunk.len() as u64;
        if self.received > MAX_BUFFERED_BYTES {
            self.progress = Progress::Overflowed;
        }
        if self.progress == Progress::Buffered || !self.is_sending {
            self.chunks.push(chunk.clone());
        } else {
            self.chunks.clear();
        }
    }

    /// Returns the progress at the end of the payload. A body shorter or longer than its announced
    /// length counts as aborted.
    fn final_progress(&self) -> Progress {
        if self.length.is_some_and(|length| length != self.received) {
            return Progress::Aborted;
        }
        Progress::Complete
    }

    fn finish(&mut self, final_progress: Progress) -> Poll<Result<Option<Bytes>, RequestAborted>> {
        let is_overflowed = self.progress == Progress::Overflowed;
        if final_progress == Progress::Aborted {
            self.progress = Progress::Aborted;
            return Poll::Ready(Err(RequestAborted));
        }
        self.is_ended = true;
        if !is_overflowed {
            self.progress = final_progress;
        }
        Poll::Ready(Ok(None))
    }
}
