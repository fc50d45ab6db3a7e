//! Runs a request on an upstream of this VM.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use wagtaillever_coordination::{AdmissionRequest, SampleResult, Suspicion};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    invariant::must_hold,
    sidecar::{
        admit::{Permit, admit},
        answer::{BodyEnd, stream_body},
        call::Call,
        forward::{Answer, Failure, forward},
        headers, probe,
        refuse::{did_not_run, with_outcome},
        shared::Shared,
        upstream::LocalUpstream,
    },
    transport::{FrameReader, FrameWriter},
    wire::{Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Body of a request, taken when its first byte is needed.
pub(super) type RequestBody = Rc<RefCell<Option<FrameReader>>>;

/// Shortest time without progress after which a body is given up.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// How a request ended that was passed to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// The ingress has the whole answer.
    Whole,
    /// The upstream answered, but the ingress has not the whole answer.
    Cut,
    /// The ingress went away before there was an answer.
    Abandoned {
        /// Whether anything may have been written to the upstream.
        written: bool,
    },
}

/// Receives the answer while it is passed on.
pub(super) trait Recorder {
    /// Takes in the head of the answer.
    fn head(&mut self, status: u16, headers: &[(String, Vec<u8>)], length: Option<u64>);

    /// Takes in the next part of the body.
    fn part(&mut self, part: &Bytes);
}

/// Keeps nothing.
pub(super) struct NoRecorder;

impl Recorder for NoRecorder {
    fn head(&mut self, _status: u16, _headers: &[(String, Vec<u8>)], _length: Option<u64>) {}

    fn part(&mut self, _part: &Bytes) {}
}

/// Runs a request on an upstream of this VM and streams the answer back.
///
/// # Errors
///
/// Returns a refusal when there is no answer; nothing was written to `writer` then.
pub(super) async fn execute(
    shared: &Shared,
    upstream: &Rc<LocalUpstream>,
    call: &Call,
    body: &RequestBody,
    writer: &mut FrameWriter,
    recorder: &mut impl Recorder,
) -> Result<Execution, Refusal> {
    must_hold("misrouted", upstream.spec().service == call.service);
    if shared.is_drained() {
        return Err(did_not_run(RefusalReason::Draining));
    }
    let permit = tokio::select! {
        biased;
        permit = enter(shared, upstream, call) => permit?,
        () = writer.closed() => return Ok(Execution::Abandoned { written: false }),
    };
    let pauses = shared.pauses();
    let answer = tokio::select! {
        biased;
        answer = forward(upstream, call, body, shared.dialect()) => answer,
        () = writer.closed() => return Ok(Execution::Abandoned { written: true }),
    };
    match answer {
        Ok(answer) => {
            let is_good = !answer.response.status().is_server_error();
            permit.answered(is_good, answer.expected);
            upstream.answered_by(answer.start.as_deref());
            Ok(reply(shared, upstream, call, answer, permit, writer, recorder).await)
        }
        Err(failure) => {
            let is_paused = shared.pauses() != pauses;
            learn(upstream, &permit, &failure, is_paused);
            drop(permit);
            Err(failure.refusal())
        }
    }
}

/// Waits for a slot, alone if the request is suspected to crash upstreams.
async fn enter(
    shared: &Shared,
    upstream: &Rc<LocalUpstream>,
    call: &Call,
) -> Result<Permit, Refusal> {
    let fingerprint = call.head.fingerprint;
    let suspicion = shared.suspects().suspicion(fingerprint);
    if suspicion == Suspicion::Refused {
        metrics::counter!("poison_refused_total").increment(1);
        let is_first = call.key.is_none();
        let outcome = if is_first {
            Outcome::DidNotRun
        } else {
            Outcome::Unknown
        };
        return Err(with_outcome(outcome, RefusalReason::Poison));
    }
    let ask = AdmissionRequest {
        caller: xxh3_64(call.caller()),
        deadline: call.deadline,
        target: call.target(),
        expires_at: None,
        rank: call.rank(),
        alone: suspicion == Suspicion::Suspect,
    };
    admit(upstream, ask, fingerprint).await
}

/// Takes note of what a failure shows; a pause of this process shows nothing.
fn learn(upstream: &Rc<LocalUpstream>, permit: &Permit, failure: &Failure, is_paused: bool) {
    if is_paused && matches!(failure, Failure::Deadline { .. }) {
        return;
    }
    permit.failed(failure.sample());
    match failure {
        Failure::Broken => {
            upstream.broke(permit.in_flight());
            probe::start(upstream);
        }
        Failure::Shed { .. } => metrics::counter!("upstream_sheds_total").increment(1),
        _ => {}
    }
}

async fn reply(
    shared: &Shared,
    upstream: &Rc<LocalUpstream>,
    call: &Call,
    mut answer: Answer,
    permit: Permit,
    writer: &mut FrameWriter,
    recorder: &mut impl Recorder,
) -> Execution {
    let status = answer.response.status().as_u16();
    let headers = headers::for_caller(answer.response.headers());
    recorder.head(status, &headers, answer.expected);
    let head = ReplyHead::Answer {
        status,
        headers,
        length: answer.length,
        load: upstream.load(),
        sequence: shared.sequence(),
    };
    if writer.frame(&head).await.is_err() {
        return Execution::Cut;
    }
    let idle = Duration::from_millis(call.head.left_ms).max(MIN_IDLE);
    let end = stream_body(
        &mut answer,
        idle,
        writer,
        &mut |part| recorder.part(part),
        &mut |bytes| permit.passed(bytes),
    )
    .await;
    match end {
        BodyEnd::Whole => {
            permit.completed();
            shared.suspects().completed(call.head.fingerprint);
            return Execution::Whole;
        }
        BodyEnd::Cut => {
            permit.failed(SampleResult::Failed);
            upstream.broke(permit.in_flight());
            probe::start(upstream);
        }
        BodyEnd::CallerGone | BodyEnd::Idle => {}
    }
    Execution::Cut
}
