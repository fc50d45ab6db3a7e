//! Body of a response, read ahead of its caller within a budget.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use snafu::Snafu;

use crate::body_budget::{BodyBudget, Reservation};

/// Room that must be left for another part: the largest frame between nodes, and what came with the head.
const MAX_PART_BYTES: usize = 32 << 10;

/// The body ends before its regular end.
#[derive(Debug, Snafu)]
#[snafu(display("response body broke off"))]
pub(super) struct BrokenBody;

/// How far reading ahead has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadAhead {
    /// The upstream has not sent the next part.
    Waiting,
    /// The upstream has sent all of the body.
    Whole,
    /// The budget has no room for the next part.
    NoMemory,
}

/// Body of a response.
///
/// A body whose end was read has released all that its call held, whether or not its caller takes it.
pub(super) struct AnswerBody {
    /// `None` once its end was read.
    source: Option<BoxBody>,
    size: BodySize,
    parts: VecDeque<Bytes>,
    /// Bytes of these parts.
    buffered: usize,
    reservation: Reservation,
    is_broken: bool,
}

impl AnswerBody {
    /// Returns a body of which nothing was read.
    pub(super) fn new(source: BoxBody, budget: &BodyBudget) -> Self {
        Self {
            size: source.size(),
            source: Some(source),
            parts: VecDeque::new(),
            buffered: 0,
            reservation: budget.reserve(),
            is_broken: false,
        }
    }

    /// Returns the size of the whole body.
    pub(super) fn size(&self) -> BodySize {
        self.size
    }

    /// Returns whether the upstream has sent all of the body.
    pub(super) fn is_whole(&self) -> bool {
        self.source.is_none()
    }

    /// Returns the next part for the caller.
    ///
    /// # Errors
    ///
    /// Returns an error in place of a part that is missing.
    pub(super) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenBody>>> {
        if let Some(part) = self.parts.pop_front() {
            self.buffered -= part.len();
            self.reservation.set(self.buffered);
            return Poll::Ready(Some(Ok(part)));
        }
        let next = self.poll_source(cx);
        next.map(|part| match part {
            None if self.is_broken => Some(Err(BrokenBody)),
            part => part.map(Ok),
        })
    }

    /// Reads parts that the upstream has sent and the caller does not take yet.
    pub(super) fn poll_ahead(&mut self, cx: &mut Context<'_>) -> ReadAhead {
        while !self.is_whole() {
            if !self.reservation.try_set(self.buffered + MAX_PART_BYTES) {
                return ReadAhead::NoMemory;
            }
            let next = self.poll_source(cx);
            if let Poll::Ready(Some(part)) = &next {
                self.buffered += part.len();
                self.parts.push_back(part.clone());
            }
            self.reservation.set(self.buffered);
            if next.is_pending() {
                return ReadAhead::Waiting;
            }
        }
        ReadAhead::Whole
    }

    /// Returns the next part from the upstream, or `None` at its regular end or where it breaks off.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let Some(source) = &mut self.source else {
            return Poll::Ready(None);
        };
        let next = Pin::new(source).poll_next(cx);
        next.map(|part| {
            if !matches!(part, Some(Ok(_))) {
                self.is_broken = part.is_some();
                self.source = None;
            }
            part.and_then(Result::ok)
        })
    }
}
