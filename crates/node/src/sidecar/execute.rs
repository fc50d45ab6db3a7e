//! Execution of requests on the upstreams of this VM.

use std::{cell::RefCell, future::poll_fn, rc::Rc, task::Poll, time::Duration};

use bytes::Bytes;
use log::{info, warn};
use tokio::time::sleep;
use wagtaillever_coordination::{AdmissionRequest, SampleResult, Suspicion};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    body_budget::BodyBudget,
    invariant::check_invariant,
    sidecar::{
        admit::{Permit, admit},
        answer::{BodyEnd, BodyLimits, BodyWatch, stream_body},
        call::Call,
        forward::{Answer, Failure, UPLOAD_STALL_TIME, forward},
        headers, probe,
        refuse::{self, did_not_run, refused_by_stop, unknown, with_outcome},
        shared::Shared,
        upstream::LocalUpstream,
    },
    transport::{FrameReader, FrameWriter, NoMemory},
    wire::{Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Body of a request, taken when its first byte is read.
pub(super) type RequestBody = Rc<RefCell<Option<FrameReader>>>;

/// Lower bound of the idle timeout of a body.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline of a call at which a body without a stated length is cut off. Callers
/// still get an answer that is late, but not one that never ends.
const UNSIZED_BODY_GRACE: Duration = Duration::from_secs(1);

/// Interval at which a call without its whole body looks for a free slot.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How the execution of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// The ingress received the complete answer.
    Complete,
    /// The upstream answered, but the ingress did not receive the complete answer.
    Truncated,
    /// The ingress closed the stream before there was an answer.
    Abandoned {
        /// Whether anything may have been written to the upstream.
        written: bool,
    },
}

/// Receives a copy of the answer while it is forwarded.
pub(super) trait Recorder {
    /// Receives the head of the answer.
    fn head(&mut self, status: u16, headers: &[(String, Vec<u8>)], length: Option<u64>);

    /// Receives the next part of the body.
    fn part(&mut self, part: &Bytes);
}

/// Recorder that discards the answer.
pub(super) struct NoRecorder;

impl Recorder for NoRecorder {
    fn head(&mut self, _status: u16, _headers: &[(String, Vec<u8>)], _length: Option<u64>) {}

    fn part(&mut self, _part: &Bytes) {}
}

/// Runs a request on an upstream of this VM and streams the answer back.
///
/// # Errors
///
/// Returns a refusal if there is no answer; nothing was written to `writer` in that case.
pub(super) async fn execute(
    shared: &Shared,
    upstream: &Rc<LocalUpstream>,
    call: &Call,
    body: &RequestBody,
    writer: &mut FrameWriter,
    recorder: &mut impl Recorder,
) -> Result<Execution, Refusal> {
    check_invariant("misrouted", upstream.spec().service == call.service);
    if shared.is_drained() || upstream.is_leaving() {
        return Err(did_not_run(RefusalReason::Draining));
    }
    let gate = shared.context().stop_gate();
    if gate.refuses(call.deadline) {
        return Err(refused_by_stop());
    }
    let admitted = async {
        let waited = wait_for_body(shared, upstream, call, body).await;
        waited.map_err(|NoMemory| refuse::no_memory())?;
        acquire_permit(shared, upstream, call).await
    };
    let permit = tokio::select! {
        biased;
        permit = admitted => permit?,
        NoMemory = collect(body, shared.context().body_budget()) => {
            return Err(refuse::no_memory());
        }
        () = gate.wait_until_refused(call.deadline) => return Err(refused_by_stop()),
        () = writer.wait_for_reset() => return Ok(Execution::Abandoned { written: false }),
    };
    let stalls_before = shared.stall_count();
    let answer = tokio::select! {
        biased;
        answer = forward(upstream, call, body, shared.dialect(), gate) => answer,
        () = shared.wait_for_cut() => return Err(unknown(RefusalReason::Draining)),
        () = writer.wait_for_reset() => return Ok(Execution::Abandoned { written: true }),
    };
    match answer {
        Ok(answer) => {
            let is_good = !answer.response.status().is_server_error();
            permit.record_answer(is_good, answer.expected);
            upstream.record_process(answer.process.as_deref());
            Ok(send_reply(shared, upstream, call, answer, permit, writer, recorder).await)
        }
        Err(failure) => {
            let is_paused = shared.stall_count() != stalls_before;
            record_failure(upstream, &permit, &failure, is_paused);
            if let Failure::BodyStalled { .. } = failure {
                permit.leave_out(UPLOAD_STALL_TIME);
            }
            drop(permit);
            Err(failure.refusal())
        }
    }
}

/// Collects the body of a call that waits for its slot; completes only if there is no memory for it.
async fn collect(body: &RequestBody, budget: &BodyBudget) -> NoMemory {
    poll_fn(|cx| match &mut *body.borrow_mut() {
        Some(reader) => reader.poll_collect(cx, budget),
        None => Poll::Pending,
    })
    .await
}

