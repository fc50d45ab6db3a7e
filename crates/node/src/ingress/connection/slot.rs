//! Place of one request in the order of its connection.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::BoxBody;
use futures_util::future::LocalBoxFuture;

use crate::ingress::{answer::CallerResponse, connection::close_cause::CloseCause};

/// How far the response to a request has come.
pub(super) enum Progress {
    /// The call runs, or waits for its start.
    Call(LocalBoxFuture<'static, CallerResponse>),
    /// The response waits for those before it. Nothing of its body is read.
    Ready(CallerResponse),
    /// The head is encoded and the body follows.
    Writing(BoxBody),
    /// All of the response is encoded.
    Complete,
}

/// Place of one request in the order of its connection.
pub(super) struct Slot {
    pub(super) progress: Progress,
    pub(super) is_started: bool,
    /// Whether the response has no body because of the request's method.
    pub(super) is_head: bool,
    /// Whether the caller waits for an interim response before it sends the body.
    pub(super) expects_continue: bool,
    /// Why the connection closes after the response, if it does.
    pub(super) closes: Option<CloseCause>,
}

impl Slot {
    /// Returns a slot for a response that exists already and closes the connection.
    pub(super) fn last(response: CallerResponse, cause: CloseCause) -> Self {
        Self {
            progress: Progress::Ready(response),
            is_started: true,
            is_head: false,
            expects_continue: false,
            closes: Some(cause),
        }
    }

    /// Polls the call if it has started.
    pub(super) fn poll_call(&mut self, cx: &mut Context<'_>) {
        if !self.is_started {
            return;
        }
        if let Progress::Call(call) = &mut self.progress
            && let Poll::Ready(response) = Pin::new(call).poll(cx)
        {
            self.progress = Progress::Ready(response);
        }
    }

    /// Returns whether the response is not known yet.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Call(_))
    }
}
