//! One attempt of a call at one sidecar.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

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

/// Longest time for which a call that can go elsewhere waits for a connection.
const OPEN_PATIENCE: Duration = Duration::from_millis(250);

/// What became of an attempt.
pub(super) enum AttemptEnd {
    /// The sidecar replied.
    Replied(Reply),
    /// The sidecar can't be reached; nothing was sent.
    Unreachable,
    /// The stream broke before the whole head was sent, so the sidecar can't have acted on it.
    NotSent,
    /// The sidecar's transport turned the stream away before any service saw it.
    NotTaken,
    /// The stream broke after the head was sent.
    Broken,
    /// The time of the attempt ran out.
    TimedOut {
        /// Whether the head was sent.
        is_sent: bool,
    },
}

/// Reply of a sidecar and the parts that its body still needs.
pub(super) struct Reply {
    /// Head of the reply.
    pub(super) head: ReplyHead,
    /// Where the body comes from.
    pub(super) reader: FrameReader,
    /// Rest of the request's body on its way to the sidecar.
    pub(super) upload: Option<LocalBoxFuture<'static, ()>>,
    /// Channel, which stays open as long as the reply.
    pub(super) channel: Rc<Channel>,
}

/// Sends a call to the sidecar at an address and waits for the head of its reply.
pub(super) async fn attempt(
    pool: &Pool,
    address: SocketAddr,
    head: &CallHead,
    body: &RequestBody,
    until: Instant,
) -> AttemptEnd {
    let is_sent = Cell::new(false);
    let exchange = exchange(pool, address, head, body, &is_sent);
    let ended = timeout_at(until, exchange).await;
    let is_sent = is_sent.get();
    ended.unwrap_or(AttemptEnd::TimedOut { is_sent })
}

/// Returns the channel to an address; a call that can go elsewhere doesn't wait long for it.
async fn channel(
    pool: &Pool,
    address: SocketAddr,
    stage: CallStage,
) -> Result<Rc<Channel>, Unreachable> {
    if stage == CallStage::Decide {
        return pool.get(address).await;
    }
    let channel = timeout(OPEN_PATIENCE, pool.get(address)).await;
    channel.unwrap_or(Err(Unreachable))
}

async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    head: &CallHead,
    body: &RequestBody,
    is_sent: &Cell<bool>,
) -> AttemptEnd {
    let Ok(channel) = channel(pool, address, head.stage).await else {
        return AttemptEnd::Unreachable;
    };
    channel.begin_call();
    let Ok((mut writer, pending)) = channel.connection().open("call").await else {
        return AttemptEnd::NotSent;
    };
    if writer.frame(head).await.is_err() {
        return AttemptEnd::NotSent;
    }
    is_sent.set(true);
    let mut upload = Some(body.clone().send(writer).boxed_local());
    let reply = async {
        let mut reader = pending.ready().await?;
        let head = reader.frame::<ReplyHead>().await?;
        Ok((head.ok_or(TransportError::Ended)?, reader))
    };
    let reply = drive(reply, &mut upload);
    let reply = tokio::select! {
        biased;
        reply = reply => reply,
        // A call that may run more than once need not wait for a sidecar that may be gone.
        () = channel.suspected(), if head.idempotent => Err(TransportError::Ended),
    };
    match reply {
        Ok((head, reader)) => AttemptEnd::Replied(Reply {
            head,
            reader,
            upload,
            channel,
        }),
        Err(err) if is_not_taken(&err) => AttemptEnd::NotTaken,
        Err(_) => AttemptEnd::Broken,
    }
}

/// Runs a future while the upload goes on beside it.
pub(super) async fn drive<T>(
    future: impl Future<Output = T>,
    upload: &mut Option<LocalBoxFuture<'static, ()>>,
) -> T {
    tokio::pin!(future);
    if let Some(rest) = upload {
        tokio::select! {
            biased;
            output = &mut future => return output,
            () = rest => {}
        }
        *upload = None;
    }
    future.await
}

/// Returns whether the other side states that no service saw the stream.
fn is_not_taken(err: &TransportError) -> bool {
    match err {
        TransportError::NoService => true,
        TransportError::Broken { source } => {
            let is_refused = source.reason() == Some(h2::Reason::REFUSED_STREAM);
            source.is_remote() && (is_refused || source.is_go_away())
        }
        _ => false,
    }
}
