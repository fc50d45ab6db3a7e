//! Handler of `/call` streams from ingresses.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use futures_util::future::LocalBoxFuture;
use log::{debug, info};
use tokio::time::timeout;

use crate::{
    mutant::{self, Mutant},
    sidecar::{
        call::Call,
        decide::decide,
        execute::{Execution, NoRecorder, RequestBody, execute},
        refuse::did_not_run,
        shared::Shared,
        upstream::LocalUpstream,
    },
    transport::{FrameReader, FrameWriter, StreamHandler},
    view::Phase,
    wire::{CallHead, Load, Refusal, RefusalReason, ReplyHead},
};

/// Handler of `/call` streams.
pub(super) struct CallHandler {
    shared: Rc<Shared>,
}

/// Fields of the call head for the log line of a refused call.
struct CallSummary {
    call: String,
    upstream: String,
    priority: u8,
    target_ms: Option<u32>,
    waited_ms: u32,
    left_ms: u64,
}

impl CallSummary {
    fn new(head: &CallHead) -> Self {
        Self {
            call: head.call.clone(),
            upstream: head.upstream.clone(),
            priority: head.priority,
            target_ms: head.target_ms,
            waited_ms: head.waited_ms,
            left_ms: head.left_ms,
        }
    }
}

/// Longest time that a call waits until the configuration that routed it is in force here.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout for receiving the head of a call.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

impl StreamHandler for CallHandler {
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            let guard = self.shared.begin_call();
            match timeout(HEAD_TIMEOUT, reader.read_frame::<CallHead>()).await {
                Ok(Ok(Some(head))) => {
                    guard.name(&head.call, &head.upstream);
                    self.serve(head, reader, writer).await;
                }
                Ok(Err(err)) => {
                    debug!("failed to read the call head from {peer}: {err}");
                    writer.reset();
                }
                _ => writer.reset(),
            }
        })
    }
}

impl CallHandler {
    pub(super) fn new(shared: Rc<Shared>) -> Self {
        Self { shared }
    }

    async fn serve(&self, head: CallHead, reader: FrameReader, mut writer: FrameWriter) {
        let summary = CallSummary::new(&head);
        let body = Rc::new(RefCell::new(Some(reader)));
        match self.run(head, &body, &mut writer).await {
            Ok(Execution::Complete) => {
                let _ = writer.finish();
            }
            Ok(Execution::Truncated | Execution::Abandoned { .. }) => writer.reset(),
            Err(refusal) => self.refuse(refusal, &summary, writer).await,
        }
    }

    async fn refuse(&self, refusal: Refusal, summary: &CallSummary, mut writer: FrameWriter) {
        let upstream = self.shared.upstreams().get(&summary.upstream);
        let load = upstream.as_ref().map_or(Load::default(), |it| it.load());
        let link_backlog = upstream
            .as_ref()
            .map_or(Duration::ZERO, |it| it.admission().borrow().link_backlog());
        let stated = upstream.map(|it| it.statements().belief());
        if let Some(left_out) = self.shared.take_log_line() {
            info!(
                call = summary.call.as_str(), upstream = summary.upstream.as_str(),
                reason:? = refusal.reason, outcome:? = refusal.outcome,
                after_ms = refusal.after_ms, active = load.active, limit = load.limit,
                queued = load.queued, link_ms = link_backlog.as_millis() as u64,
                priority = summary.priority, target_ms = summary.target_ms,
                waited_ms = summary.waited_ms, left_ms = summary.left_ms,
                stated_limit = stated.and_then(|(belief, _)| belief.limit_per_second()),
                is_leaving = stated.is_some_and(|(belief, _)| belief.is_leaving),
                stated_ms = stated.map(|(_, since)| since.elapsed().as_millis() as u64), left_out;
                "call refused by sidecar"
            );
        }
        let reply = ReplyHead::Refused {
            refusal,
            load,
            sequence: self.shared.sequence(),
        };
        if writer.write_frame(&reply).await.is_ok() {
            let _ = writer.finish();
        }
    }

    async fn run(
        &self,
        head: CallHead,
        body: &RequestBody,
        writer: &mut FrameWriter,
    ) -> Result<Execution, Refusal> {
        let call = Call::new(head)?;
        self.check_node(&call)?;
        let listed = self.listed_upstream(&call);
        if listed.is_none() {
            self.wait_for_config(&call).await?;
        }
        if let Some(key) = call.key_to_decide() {
            return decide(&self.shared, &call, key, body, writer).await;
        }
        let upstream = match listed {
            Some(upstream) => upstream,
            None => self.find_upstream(&call)?,
        };
        execute(
            &self.shared,
            &upstream,
            &call,
            body,
            writer,
            &mut NoRecorder,
        )
        .await
    }

    fn check_node(&self, call: &Call) -> Result<(), Refusal> {
        let phase = self.shared.context().view().load().phase;
        if self.shared.is_stopping() || phase == Phase::Stopping {
            return Err(did_not_run(RefusalReason::Draining));
        }
        if !phase.can_accept_calls() || self.shared.is_quarantined() {
            return Err(did_not_run(RefusalReason::NotReady));
        }
        if call.time_left().is_zero() {
            return Err(did_not_run(RefusalReason::Deadline));
        }
        Ok(())
    }

    /// Returns the upstream of a call if the platform lists it on this VM. The call then need not
    /// wait for the configuration that routed it, which adds nothing about a listed upstream.
    fn listed_upstream(&self, call: &Call) -> Option<Rc<LocalUpstream>> {
        let found = self.find_upstream(call).ok();
        found.filter(|upstream| upstream.spec().start.is_some())
    }

    fn find_upstream(&self, call: &Call) -> Result<Rc<LocalUpstream>, Refusal> {
        self.shared.refresh();
        let upstream = self.shared.upstreams().get(&call.head.upstream);
        upstream
            .filter(|upstream| {
                upstream.spec().service == call.service || mutant::is_enabled(Mutant::Misroute)
            })
            .ok_or_else(|| did_not_run(RefusalReason::NoUpstream))
    }

    /// Waits until the configuration that routed the call is in force here.
    async fn wait_for_config(&self, call: &Call) -> Result<(), Refusal> {
        if self.shared.sequence() < call.sequence().0 {
            let mut views = self.shared.context().view().watch();
            let reached = views.wait_for(|view| view.config.sequence >= call.sequence());
            let caught_up = timeout(CATCH_UP_TIMEOUT.min(call.time_left()), reached).await;
            caught_up
                .map_err(|_| did_not_run(RefusalReason::NotReady))?
                .ok();
        }
        self.shared.refresh();
        Ok(())
    }
}
