//! Passes the body of an answer on, with back pressure and never cut unseen.

use std::{rc::Rc, time::Duration};

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::{sidecar::forward::Answer, transport::FrameWriter};

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// The caller has the whole body.
    Complete,
    /// The upstream ended early.
    Truncated,
    /// The caller went away.
    CallerGone,
    /// Neither side took or gave a byte for long.
    IdleTimeout,
}

/// Streams the body of an answer to the ingress; `keep` sees each part before it is passed on, and
/// `passed` is told its length in bytes afterwards.
///
/// `idle` bounds the time without any progress, not that of the whole body.
pub(super) async fn stream_body(
    answer: &mut Answer,
    idle: Duration,
    writer: &mut FrameWriter,
    record: &mut impl FnMut(&Bytes),
    on_forwarded: &mut impl FnMut(u64),
) -> BodyEnd {
    let mut total = 0;
    loop {
        let next = timeout(idle, next_chunk(answer));
        let next = tokio::select! {
            biased;
            next = next => next,
            () = writer.closed() => return BodyEnd::CallerGone,
        };
        let Ok(next) = next else {
            return BodyEnd::IdleTimeout;
        };
        let chunk = match next {
            Some(Ok(chunk)) => chunk,
            Some(Err(_)) => return BodyEnd::Truncated,
            None => return body_end(answer, total),
        };
        let bytes = chunk.len() as u64;
        total += bytes;
        record(&chunk);
        match timeout(idle, writer.bytes(chunk)).await {
            Ok(Ok(())) => on_forwarded(bytes),
            Ok(Err(_)) => return BodyEnd::CallerGone,
            Err(_) => return BodyEnd::IdleTimeout,
        }
    }
}

async fn next_chunk(answer: &mut Answer) -> Option<Result<Bytes, PayloadError>> {
    let trace = Rc::clone(&answer.trace);
    trace.scope(answer.response.next()).await
}

/// Tells the regular end of a body from an early one, which `awc` shows alike.
fn body_end(answer: &Answer, received: u64) -> BodyEnd {
    let is_short = answer.expected.is_some_and(|length| length != received);
    if is_short || answer.expected.is_none() && answer.trace.is_closed() {
        return BodyEnd::Truncated;
    }
    BodyEnd::Complete
}
