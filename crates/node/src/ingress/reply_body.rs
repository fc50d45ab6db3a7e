//! Streaming of reply bodies to callers.

use std::{rc::Rc, time::Duration};

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use bytes::Bytes;
use futures_util::{
    Stream,
    future::LocalBoxFuture,
    stream::{self, StreamExt},
};
use snafu::Snafu;
use tokio::time::timeout;

use crate::{
    ingress::{
        attempt::{Reply, with_upload},
        channel::Channel,
        guards::{CallGuard, Permit},
        open_calls::OpenCall,
    },
    mutant::{self, Mutant},
    transport::FrameReader,
};

/// Reason for aborting a reply body. The caller's connection is then closed without terminating the
/// body, so that the caller can detect the truncation.
#[derive(Debug, Snafu)]
pub(super) enum BodyError {
    /// The stream from the sidecar broke.
    #[snafu(display("reply stream from the sidecar broke"))]
    Broken,
    /// The length of the body differs from the one announced in the head.
    #[snafu(display("reply length differs from the announced length"))]
    LengthMismatch,
    /// No data arrived within the idle timeout.
    #[snafu(display("no reply data received within the idle timeout"))]
    IdleTimeout,
}

struct ReplyBody {
    reader: FrameReader,
    upload: Option<LocalBoxFuture<'static, ()>>,
    remaining: Option<u64>,
    idle_timeout: Duration,
    /// Record of the call until the whole answer was received.
    open_call: Option<OpenCall>,
    _guards: (CallGuard, Permit, Rc<Channel>),
}

/// Returns the response body that streams a reply and holds the guards until its end.
pub(super) fn reply_body(
    reply: Reply,
    length: Option<u64>,
    idle_timeout: Duration,
    (guard, permit, open_call): (CallGuard, Permit, OpenCall),
) -> BoxBody {
    let body = ReplyBody {
        reader: reply.reader,
        upload: reply.upload,
        remaining: length,
        idle_timeout,
        open_call: Some(open_call),
        _guards: (guard, permit, reply.channel),
    };
    let length = length.filter(|_| !mutant::is_enabled(Mutant::ShortAnswers));
    let chunks = stream::unfold(Some(body), next_item).boxed_local();
    boxed_body(chunks, length)
}

fn boxed_body(
    chunks: impl Stream<Item = Result<Bytes, BodyError>> + Unpin + 'static,
    length: Option<u64>,
) -> BoxBody {
    match length {
        Some(length) => BoxBody::new(SizedStream::new(length, chunks)),
        None => BoxBody::new(BodyStream::new(chunks)),
    }
}

async fn next_item(
    body: Option<ReplyBody>,
) -> Option<(Result<Bytes, BodyError>, Option<ReplyBody>)> {
    let mut body = body?;
    match body.next_chunk().await {
        Ok(Some(chunk)) => Some((Ok(chunk), Some(body))),
        Ok(None) => {
            body.finish_call();
            None
        }
        Err(err) => {
            if let Some(open_call) = body.open_call {
                open_call.break_off();
            }
            Some((Err(err), None))
        }
    }
}

impl ReplyBody {
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, BodyError> {
        let chunk = timeout(self.idle_timeout, self.reader.read_bytes());
        let chunk = with_upload(chunk, &mut self.upload).await;
        let chunk = chunk.map_err(|_| BodyError::IdleTimeout)?;
        if mutant::is_enabled(Mutant::ShortAnswers) {
            return Ok(chunk.unwrap_or_default());
        }
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        self.count_bytes(chunk.as_ref())?;
        Ok(chunk)
    }

    fn finish_call(&mut self) {
        if let Some(open_call) = self.open_call.take() {
            open_call.finish();
        }
    }

    fn count_bytes(&mut self, chunk: Option<&Bytes>) -> Result<(), BodyError> {
        let Some(remaining) = &mut self.remaining else {
            return Ok(());
        };
        let received = chunk.map_or(0, |chunk| chunk.len() as u64);
        *remaining = remaining
            .checked_sub(received)
            .ok_or(BodyError::LengthMismatch)?;
        if *remaining == 0 {
            self.finish_call();
            return Ok(());
        }
        if chunk.is_none() {
            return Err(BodyError::LengthMismatch);
        }
        Ok(())
    }
}

/// Returns an empty body for a response that still states a length, as one to a `HEAD` request.
pub(super) fn empty_body(length: Option<u64>) -> BoxBody {
    boxed_body(stream::empty(), length)
}
