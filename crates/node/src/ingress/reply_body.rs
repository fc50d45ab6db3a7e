//! Body of a reply on its way to the caller.

use std::{rc::Rc, time::Duration};

use actix_web::body::{BodyStream, BoxBody, SizedStream};
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
        attempt::{Reply, drive},
        channel::Channel,
        guards::{CallGuard, Permit},
    },
    mutant::{self, Mutant},
    transport::FrameReader,
};

/// Why a body breaks off; the caller's connection then ends without the regular end of the body.
#[derive(Debug, Snafu)]
pub(super) enum BodyError {
    /// The sidecar's stream broke.
    #[snafu(display("the reply broke off"))]
    Broken,
    /// The body has another length than its head says.
    #[snafu(display("the reply has another length than announced"))]
    Length,
    /// Nothing arrived for too long.
    #[snafu(display("the reply made no progress"))]
    Idle,
}

struct ReplyBody {
    reader: FrameReader,
    upload: Option<LocalBoxFuture<'static, ()>>,
    left: Option<u64>,
    idle: Duration,
    _guards: (CallGuard, Permit, Rc<Channel>),
}

/// Returns the body of a reply; the guards are held until its end.
pub(super) fn reply_body(
    reply: Reply,
    length: Option<u64>,
    idle: Duration,
    guard: CallGuard,
    permit: Permit,
) -> BoxBody {
    let body = ReplyBody {
        reader: reply.reader,
        upload: reply.upload,
        left: length,
        idle,
        _guards: (guard, permit, reply.channel),
    };
    let length = length.filter(|_| !mutant::is_on(Mutant::ShortAnswers));
    let parts = stream::unfold(Some(body), next_part).boxed_local();
    sized(parts, length)
}

fn sized(
    parts: impl Stream<Item = Result<Bytes, BodyError>> + Unpin + 'static,
    length: Option<u64>,
) -> BoxBody {
    match length {
        Some(length) => BoxBody::new(SizedStream::new(length, parts)),
        None => BoxBody::new(BodyStream::new(parts)),
    }
}

async fn next_part(
    body: Option<ReplyBody>,
) -> Option<(Result<Bytes, BodyError>, Option<ReplyBody>)> {
    let mut body = body?;
    match body.next().await {
        Ok(Some(part)) => Some((Ok(part), Some(body))),
        Ok(None) => None,
        Err(err) => Some((Err(err), None)),
    }
}

impl ReplyBody {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        let part = timeout(self.idle, self.reader.bytes());
        let part = drive(part, &mut self.upload).await;
        let part = part.map_err(|_| BodyError::Idle)?;
        if mutant::is_on(Mutant::ShortAnswers) {
            return Ok(part.unwrap_or_default());
        }
        let part = part.map_err(|_| BodyError::Broken)?;
        self.count(part.as_ref())?;
        Ok(part)
    }

    fn count(&mut self, part: Option<&Bytes>) -> Result<(), BodyError> {
        let Some(left) = &mut self.left else {
            return Ok(());
        };
        let taken = part.map_or(0, |part| part.len() as u64);
        *left = left.checked_sub(taken).ok_or(BodyError::Length)?;
        if part.is_none() && *left > 0 {
            return Err(BodyError::Length);
        }
        Ok(())
    }
}

/// Returns the body of an answer that names a length but has no body.
pub(super) fn no_body(length: Option<u64>) -> BoxBody {
    sized(stream::empty(), length)
}
