//! Handles requests with an idempotency key as the owner of the key.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use wagtaillever_coordination::{
    Claim, ExecutionOutcome, IdempotencyKey, RecordedAnswer, RequestId,
};

use crate::{
    sidecar::{
        call::Call,
        delegate::delegate,
        execute::{Execution, Recorder, RequestBody, execute},
        refuse::{did_not_run, unknown, with_outcome},
        shared::Shared,
        upstream::LocalUpstream,
    },
    transport::FrameWriter,
    wire::{Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Largest answer body that is recorded for replay.
const MAX_RECORDED_BYTES: usize = 16 << 10;
/// Minimum remaining time to delegate a request to another VM.
const MIN_DELEGATION_TIME: Duration = Duration::from_millis(5);

/// Runs a request with a key at most once, here or on another VM of the service.
///
/// # Errors
///
/// Returns a refusal if there is no answer from an upstream.
pub(super) async fn decide(
    shared: &Rc<Shared>,
    call: &Call,
    key: &IdempotencyKey,
    body: &RequestBody,
    writer: &mut FrameWriter,
) -> Result<Execution, Refusal> {
    let id = RequestId {
        service: call.service.clone(),
        key: key.clone(),
    };
    match shared.keys().claim(&id)? {
        Claim::Run => {}
        Claim::Replay(answer) => return Ok(replay(shared, &answer, writer).await),
        Claim::InProgress => return Err(unknown(RefusalReason::InProgress)),
        Claim::Ran => return Err(with_outcome(Outcome::Ran, RefusalReason::BadAnswer)),
        Claim::Unknown => return Err(unknown(RefusalReason::NotReady)),
        Claim::Stale => return Err(did_not_run(RefusalReason::StaleKey)),
        Claim::TooNew => return Err(did_not_run(RefusalReason::BadKey)),
        Claim::TooOld => return Err(unknown(RefusalReason::BadKey)),
        Claim::Full => return Err(did_not_run(RefusalReason::Overloaded)),
    }
    let claim = ClaimGuard::new(shared, id);
    let mut recorder = AnswerRecorder::default();
    let result = run_or_delegate(shared, call, body, writer, &mut recorder).await;
    claim.finish(execution_outcome(&result, recorder));
    result
}

/// Runs the request here, or on another VM if it is certain that it did not run here.
async fn run_or_delegate(
    shared: &Rc<Shared>,
    call: &Call,
    body: &RequestBody,
    writer: &mut FrameWriter,
    recorder: &mut AnswerRecorder,
) -> Result<Execution, Refusal> {
    let upstream = shared.upstreams().get(&call.head.upstream);
    let Some(upstream) = upstream.filter(|upstream| upstream.spec().service == call.service) else {
        return Err(did_not_run(RefusalReason::NoUpstream));
    };
    let refusal = match execute(shared, &upstream, call, body, writer, recorder).await {
        Ok(execution) => return Ok(execution),
        Err(refusal) => refusal,
    };
    if !may_run_elsewhere(&refusal, &upstream) || call.time_left() < MIN_DELEGATION_TIME {
        return Err(refusal);
    }
    delegate(shared, call, body, writer, recorder, refusal).await
}

fn may_run_elsewhere(refusal: &Refusal, upstream: &LocalUpstream) -> bool {
    if refusal.outcome != Outcome::DidNotRun {
        return false;
    }
    match refusal.reason {
        RefusalReason::Draining | RefusalReason::Unreachable => true,
        RefusalReason::Overloaded => {
            let admission = upstream.admission().borrow();
            admission.is_throttled(Instant::now())
        }
        _ => false,
    }
}

fn execution_outcome(
    result: &Result<Execution, Refusal>,
    recorder: AnswerRecorder,
) -> ExecutionOutcome {
    match result {
        Ok(Execution::Complete) => ExecutionOutcome::Ran(recorder.answer()),
        Ok(Execution::Truncated) => ExecutionOutcome::Ran(None),
        Ok(Execution::Abandoned { written: false }) => ExecutionOutcome::DidNotRun,
        Ok(Execution::Abandoned { written: true }) => ExecutionOutcome::Unknown,
        Err(refusal) => match refusal.outcome {
            Outcome::DidNotRun => ExecutionOutcome::DidNotRun,
            Outcome::Ran => ExecutionOutcome::Ran(None),
            Outcome::Unknown => ExecutionOutcome::Unknown,
        },
    }
}

/// Sends the recorded answer of the earlier execution.
async fn replay(
    shared: &Shared,
    answer: &Arc<RecordedAnswer>,
    writer: &mut FrameWriter,
) -> Execution {
    metrics::counter!("answers_replayed_total").increment(1);
    let head = ReplyHead::Answer {
        status: answer.status,
        headers: answer.headers.clone(),
        length: Some(answer.body.len() as u64),
        load: Default::default(),
        sequence: shared.sequence(),
    };
    let body = Bytes::copy_from_slice(&answer.body);
    let is_written =
        writer.write_frame(&head).await.is_ok() && writer.write_bytes(body).await.is_ok();
    if is_written {
        Execution::Complete
    } else {
        Execution::Truncated
    }
}

/// Claim on a request. Dropping it without [`Self::finish`] records an unknown outcome.
struct ClaimGuard {
    shared: Rc<Shared>,
    id: RequestId,
    is_open: Cell<bool>,
}

impl ClaimGuard {
    fn new(shared: &Rc<Shared>, id: RequestId) -> Self {
        Self {
            shared: Rc::clone(shared),
            id,
            is_open: Cell::new(true),
        }
    }

    fn finish(&self, outcome: ExecutionOutcome) {
        if self.is_open.replace(false) {
            self.shared.keys().finish(&self.id, outcome);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.finish(ExecutionOutcome::Unknown);
    }
}

/// Records an answer for replay unless its body exceeds [`MAX_RECORDED_BYTES`].
#[derive(Default)]
pub(super) struct AnswerRecorder {
    answer: RecordedAnswer,
    is_too_large: bool,
}

impl AnswerRecorder {
    fn answer(self) -> Option<RecordedAnswer> {
        (!self.is_too_large).then_some(self.answer)
    }
}

impl Recorder for AnswerRecorder {
    fn head(&mut self, status: u16, headers: &[(String, Vec<u8>)], length: Option<u64>) {
        self.answer.status = status;
        self.answer.headers = headers.to_vec();
        self.is_too_large = length.is_some_and(|length| length > MAX_RECORDED_BYTES as u64);
    }

    fn part(&mut self, part: &Bytes) {
        if self.answer.body.len() + part.len() > MAX_RECORDED_BYTES {
            self.is_too_large = true;
            self.answer.body = Vec::new();
        }
        if !self.is_too_large {
            self.answer.body.extend_from_slice(part);
        }
    }
}
