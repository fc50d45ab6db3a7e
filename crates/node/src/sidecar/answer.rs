//! Passes the body of an answer on, with back pressure and never cut unseen.

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::timeout_at;

use crate::{
    sidecar::{call::Call, forward::Answer},
    transport::FrameWriter,
};

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// The caller has the whole body.
    Whole,
    /// The upstream ended early.
    Cut,
    /// The caller went away.
    CallerGone,
    /// The deadline passed.
    Deadline,
}

/// Streams the body of an answer to the ingress; the first bytes are also kept for `keep`.
pub(super) async fn stream_body(
    answer: &mut Answer,
    call: &Call,
    writer: &mut FrameWriter,
    keep: &mut impl FnMut(&Bytes),
) -> BodyEnd {
    let passed = pass_chunks(answer, writer, keep);
    match timeout_at(call.deadline.into(), passed).await {
        Ok(end) => end,
        Err(_) => BodyEnd::Deadline,
    }
}

async fn pass_chunks(
    answer: &mut Answer,
    writer: &mut FrameWriter,
    keep: &mut impl FnMut(&Bytes),
) -> BodyEnd {
    let mut passed = 0;
    loop {
        let next = std::rc::Rc::clone(&answer.trace).scope(answer.response.next());
        let next = tokio::select! {
            biased;
            next = next => next,
            () = writer.closed() => return BodyEnd::CallerGone,
        };
        let chunk = match next {
            Some(Ok(chunk)) => chunk,
            Some(Err(_)) => return BodyEnd::Cut,
            None => return body_end(answer, passed),
        };
        passed += chunk.len() as u64;
        keep(&chunk);
        if writer.bytes(chunk).await.is_err() {
            return BodyEnd::CallerGone;
        }
    }
}

/// Tells the regular end of a body from an early one, which `awc` shows alike.
fn body_end(answer: &Answer, passed: u64) -> BodyEnd {
    let is_short = answer.length.is_some_and(|length| length != passed);
    if is_short || answer.length.is_none() && answer.trace.is_ended() {
        return BodyEnd::Cut;
    }
    BodyEnd::Whole
}
