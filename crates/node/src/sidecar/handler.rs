//! Serves the `/call` streams of ingresses.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use log::debug;
use tokio::time::{timeout, timeout_at};

use crate::{
    sidecar::{
        answer::{BodyEnd, stream_body},
        call::Call,
        forward::{Answer, forward},
        headers,
        refuse::{did_not_run, unknown},
        shared::Shared,
        upstream::LocalUpstream,
    },
    transport::{FrameReader, FrameWriter, StreamHandler},
    view::Phase,
    wire::{CallHead, Load, Refusal, RefusalReason, ReplyHead},
};

/// Handler of the `/call` streams.
pub(super) struct CallHandler {
    shared: Rc<Shared>,
}

/// How a call ended without a whole answer.
enum Stop {
    /// A refusal is told to the ingress.
    Refuse(Refusal),
    /// The stream is reset.
    Reset,
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refuse(refusal)
    }
}

/// Longest time that a call waits for the configuration that routed it.
const CATCH_UP: Duration = Duration::from_millis(200);
/// Longest time until the head of a call has arrived.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

impl StreamHandler for CallHandler {
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            let _guard = self.shared.enter();
            match timeout(HEAD_TIMEOUT, reader.frame::<CallHead>()).await {
                Ok(Ok(Some(head))) => self.serve(head, reader, writer).await,
                Ok(Err(err)) => {
                    debug!("call of {peer} has no head: {err}");
                    writer.reset();
                }
                _ => writer.reset(),
            }
        })
    }
}

impl CallHandler {
    /// Returns a handler over the state of the sidecar.
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        Self { shared }
    }

    async fn serve(&self, head: CallHead, reader: FrameReader, mut writer: FrameWriter) {
        let upstream = self.shared.upstreams().get(&head.upstream);
        let load = || upstream.as_ref().map_or(Load::default(), |u| u.load());
        let stop = match self.run(head, reader, &mut writer).await {
            Ok(()) => return drop(writer.end()),
            Err(stop) => stop,
        };
        match stop {
            Stop::Reset => writer.reset(),
            Stop::Refuse(refusal) => {
                let reply = ReplyHead::Refused {
                    refusal,
                    load: load(),
                    sequence: self.shared.sequence(),
                };
                if writer.frame(&reply).await.is_ok() {
                    let _ = writer.end();
                }
            }
        }
    }

    async fn run(
        &self,
        head: CallHead,
        reader: FrameReader,
        writer: &mut FrameWriter,
    ) -> Result<(), Stop> {
        let call = Call::new(head)?;
        let upstream = self.check(&call).await?;
        let slots = std::sync::Arc::clone(upstream.slots());
        let permit = timeout_at(call.deadline.into(), slots.acquire_owned()).await;
        let _permit = permit.map_err(|_| did_not_run(RefusalReason::Deadline))?;
        let answer = tokio::select! {
            biased;
            answer = forward(&upstream, &call, reader) => answer,
            () = writer.closed() => return Err(Stop::Reset),
        };
        let answer = answer.map_err(|failure| failure.refusal())?;
        self.reply(answer, &call, &upstream, writer).await
    }

    async fn check(&self, call: &Call) -> Result<Rc<LocalUpstream>, Refusal> {
        if self.shared.is_stopping() {
            return Err(did_not_run(RefusalReason::Draining));
        }
        if self.shared.context().view().load().phase != Phase::Serving {
            return Err(did_not_run(RefusalReason::NotReady));
        }
        if call.left().is_zero() {
            return Err(did_not_run(RefusalReason::Deadline));
        }
        self.catch_up(call).await?;
        let upstream = self.shared.upstreams().get(&call.head.upstream);
        let upstream = upstream.ok_or_else(|| did_not_run(RefusalReason::NoUpstream))?;
        if upstream.spec().service != call.service {
            return Err(did_not_run(RefusalReason::NoUpstream));
        }
        let settings = self.shared.context().settings();
        let view = self.shared.context().view().load();
        if view.drains.is_drained(&settings.vm, &settings.domain) {
            return Err(did_not_run(RefusalReason::Draining));
        }
        Ok(upstream)
    }

    /// Waits until the configuration that routed the call is in force here.
    async fn catch_up(&self, call: &Call) -> Result<(), Refusal> {
        let mut views = self.shared.context().view().watch();
        let wait = CATCH_UP.min(call.left());
        let caught_up = timeout(
            wait,
            views.wait_for(|view| view.config.sequence >= call.sequence()),
        );
        if caught_up.await.is_err() {
            return Err(did_not_run(RefusalReason::NotReady));
        }
        self.shared.refresh();
        Ok(())
    }

    async fn reply(
        &self,
        mut answer: Answer,
        call: &Call,
        upstream: &LocalUpstream,
        writer: &mut FrameWriter,
    ) -> Result<(), Stop> {
        let head = ReplyHead::Answer {
            status: answer.response.status().as_u16(),
            headers: headers::for_caller(answer.response.headers()),
            length: answer.length,
            load: upstream.load(),
            sequence: self.shared.sequence(),
        };
        if writer.frame(&head).await.is_err() {
            return Err(Stop::Reset);
        }
        match stream_body(&mut answer, call, writer, &mut |_| {}).await {
            BodyEnd::Whole => Ok(()),
            _ => Err(Stop::Reset),
        }
    }
}
