//! A single attempt to send a call to a sidecar.

use std::{cell::Cell, future::pending, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::{FutureExt, LocalBoxFuture};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    ingress::{
        body::RequestBody,
        channel::Channel,
        pool::{Pool, Unreachable},
    },
    transport::{FrameReader, TransportError},
    wire::{CallHead, CallStage, ReplyHead},
};

/// Connection timeout of calls that another sidecar can run as well.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// The sidecar sent the head of a reply.
    Replied(Reply),
    /// No connection to the sidecar could be opened; nothing was sent.
    Unreachable,
    /// The stream broke before the call head was completely sent, so the sidecar can't have run the
    /// call.
    NotSent,
    /// This node stops and gave the call up before its head was sent.
    Stopped,
    /// The sidecar's transport refused the stream before it reached a service.
    StreamRefused,
    /// The stream broke after the call head was sent.
    Broken(BreakCause),
    /// The deadline passed.
    TimedOut {
        /// Whether the call head was sent.
        is_sent: bool,
    },
}

/// Why a stream broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// The sidecar did not answer pings.
    NoPong,
    /// This node stops and gave up the call.
    Stop,
    /// The connection to the sidecar was lost.
    ConnectionLost,
    /// The sidecar reset the stream.
    Reset,
    /// The stream ended before the head of a reply.
    Ended,
    /// The head of the reply can't be decoded.
    Undecodable,
}

impl BreakCause {
    /// Returns the cause as used in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NoPong => "no-pong",
            Self::Stop => "stop",
            Self::ConnectionLost => "connection-lost",
            Self::Reset => "reset",
            Self::Ended => "ended",
            Self::Undecodable => "undecodable",
        }
    }

    fn of(err: &TransportError) -> Self {
        match err {
            TransportError::Broken { source } if source.is_reset() => Self::Reset,
            TransportError::Broken { .. } => Self::ConnectionLost,
            TransportError::Decode { .. } | TransportError::TooLarge { .. } => Self::Undecodable,
            _ => Self::Ended,
        }
    }
}

impl AttemptResult {
    /// Returns why the stream broke, if it did.
    pub(super) fn break_cause(&self) -> Option<BreakCause> {
        match self {
            Self::Broken(cause) => Some(*cause),
            Self::Stopped => Some(BreakCause::Stop),
            _ => None,
        }
    }
}

/// Head of a sidecar's reply and what is needed to stream its body.
pub(super) struct Reply {
    pub(super) head: ReplyHead,
    /// Source of the body.
    pub(super) reader: FrameReader,
    /// Upload of the request body, unless it has finished.
    pub(super) upload: Option<LocalBoxFuture<'static, ()>>,
    /// Keeps the connection open until the reply ends.
    pub(super) channel: Rc<Channel>,
}

/// Sends a call to the sidecar at an address and waits for the head of its reply, until the deadline
/// or until a stop cuts off calls. `refused` completes when a stop no longer passes the call on; an attempt
/// whose request is not whole by then ends.
pub(super) async fn send_call(
    pool: &Pool,
    address: SocketAddr,
    head: &CallHead,
    body: &RequestBody,
    deadline: Instant,
    cut: impl Future<Output = ()>,
    refused: impl Future<Output = ()>,
) -> AttemptResult {
    let is_sent = Cell::new(false);
    let exchange = timeout_at(deadline, exchange(pool, address, head, body, &is_sent));
    let refused_in_part = async {
        refused.await;
        if is_sent.get() && body.is_whole() {
            pending().await
        }
    };
    let result = tokio::select! {
        biased;
        result = exchange => result,
        () = cut => Ok(cut_result(is_sent.get())),
        () = refused_in_part => Ok(cut_result(is_sent.get())),
    };
    result.unwrap_or(AttemptResult::TimedOut {
        is_sent: is_sent.get(),
    })
}

/// Returns the result of an attempt that a stop cuts off.
fn cut_result(is_sent: bool) -> AttemptResult {
    if is_sent {
        AttemptResult::Broken(BreakCause::Stop)
    } else {
        AttemptResult::Stopped
    }
}

/// Returns the channel to an address. Only the owner of an idempotency key is waited for until the
/// deadline; other calls can go to another sidecar and wait for [`CONNECT_TIMEOUT`] at most.
async fn channel(
    pool: &Pool,
    address: SocketAddr,
    stage: CallStage,
) -> Result<Rc<Channel>, Unreachable> {
    if stage == CallStage::Decide {
        return pool.get(address).await;
    }
    let channel = timeout(CONNECT_TIMEOUT, pool.get(address)).await;
    channel.unwrap_or(Err(Unreachable))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    head: &CallHead,
    body: &RequestBody,
    is_sent: &Cell<bool>,
) -> AttemptResult {
    let Ok(channel) = channel(pool, address, head.stage).await else {
        return AttemptResult::Unreachable;
    };
    channel.notify_call_start();
    let Ok((mut writer, pending)) = channel.connection().open_stream("call").await else {
        return AttemptResult::NotSent;
    };
    if writer.write_frame(head).await.is_err() {
        return AttemptResult::NotSent;
    }
    is_sent.set(true);
    let mut upload = Some(body.clone().send(writer).boxed_local());
    let reply = async {
        let mut reader = pending.ready().await?;
        let head = reader.read_frame::<ReplyHead>().await?;
        Ok((head.ok_or(TransportError::Ended)?, reader))
    };
    let reply = with_upload(reply, &mut upload);
    let reply = tokio::select! {
        biased;
        reply = reply => reply,
        // An idempotent call can be resent instead of waiting for a suspected sidecar.
        () = channel.wait_suspected(), if head.idempotent => {
            return AttemptResult::Broken(BreakCause::NoPong);
        }
    };
    match reply {
        Ok((head, reader)) => AttemptResult::Replied(Reply {
            head,
            reader,
            upload,
            channel,
        }),
        Err(err) if is_stream_refused(&err) => AttemptResult::StreamRefused,
        Err(err) => AttemptResult::Broken(BreakCause::of(&err)),
    }
}

/// Runs a future to completion and the upload concurrently with it.
pub(super) async fn with_upload<T>(
    future: impl Future<Output = T>,
    upload: &mut Option<LocalBoxFuture<'static, ()>>,
) -> T {
    tokio::pin!(future);
    if let Some(running) = upload {
        tokio::select! {
            biased;
            output = &mut future => return output,
            () = running => {}
        }
        *upload = None;
    }
    future.await
}

/// Returns whether the remote side reports that no service received the stream.
fn is_stream_refused(err: &TransportError) -> bool {
    match err {
        TransportError::NoService => true,
        TransportError::Broken { source } => {
            let is_refused = source.reason() == Some(h2::Reason::REFUSED_STREAM);
            source.is_remote() && (is_refused || source.is_go_away())
        }
        _ => false,
    }
}
