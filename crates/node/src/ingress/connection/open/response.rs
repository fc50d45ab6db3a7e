//! Writing of responses in the order of their requests.

use std::{
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::BodySize,
    header::{HeaderName, HeaderValue},
};
use tokio::time::Instant;

use super::OpenConnection;
use crate::ingress::{
    connection::{
        answer_body::{AnswerBody, ReadAhead},
        close_cause::CloseCause,
        slot::{Progress, Slot},
    },
    open_calls::EndCause,
};

/// Time for which a caller takes nothing until its response is read ahead.
const READ_AHEAD_DELAY: Duration = Duration::from_millis(100);
/// Time after which reading ahead is tried again when there was no memory for it.
const READ_AHEAD_RETRY: Duration = Duration::from_millis(100);

impl OpenConnection {
    /// Reads responses ahead of a caller that does not take them, so that they hold no slot of their upstream and
    /// no share of the calls. Where there is no memory for it, another connection that waits longer for its
    /// caller gives up its own.
    pub(super) fn read_ahead(&mut self, cx: &mut Context<'_>) {
        let now = Instant::now();
        let is_stalled = !self.output.is_empty() && self.written_at + READ_AHEAD_DELAY <= now;
        if !is_stalled {
            let is_partial = !self.output.is_empty() && self.slots.iter().any(Slot::is_partial);
            self.ahead_at = is_partial.then(|| self.written_at + READ_AHEAD_DELAY);
            return;
        }
        let mut has_memory = true;
        for slot in &mut self.slots {
            has_memory &= slot.poll_ahead(cx) != Some(ReadAhead::NoMemory);
        }
        if !has_memory {
            self.entry.evict_stalled(now.into_std());
        }
        self.ahead_at = (!has_memory).then(|| now + READ_AHEAD_RETRY);
    }

    /// Encodes and writes responses as far as possible and returns whether anything changed.
    ///
    /// # Errors
    ///
    /// Returns the cause if the connection is broken.
    pub(super) fn write(&mut self, cx: &mut Context<'_>) -> Result<bool, CloseCause> {
        let mut is_changed = false;
        loop {
            while self.closing.is_none() && self.output.has_room() && self.encode(cx) {
                is_changed = true;
            }
            let was_empty = self.output.is_empty();
            let is_written = self.output.flush(&mut self.stream, cx);
            let is_written = is_written.map_err(|_| CloseCause::Caller)?;
            if is_written || was_empty {
                self.written_at = Instant::now();
            }
            if !is_written || !self.output.is_empty() {
                return Ok(is_changed);
            }
            is_changed = true;
        }
    }

    /// Encodes the next part of the first response and returns whether there was one.
    fn encode(&mut self, cx: &mut Context<'_>) -> bool {
        let Some(first) = self.slots.front_mut() else {
            return false;
        };
        match &mut first.progress {
            Progress::Call(_) => self.encode_continue(),
            Progress::Ready(..) => {
                let ready = std::mem::replace(&mut first.progress, Progress::Complete);
                if let Progress::Ready(head, body) = ready {
                    self.start_response(head, body, cx);
                }
                true
            }
            Progress::Writing(body) => match body.poll_next(cx) {
                Poll::Pending => false,
                Poll::Ready(Some(Ok(chunk))) => {
                    if self.output.push_chunk(chunk).is_err() {
                        self.break_off();
                    }
                    true
                }
                Poll::Ready(None) => {
                    match self.output.push_end() {
                        Ok(()) => first.progress = Progress::Complete,
                        Err(_) => self.break_off(),
                    }
                    true
                }
                Poll::Ready(Some(Err(_))) => {
                    self.break_off();
                    true
                }
            },
            Progress::Complete => {
                self.complete_first();
                true
            }
        }
    }

    /// Lets the caller send the body that the call of the first request waits for.
    fn encode_continue(&mut self) -> bool {
        let is_only = self.slots.len() == 1;
        let is_wanted = self.body.as_ref().is_some_and(|body| body.is_wanted());
        let Some(first) = self.slots.front_mut().filter(|_| is_only && is_wanted) else {
            return false;
        };
        if !std::mem::take(&mut first.expects_continue) {
            return false;
        }
        self.output.push_continue();
        true
    }

    fn start_response(&mut self, mut head: Response<()>, body: AnswerBody, cx: &mut Context<'_>) {
        if self.body.is_some() {
            // The rest may have arrived already. If not, the request can't be followed by another.
            if self.decode(cx) {
                // A request that was admitted has a call to poll.
                self.has_started = true;
            }
            if self.body.is_some() && self.slots.len() == 1 {
                self.pipeline.end();
            }
        }
        if !self.is_serving() {
            self.pipeline.drain();
        }
        let longest_reuse = self.limits.reuse_time();
        self.reuse_time = self.entry.reuse_time(longest_reuse);
        let reuse_seconds = self.reuse_time.as_secs();
        if reuse_seconds == 0 && self.reuse_time < longest_reuse {
            // Other callers need the place.
            self.pipeline.end();
        }
        let is_last = self.pipeline.is_first_last();
        let Some(first) = self.slots.front_mut() else {
            return;
        };
        if is_last || head.head().connection_type() == ConnectionType::Close {
            first.closes.get_or_insert(CloseCause::Answered);
        }
        if first.closes.is_some() {
            head.head_mut().set_connection_type(ConnectionType::Close);
        } else {
            let value = HeaderValue::try_from(format!("timeout={reuse_seconds}"));
            if let Ok(value) = value {
                let name = HeaderName::from_static("keep-alive");
                head.headers_mut().insert(name, value);
            }
        }
        let status = head.status();
        if !status.is_success() {
            first.wait = None;
        }
        let is_bodiless = status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let size = if is_bodiless {
            BodySize::None
        } else {
            body.size()
        };
        let has_body = !first.is_head && !is_bodiless;
        if has_body && !size.is_eof() {
            first.progress = Progress::Writing(body);
        }
        if self.output.push_head(head, size).is_err() {
            self.break_off();
        }
    }

    /// Removes the first request, whose response is encoded whole.
    fn complete_first(&mut self) {
        let first = self.slots.pop_front();
        if let Some(wait) = first.as_ref().and_then(|first| first.wait.as_ref()) {
            self.worker.record_wait(wait);
        }
        let closes = first.and_then(|first| first.closes);
        // The next request begins behind the body, whose end is not known.
        let is_unread = self.slots.is_empty() && self.body.is_some();
        if let Some(cause) = closes.or(is_unread.then_some(CloseCause::Answered)) {
            return self.abandon(cause);
        }
        if self.pipeline.complete_first()
            && let Some(last) = self.slots.back_mut()
        {
            last.is_started = true;
            self.has_started = true;
        }
        if self.slots.is_empty() {
            self.pipeline.resume();
        }
        self.idle_since = Instant::now();
    }

    /// Ends the connection within a response, so that its caller notices that the rest is missing.
    fn break_off(&mut self) {
        self.abandon(CloseCause::AnswerBroken);
    }

    /// Drops all requests. The connection closes once the encoded bytes are written.
    fn abandon(&mut self, cause: CloseCause) {
        let abandoned = self.pipeline.close();
        if abandoned.started > 0 {
            let count = abandoned.started as u64;
            metrics::counter!("requests_abandoned_total").increment(count);
        }
        let open_calls = &self.worker.shared.open_calls;
        open_calls.drop_as(EndCause::Abandoned, || self.slots.clear());
        self.body = None;
        self.closing = Some(cause);
    }
}
