//! Delegation of a request by the owner of its idempotency key to another VM of the service.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use rand::seq::SliceRandom;
use tokio::time::{timeout, timeout_at};
use wagtaillever_coordination::Upstream;

use crate::{
    sidecar::{
        call::Call,
        execute::{Execution, Recorder, RequestBody},
        refuse::unknown,
        shared::Shared,
    },
    transport::{Connection, FrameReader, FrameWriter, TransportError},
    wire::{CallHead, CallStage, Load, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Maximum number of other VMs tried for one request.
const MAX_ATTEMPTS: usize = 2;
/// Lower bound of the idle timeout of a body.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delegates a request to another VM after it did not run here because of `refusal`.
///
/// # Errors
///
/// Returns a refusal if there is no answer from an upstream.
pub(super) async fn delegate(
    shared: &Rc<Shared>,
    call: &Call,
    body: &RequestBody,
    writer: &mut FrameWriter,
    recorder: &mut impl Recorder,
    refusal: Refusal,
) -> Result<Execution, Refusal> {
    let mut last_refusal = refusal;
    let gate = shared.context().stop_gate();
    for (upstream, address) in candidates(shared, call).into_iter().take(MAX_ATTEMPTS) {
        if !is_body_available(call, body) {
            break;
        }
        let connected = tokio::select! {
            biased;
            () = gate.wait_until_refused(call.deadline) => break,
            connected = shared.links().get(address) => connected,
        };
        let Ok(connection) = connected else {
            continue;
        };
        metrics::counter!("calls_delegated_total").increment(1);
        let sent = send_call(&connection, shared, call, &upstream, body);
        let replied = tokio::select! {
            biased;
            replied = timeout_at(call.deadline.into(), sent) => replied,
            () = shared.wait_for_cut() => return Err(unknown(RefusalReason::Draining)),
            () = writer.wait_for_reset() => return Ok(Execution::Abandoned { written: true }),
        };
        let replied = replied.map_err(|_| unknown(RefusalReason::Deadline))?;
        match replied {
            Ok((head @ ReplyHead::Answer { .. }, reader)) => {
                return Ok(relay_reply(shared, call, head, reader, writer, recorder).await);
            }
            Ok((ReplyHead::Refused { refusal, .. }, _)) => {
                if refusal.outcome != Outcome::DidNotRun {
                    return Err(refusal);
                }
                last_refusal = refusal;
            }
            Err(DelegationError::NotSent) => {}
            Err(DelegationError::Broken) => return Err(unknown(RefusalReason::Broken)),
        }
    }
    Err(last_refusal)
}

/// Reason why another VM did not reply.
enum DelegationError {
    /// The call head was not sent completely.
    NotSent,
    /// The stream broke after the call head was sent.
    Broken,
}

impl From<TransportError> for DelegationError {
    fn from(_: TransportError) -> Self {
        Self::Broken
    }
}

/// Returns the upstreams of the service on other VMs that are not drained, those in the same
/// failure domain first.
fn candidates(shared: &Shared, call: &Call) -> Vec<(Arc<Upstream>, SocketAddr)> {
    let view = shared.context().view().load();
    let settings = shared.context().settings();
    let mut candidates: Vec<_> = view
        .config
        .upstreams_of(&call.service)
        .filter(|upstream| upstream.vm != settings.vm)
        .filter(|upstream| !view.drains.is_drained(&upstream.vm, &upstream.domain))
        .filter_map(|upstream| {
            let address = view.vms.get(&upstream.vm)?.address;
            Some((Arc::clone(upstream), address))
        })
        .collect();
    candidates.shuffle(&mut rand::rng());
    candidates.sort_by_key(|(upstream, _)| upstream.domain != settings.domain);
    candidates
}

fn is_body_available(call: &Call, body: &RequestBody) -> bool {
    call.head.length == Some(0) || body.borrow().is_some()
}

async fn send_call(
    connection: &Connection,
    shared: &Shared,
    call: &Call,
    upstream: &Upstream,
    body: &RequestBody,
) -> Result<(ReplyHead, FrameReader), DelegationError> {
    let opened = connection.open_stream("call").await;
    let (mut writer, pending) = opened.map_err(|_| DelegationError::NotSent)?;
    let head = CallHead {
        stage: CallStage::Execute,
        upstream: upstream.name.to_string(),
        sequence: shared.sequence(),
        left_ms: u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX),
        ..call.head.clone()
    };
    let sent = writer.write_frame(&head).await;
    sent.map_err(|_| DelegationError::NotSent)?;
    let reply = async {
        let mut reader = pending.ready().await?;
        let head = reader.read_frame::<ReplyHead>().await?;
        Ok((head.ok_or(TransportError::Ended)?, reader))
    };
    let upload = send_body(call, body, writer);
    futures_util::pin_mut!(reply, upload);
    match select(reply, upload).await {
        Either::Left((reply, _)) => reply,
        Either::Right(((), reply)) => reply.await,
    }
}

/// Sends the body, and resets the stream if the body breaks off.
async fn send_body(call: &Call, body: &RequestBody, mut writer: FrameWriter) {
    if call.head.length == Some(0) {
        let _ = writer.finish();
        return;
    }
    let Some(mut reader) = body.borrow_mut().take() else {
        return writer.reset();
    };
    loop {
        match reader.read_bytes().await {
            Ok(Some(part)) => {
                if writer.write_bytes(part).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                let _ = writer.finish();
                return;
            }
            Err(_) => return writer.reset(),
        }
    }
}

async fn relay_reply(
    shared: &Shared,
    call: &Call,
    head: ReplyHead,
    mut reader: FrameReader,
    writer: &mut FrameWriter,
    recorder: &mut impl Recorder,
) -> Execution {
    let ReplyHead::Answer {
        status,
        headers,
        length,
        ..
    } = head
    else {
        return Execution::Truncated;
    };
    recorder.head(status, &headers, length);
    let head = ReplyHead::Answer {
        status,
        headers,
        length,
        load: Load::default(),
        sequence: shared.sequence(),
    };
    if writer.write_frame(&head).await.is_err() {
        return Execution::Truncated;
    }
    let idle = Duration::from_millis(call.head.left_ms).max(MIN_IDLE_TIMEOUT);
    loop {
        let part = tokio::select! {
            biased;
            part = timeout(idle, reader.read_bytes()) => part,
            () = writer.wait_for_reset() => return Execution::Truncated,
        };
        let part = match part {
            Ok(Ok(Some(part))) => part,
            Ok(Ok(None)) => return Execution::Complete,
            _ => return Execution::Truncated,
        };
        recorder.part(&part);
        if !matches!(timeout(idle, writer.write_bytes(part)).await, Ok(Ok(()))) {
            return Execution::Truncated;
        }
    }
}
