//! Hand-over of a request body from its connection to its call, one chunk at a time.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;
use futures_util::Stream;
use snafu::Snafu;

/// The caller's connection ended, or the framing of the body is invalid.
#[derive(Debug, Snafu)]
#[snafu(display("request body is incomplete"))]
pub(in crate::ingress) struct IncompleteBody;

/// Body of a request, as a stream of its chunks.
pub(in crate::ingress) struct Payload {
    /// `None` if the request has no body.
    shared: Option<Rc<RefCell<Shared>>>,
}

/// Side of the connection. A body whose sender is dropped before its end is incomplete.
pub(super) struct PayloadSender {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Default)]
struct Shared {
    chunk: Option<Bytes>,
    end: Option<Result<(), IncompleteBody>>,
    /// Waits for a chunk.
    reader: Option<Waker>,
    /// Waits for the chunk to be taken.
    writer: Option<Waker>,
    /// Whether the call has asked for a part of the body.
    is_wanted: bool,
    is_abandoned: bool,
}

impl Payload {
    /// Returns the body of a request that has none.
    pub(in crate::ingress) fn empty() -> Self {
        Self { shared: None }
    }

    /// Returns a body and its sender.
    pub(super) fn channel() -> (PayloadSender, Self) {
        let shared = Rc::<RefCell<Shared>>::default();
        let sender = PayloadSender {
            shared: Rc::clone(&shared),
        };
        let payload = Self {
            shared: Some(shared),
        };
        (sender, payload)
    }
}

impl Stream for Payload {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(shared) = &self.shared else {
            return Poll::Ready(None);
        };
        let mut shared = shared.borrow_mut();
        shared.is_wanted = true;
        if let Some(chunk) = shared.chunk.take() {
            wake_other(shared.writer.take(), cx);
            return Poll::Ready(Some(Ok(chunk)));
        }
        match &shared.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(IncompleteBody)) => Poll::Ready(Some(Err(IncompleteBody))),
            None => {
                shared.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for Payload {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            let mut shared = shared.borrow_mut();
            shared.is_abandoned = true;
            shared.chunk = None;
            if let Some(writer) = shared.writer.take() {
                writer.wake();
            }
        }
    }
}

impl PayloadSender {
    /// Returns whether the last chunk was taken. If it wasn't, the task is woken once it is.
    pub(super) fn has_room(&self, cx: &Context<'_>) -> bool {
        let mut shared = self.shared.borrow_mut();
        let has_room = shared.chunk.is_none();
        if !has_room {
            shared.writer = Some(cx.waker().clone());
        }
        has_room
    }

    /// Hands a chunk over; there must be room for it.
    pub(super) fn send(&self, chunk: Bytes, cx: &Context<'_>) {
        let mut shared = self.shared.borrow_mut();
        debug_assert!(shared.chunk.is_none());
        shared.chunk = Some(chunk);
        wake_other(shared.reader.take(), cx);
    }

    /// Ends the body as complete.
    pub(super) fn finish(self, cx: &Context<'_>) {
        let mut shared = self.shared.borrow_mut();
        shared.end = Some(Ok(()));
        wake_other(shared.reader.take(), cx);
    }

    /// Returns whether the call waits for a part of the body.
    pub(super) fn is_wanted(&self) -> bool {
        self.shared.borrow().is_wanted
    }

    /// Returns whether the call reads no more of the body.
    pub(super) fn is_abandoned(&self) -> bool {
        self.shared.borrow().is_abandoned
    }
}

impl Drop for PayloadSender {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        if shared.end.is_none() {
            shared.end = Some(Err(IncompleteBody));
            if let Some(reader) = shared.reader.take() {
                reader.wake();
            }
        }
    }
}

/// Wakes the other side unless it is the running task, which polls both sides in any case.
fn wake_other(waker: Option<Waker>, cx: &Context<'_>) {
    if let Some(waker) = waker
        && !waker.will_wake(cx.waker())
    {
        waker.wake();
    }
}
