//! Streams answer bodies to the ingress with back pressure and detects truncation.

use std::{rc::Rc, time::Duration};

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{sidecar::forward::Answer, transport::FrameWriter};

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// The caller received the complete body.
    Complete,
    /// The upstream ended the body early.
    Truncated,
    /// The caller closed the stream.
    CallerGone,
    /// The upstream sent no data within the idle timeout.
    UpstreamIdle,
    /// No data could be forwarded within the idle timeout.
    CallerIdle,
    /// A body without a stated length did not end in time.
    Endless,
}

/// Time limits of a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Longest time without progress.
    pub(super) idle: Duration,
    /// When a body without a stated length is cut off, as it may never end.
    pub(super) unsized_end: Instant,
}

/// Streams the body of an answer to the ingress.
///
/// `record` is called with each part before it is forwarded, and `on_forwarded` with its length in
/// bytes afterwards. A body of stated length may take any time as long as it makes progress.
pub(super) async fn stream_body(
    answer: &mut Answer,
    limits: BodyLimits,
    writer: &mut FrameWriter,
    record: &mut impl FnMut(&Bytes),
    on_forwarded: &mut impl FnMut(u64),
) -> BodyEnd {
    let idle = limits.idle;
    let is_unsized = answer.expected.is_none();
    let mut total = 0;
    loop {
        let next = timeout(idle, next_chunk(answer));
        let next = tokio::select! {
            biased;
            () = sleep_until(limits.unsized_end), if is_unsized => return BodyEnd::Endless,
            next = next => next,
            () = writer.wait_for_reset() => return BodyEnd::CallerGone,
        };
        let Ok(next) = next else {
            return BodyEnd::UpstreamIdle;
        };
        let chunk = match next {
            Some(Ok(chunk)) => chunk,
            Some(Err(_)) => return BodyEnd::Truncated,
            None => return body_end(answer, total),
        };
        let bytes = chunk.len() as u64;
        total += bytes;
        record(&chunk);
        match timeout(idle, writer.write_bytes(chunk)).await {
            Ok(Ok(())) => on_forwarded(bytes),
            Ok(Err(_)) => return BodyEnd::CallerGone,
            Err(_) => return BodyEnd::CallerIdle,
        }
    }
}

async fn next_chunk(answer: &mut Answer) -> Option<Result<Bytes, PayloadError>> {
    let trace = Rc::clone(&answer.trace);
    trace.scope(answer.response.next()).await
}

/// Distinguishes the regular end of a body from an early one; `awc` reports both the same way.
fn body_end(answer: &Answer, received: u64) -> BodyEnd {
    let is_short = answer.expected.is_some_and(|length| length != received);
    if is_short || answer.expected.is_none() && answer.trace.is_closed() {
        return BodyEnd::Truncated;
    }
    if let Some(idle) = answer.keep_alive {
        answer.trace.limit_reuse(idle);
    }
    BodyEnd::Complete
}
