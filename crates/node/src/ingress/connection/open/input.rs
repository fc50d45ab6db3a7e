//! Decoding of requests and their bodies.

use std::{task::Context, time::Instant as StdInstant};

use actix_http::{ConnectionType, Method, Request, Response, Version};
use bytes::Bytes;
use tokio::time::Instant;

use super::OpenConnection;
use crate::ingress::{
    connection::{
        close_cause::CloseCause,
        payload::{Payload, PayloadSender},
        reader::{Input, InputError, READ_AHEAD_BYTES},
        slot::{Progress, Slot},
    },
    handler,
    open_calls::EndCause,
};

/// Bytes of a body that are discarded after its call has ended, so that the connection can be used for
/// further requests if the body is short.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Body of the last request, as long as its end is not decoded.
pub(super) struct BodyInput {
    sender: PayloadSender,
    discarded: usize,
}

impl BodyInput {
    /// Returns whether the call takes the next chunk, or it is discarded.
    pub(super) fn has_room(&self, cx: &Context<'_>) -> bool {
        if self.is_abandoned() {
            return self.discarded < MAX_DISCARDED_BYTES;
        }
        self.sender.has_room(cx)
    }

    /// Returns whether the call reads no more of the body.
    pub(super) fn is_abandoned(&self) -> bool {
        self.sender.is_abandoned()
    }

    /// Returns whether the call waits for the body.
    pub(super) fn is_wanted(&self) -> bool {
        self.sender.is_wanted()
    }

    fn take(&mut self, chunk: Bytes, cx: &Context<'_>) {
        if self.is_abandoned() {
            self.discarded += chunk.len();
        } else {
            self.sender.send(chunk, cx);
        }
    }
}

impl OpenConnection {
    /// Returns the number of bytes that may wait to be decoded.
    pub(super) fn max_buffered(&self) -> usize {
        if self.is_held {
            // The call has a chunk that it does not take.
            return 0;
        }
        let is_head_next = !self.reader.is_in_body() && !self.reader.is_ended();
        if is_head_next && self.pipeline.accepts() {
            // One byte more than allowed shows that a head is too long.
            return self.limits.head_bytes.max(READ_AHEAD_BYTES) + 1;
        }
        READ_AHEAD_BYTES
    }

    /// Decodes as much as calls can take and returns whether anything was decoded.
    pub(super) fn decode(&mut self, cx: &mut Context<'_>) -> bool {
        let mut is_decoded = false;
        self.is_held = false;
        while self.may_decode(cx) {
            match self.reader.next(self.limits.head_bytes) {
                Ok(None) => break,
                Ok(Some(Input::Head(request, arrived, has_body))) => {
                    self.admit(request, arrived, has_body);
                }
                Ok(Some(Input::Chunk(chunk))) => {
                    if let Some(body) = &mut self.body {
                        body.take(chunk, cx);
                    }
                    self.expect_no_continue();
                }
                Ok(Some(Input::End)) => {
                    if let Some(body) = self.body.take() {
                        body.sender.finish(cx);
                    }
                    self.expect_no_continue();
                }
                Err(err) => self.fail_input(err),
            }
            is_decoded = true;
        }
        self.update_head_time();
        is_decoded
    }

    fn may_decode(&mut self, cx: &mut Context<'_>) -> bool {
        if self.closing.is_some() || self.reader.is_ended() {
            return false;
        }
        if let Some(body) = &self.body {
            self.is_held = !body.has_room(cx);
            return !self.is_held;
        }
        if self.reader.is_empty() {
            return false;
        }
        if !self.pipeline.is_empty() && !self.is_serving() {
            // The calls in flight are answered. What follows is unread, and its caller resends it.
            self.pipeline.drain();
        }
        self.pipeline.accepts()
    }

    /// Notes when a head begins that is not complete.
    fn update_head_time(&mut self) {
        let is_partial = !self.reader.is_empty()
            && !self.reader.is_in_body()
            && !self.reader.is_ended()
            && self.closing.is_none()
            && self.pipeline.accepts();
        if !is_partial {
            self.head_since = None;
        } else if self.head_since.is_none() {
            self.head_since = Some(Instant::now());
        }
    }

    /// Adds a request. Its call starts at once unless the requests before it forbid that.
    fn admit(&mut self, mut request: Request, arrived: StdInstant, has_body: bool) {
        self.is_used = true;
        let head = request.head_mut();
        head.peer_addr = Some(self.peer);
        let is_head = head.method == Method::HEAD;
        let expects_continue = has_body && head.expect();
        // The connection ends with an upgrade too, as what follows it would be in another protocol.
        let closes = head.connection_type() != ConnectionType::KeepAlive
            || head.version < Version::HTTP_11
            || self.reader.is_ended();
        let payload = if has_body {
            let (sender, payload) = Payload::channel();
            let discarded = 0;
            self.body = Some(BodyInput { sender, discarded });
            payload
        } else {
            Payload::empty()
        };
        let handled = handler::handle(request, payload, &self.worker, arrived);
        if !self.pipeline.is_empty() {
            metrics::counter!("requests_pipelined_total").increment(1);
        }
        let is_started = self.pipeline.push(handled.repeat);
        if closes {
            self.pipeline.end();
        }
        self.slots.push_back(Slot {
            progress: Progress::Call(handled.response),
            wait: handled.wait,
            is_started,
            is_head,
            expects_continue,
            closes: closes.then_some(CloseCause::Answered),
        });
    }

    /// Refuses input that can't be decoded. If it is the body of a request without a response, the refusal
    /// is its response.
    fn fail_input(&mut self, err: InputError) {
        let is_body = self.body.take().is_some();
        if !is_body {
            return self.refuse_input(err.status(), CloseCause::Malformed);
        }
        self.pipeline.end();
        if let Some(last) = self.slots.back_mut() {
            last.closes = Some(CloseCause::Malformed);
            if last.is_running() {
                // Without the end of the body an upstream never gets the whole request.
                let response = Response::new(err.status());
                let budget = &self.worker.ahead_budget;
                let refusal = Slot::last(response, CloseCause::Malformed, budget);
                let open_calls = &self.worker.shared.open_calls;
                open_calls.drop_as(EndCause::Malformed, || *last = refusal);
            }
        }
    }

    fn expect_no_continue(&mut self) {
        if let Some(last) = self.slots.back_mut() {
            last.expects_continue = false;
        }
    }
}
