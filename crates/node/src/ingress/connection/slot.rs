//! Place of one request in the order of its connection.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::Response;
use futures_util::future::LocalBoxFuture;

use crate::{
    body_budget::BodyBudget,
    ingress::{
        answer::CallerResponse,
        connection::{
            answer_body::{AnswerBody, ReadAhead},
            close_cause::CloseCause,
        },
        request::StatedWait,
    },
};

/// How far the response to a request has come.
pub(super) enum Progress {
    /// The call runs, or waits for its start.
    Call(LocalBoxFuture<'static, CallerResponse>),
    /// The response waits for those before it.
    Ready(Response<()>, AnswerBody),
    /// The head is encoded and the body follows.
    Writing(AnswerBody),
    /// All of the response is encoded.
    Complete,
}

impl Progress {
    fn ready(response: CallerResponse, budget: &BodyBudget) -> Self {
        let (head, body) = response.into_parts();
        Self::Ready(head, AnswerBody::new(body, budget))
    }
}

/// Place of one request in the order of its connection.
pub(super) struct Slot {
    pub(super) progress: Progress,
    /// Time that the caller is willing to wait, until the response turns out not to be a good one.
    pub(super) wait: Option<StatedWait>,
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
    pub(super) fn last(response: CallerResponse, cause: CloseCause, budget: &BodyBudget) -> Self {
        Self {
            progress: Progress::ready(response, budget),
            wait: None,
            is_started: true,
            is_head: false,
            expects_continue: false,
            closes: Some(cause),
        }
    }

    /// Polls the call if it has started.
    pub(super) fn poll_call(&mut self, cx: &mut Context<'_>, budget: &BodyBudget) {
        if !self.is_started {
            return;
        }
        if let Progress::Call(call) = &mut self.progress
            && let Poll::Ready(response) = Pin::new(call).poll(cx)
        {
            self.progress = Progress::ready(response, budget);
        }
    }

    /// Reads the body of the response ahead of the caller. Returns `None` if there is none yet.
    pub(super) fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Option<ReadAhead> {
        match &mut self.progress {
            Progress::Ready(_, body) | Progress::Writing(body) => Some(body.poll_ahead(cx)),
            Progress::Call(_) | Progress::Complete => None,
        }
    }

    /// Returns whether there is a response whose upstream has not sent all of it.
    pub(super) fn is_partial(&self) -> bool {
        match &self.progress {
            Progress::Ready(_, body) | Progress::Writing(body) => !body.is_whole(),
            Progress::Call(_) | Progress::Complete => false,
        }
    }

    /// Returns whether the response is not known yet.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.progress, Progress::Call(_))
    }
}
