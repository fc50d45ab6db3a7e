//! Streams answer bodies to the ingress with back pressure and detects truncation.

use std::{rc::Rc, time::Duration};

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::time::{Instant, sleep_until, timeout};

use crate::{sidecar::forward::Answer, transport::FrameWriter};

/// Time for which a call keeps a slot that other calls wait for, while its caller takes nothing of the answer. It
/// is above the time in which nodes notice that a link is lost.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Time without progress after which an answer no longer counts as one that the link has to carry.
const STALL_NOTICE_TIME: Duration = Duration::from_millis(300);
/// Interval at which a call without progress is checked for others that wait.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

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
    /// No data could be forwarded within the idle timeout, or for [`STALL_TIME`] while others waited.
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

/// Receives the parts of a body, and tells whether its call may keep its slot.
pub(super) trait BodyWatch {
    /// Records that the ingress takes nothing for now.
    fn record_stall(&self);

    /// Records the time for which the ingress took nothing.
    fn record_stalled_time(&self, stalled: Duration);

    /// Receives a part before it is forwarded.
    fn receive(&mut self, part: &Bytes);

    /// Records that a part of this many bytes was forwarded.
    fn record_forwarded(&mut self, bytes: u64);

    /// Returns whether other calls wait for the slot.
    fn is_slot_wanted(&self) -> bool;
}

/// Streams the body of an answer to the ingress.
///
/// A body of stated length may take any time as long as it makes progress.
pub(super) async fn stream_body(
    answer: &mut Answer,
    limits: BodyLimits,
    writer: &mut FrameWriter,
    watch: &mut impl BodyWatch,
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
        watch.receive(&chunk);
        let started = Instant::now();
        let forwarded = tokio::select! {
            biased;
            forwarded = writer.write_bytes(chunk) => Some(forwarded),
            () = until_given_up(idle, watch) => None,
        };
        let took = started.elapsed();
        if took >= STALL_NOTICE_TIME {
            watch.record_stalled_time(took);
        }
        let Some(forwarded) = forwarded else {
            return BodyEnd::CallerIdle;
        };
        match forwarded {
            Ok(()) => watch.record_forwarded(bytes),
            Err(_) => return BodyEnd::CallerGone,
        }
    }
}

/// Waits until a call without progress gives up its slot: after [`STALL_TIME`] if other calls wait for it, and
/// after the idle timeout in any case.
async fn until_given_up(idle: Duration, watch: &impl BodyWatch) {
    let started = Instant::now();
    let end = started + idle;
    sleep_until(end.min(started + STALL_NOTICE_TIME)).await;
    watch.record_stall();
    sleep_until(end.min(started + STALL_TIME)).await;
    while Instant::now() < end && !watch.is_slot_wanted() {
        sleep_until(end.min(Instant::now() + STALL_CHECK_INTERVAL)).await;
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
