//! Body of a caller's request, kept while it is small so that it can be sent again.

use std::{
    cell::RefCell,
    future::poll_fn,
    mem,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use actix_web::web::Payload;
use bytes::Bytes;
use futures_util::Stream;

use crate::transport::FrameWriter;

/// Largest body in bytes that is kept for another attempt.
const KEPT_BYTES: u64 = 64 << 10;
/// Bytes of the body that are read before the call is sent, for its fingerprint.
pub(super) const PREFIX_BYTES: usize = 4 << 10;

/// Body of a request; clones share it, and only one attempt reads it at a time.
#[derive(Clone)]
pub(super) struct RequestBody {
    state: Rc<RefCell<State>>,
}

struct State {
    payload: Payload,
    parts: Vec<Bytes>,
    is_sending: bool,
    length: Option<u64>,
    taken: u64,
    progress: Progress,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// All that was read is kept.
    Kept,
    /// More was read than is kept.
    Passed,
    /// The whole body is kept.
    Complete,
    /// The caller broke off.
    Broken,
}

/// The caller broke off its request.
#[derive(Debug)]
pub(super) struct CallerGone;

impl RequestBody {
    /// Returns the body of a request whose length in bytes may be known.
    pub(super) fn new(payload: Payload, length: Option<u64>) -> Self {
        let state = State {
            payload,
            parts: Vec::new(),
            is_sending: false,
            length,
            taken: 0,
            progress: Progress::Kept,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Reads the first bytes and passes exactly as many of them on as every resend of the
    /// request has, however the network cuts them up.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller breaks off.
    pub(super) async fn prefix(&self, mut visit: impl FnMut(&[u8])) -> Result<(), CallerGone> {
        let mut index = 0;
        let mut left = PREFIX_BYTES;
        while left > 0 {
            let Some(part) = self.part(&mut index).await? else {
                break;
            };
            let part = &part[..part.len().min(left)];
            visit(part);
            left -= part.len();
        }
        Ok(())
    }

    /// Returns whether the body can be sent once more from its start.
    pub(super) fn is_resendable(&self) -> bool {
        let progress = self.state.borrow().progress;
        matches!(progress, Progress::Kept | Progress::Complete)
    }

    /// Sends the body; the writer's side of the stream ends early when the caller breaks off.
    pub(super) async fn send(self, mut writer: FrameWriter) {
        self.state.borrow_mut().is_sending = true;
        let mut index = 0;
        loop {
            match self.part(&mut index).await {
                Ok(Some(part)) => {
                    if writer.bytes(part).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let _ = writer.end();
                    return;
                }
                Err(CallerGone) => {
                    writer.reset();
                    return;
                }
            }
        }
    }

    async fn part(&self, index: &mut usize) -> Result<Option<Bytes>, CallerGone> {
        poll_fn(|cx| self.state.borrow_mut().poll_part(cx, index)).await
    }
}

impl State {
    fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
        index: &mut usize,
    ) -> Poll<Result<Option<Bytes>, CallerGone>> {
        if let Some(part) = self.kept(*index) {
            *index += 1;
            return Poll::Ready(Ok(Some(part)));
        }
        match self.progress {
            Progress::Complete => return Poll::Ready(Ok(None)),
            Progress::Broken => return Poll::Ready(Err(CallerGone)),
            Progress::Kept | Progress::Passed => {}
        }
        match Pin::new(&mut self.payload).poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(part))) => {
                self.keep(&part);
                *index = self.parts.len();
                Poll::Ready(Ok(Some(part)))
            }
            Poll::Ready(Some(Err(_))) => self.finish(Progress::Broken),
            Poll::Ready(None) => self.finish(self.ending()),
        }
    }

    /// Returns a part that was read before; what can't be sent twice is given away.
    fn kept(&mut self, index: usize) -> Option<Bytes> {
        let part = self.parts.get_mut(index)?;
        if self.is_sending && self.progress == Progress::Passed {
            return Some(mem::take(part));
        }
        Some(part.clone())
    }

    /// Keeps a part that was just read, if it is still to be sent or may be sent again.
    fn keep(&mut self, part: &Bytes) {
        self.taken += part.len() as u64;
        if self.taken > KEPT_BYTES {
            self.progress = Progress::Passed;
        }
        if self.progress == Progress::Kept || !self.is_sending {
            self.parts.push(part.clone());
        } else {
            self.parts.clear();
        }
    }

    /// Returns how a body ends whose payload has ended.
    fn ending(&self) -> Progress {
        if self.length.is_some_and(|length| length != self.taken) {
            return Progress::Broken;
        }
        Progress::Complete
    }

    fn finish(&mut self, ending: Progress) -> Poll<Result<Option<Bytes>, CallerGone>> {
        let is_passed = self.progress == Progress::Passed;
        if ending == Progress::Broken {
            self.progress = Progress::Broken;
            return Poll::Ready(Err(CallerGone));
        }
        if !is_passed {
            self.progress = ending;
        }
        Poll::Ready(Ok(None))
    }
}