/// Waits until the body of a call is whole, or there is no room for more of it, as long as other calls need the
/// slots. Otherwise callers that don't finish their bodies would take them.
///
/// # Errors
///
/// Returns an error if there is no memory for the body.
async fn wait_for_body(
    shared: &Shared,
    upstream: &LocalUpstream,
    call: &Call,
    body: &RequestBody,
) -> Result<(), NoMemory> {
    let collected = poll_fn(|_| {
        let reader = body.borrow();
        let length = call.head.length;
        match reader.as_ref().is_none_or(|it| it.is_collected(length)) {
            true => Poll::Ready(()),
            // The next part wakes the task, as `collect` waits for it.
            false => Poll::Pending,
        }
    });
    let has_room = async {
        while !upstream.has_free_slot() && !call.time_left().is_zero() {
            sleep(SLOT_CHECK_INTERVAL).await;
        }
    };
    let budget = shared.context().body_budget();
    tokio::select! {
        biased;
        () = has_room => Ok(()),
        NoMemory = collect(body, budget) => Err(NoMemory),
        () = collected => Ok(()),
    }
}

/// Waits for a slot. A request suspected of crashing upstreams runs alone.
async fn acquire_permit(
    shared: &Shared,
    upstream: &Rc<LocalUpstream>,
    call: &Call,
) -> Result<Permit, Refusal> {
    let fingerprint = call.head.fingerprint;
    let rank = || trial_rank(shared, upstream, fingerprint);
    let suspicion = shared.suspects().suspicion(fingerprint, rank);
    if suspicion == Suspicion::Refused {
        metrics::counter!("poison_refused_total").increment(1);
        let is_unkeyed = call.key.is_none();
        let outcome = if is_unkeyed {
            Outcome::DidNotRun
        } else {
            Outcome::Unknown
        };
        return Err(with_outcome(outcome, RefusalReason::Poison));
    }
    let request = AdmissionRequest {
        caller: xxh3_64(call.caller()),
        deadline: call.deadline,
        target: call.target(),
        expires_at: None,
        rank: call.rank(),
        alone: suspicion == Suspicion::Suspect,
    };
    admit(upstream, request, fingerprint).await
}

/// Returns the position of the upstream among those of its service that try a refused request again.
fn trial_rank(shared: &Shared, upstream: &LocalUpstream, fingerprint: u64) -> u32 {
    let view = shared.context().view().load();
    let own = upstream.spec();
    let configured = view.config.upstreams_of(&own.service).cloned();
    let entries = view.vms.vms.iter();
    let listed = entries.flat_map(|entry| entry.listed_upstreams());
    let others: Vec<_> = configured
        .chain(listed.filter(|other| other.service == own.service))
        .collect();
    let names = others.iter().map(|other| &other.name);
    wagtaillever_coordination::trial_rank(fingerprint, &own.name, names)
}

/// Records a failure of the upstream. A deadline missed while this process was paused is ignored,
/// because it says nothing about the upstream.
fn record_failure(
    upstream: &Rc<LocalUpstream>,
    permit: &Permit,
    failure: &Failure,
    is_paused: bool,
) {
    if is_paused && matches!(failure, Failure::Deadline { .. }) {
        return;
    }
    permit.record_failure(failure.sample_result());
    match failure {
        Failure::Broken => {
            upstream.record_broken_connection(permit.in_flight());
            probe::start(upstream);
        }
        Failure::Shed { .. } => metrics::counter!("upstream_sheds_total").increment(1),
        _ => {}
    }
}

async fn send_reply(
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
    if writer.write_frame(&head).await.is_err() {
        return Execution::Truncated;
    }
    let limits = BodyLimits {
        idle: Duration::from_millis(call.head.left_ms).max(MIN_IDLE_TIMEOUT),
        unsized_end: (call.deadline + UNSIZED_BODY_GRACE).into(),
    };
    let mut watch = AnswerWatch {
        upstream,
        permit: &permit,
        recorder,
    };
    let end = stream_body(&mut answer, limits, writer, &mut watch).await;
    match end {
        BodyEnd::Complete => {
            permit.record_completion();
            shared.suspects().record_completion(call.head.fingerprint);
            return Execution::Complete;
        }
        BodyEnd::UpstreamIdle | BodyEnd::Endless => {
            if let Some(left_out) = shared.take_log_line() {
                warn!(
                    call = call.head.call.as_str(), upstream = call.head.upstream.as_str(),
                    end:? = end, left_out;
                    "cut off an answer that the upstream did not finish in time"
                );
            }
            permit.record_failure(SampleResult::Failed);
        }
        BodyEnd::Truncated => {
            permit.record_failure(SampleResult::Failed);
            upstream.record_broken_connection(permit.in_flight());
            probe::start(upstream);
        }
        BodyEnd::CallerIdle => {
            if let Some(left_out) = shared.take_log_line() {
                info!(
                    call = call.head.call.as_str(), upstream = call.head.upstream.as_str(),
                    queued = upstream.load().queued, left_out;
                    "cut off an answer that its caller does not take"
                );
            }
            metrics::counter!("sidecar_answers_not_taken_total").increment(1);
        }
        BodyEnd::CallerGone => {}
    }
    Execution::Truncated
}

/// Watch on the body of an answer.
struct AnswerWatch<'a, R> {
    upstream: &'a LocalUpstream,
    permit: &'a Permit,
    recorder: &'a mut R,
}

impl<R: Recorder> BodyWatch for AnswerWatch<'_, R> {
    fn receive(&mut self, part: &Bytes) {
        self.recorder.part(part);
    }

    fn record_forwarded(&mut self, bytes: u64) {
        self.permit.record_forwarded(bytes);
    }

    fn record_stall(&self) {
        self.permit.record_stall();
    }

    fn record_stalled_time(&self, stalled: Duration) {
        self.permit.leave_out(stalled);
    }

    fn is_slot_wanted(&self) -> bool {
        self.upstream.is_slot_wanted()
    }
}
