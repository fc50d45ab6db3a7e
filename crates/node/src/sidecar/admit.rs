//! Acquires and releases slots of an upstream.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, time::timeout_at};
use wagtaillever_coordination::{
    AdmissionDecision, AdmissionRequest, InFlight, QueueDecision, QueueTicket, Rank, Rejection,
    RejectionCause, Sample, SampleResult, StartMark,
};

use crate::{
    sidecar::{refuse, upstream::LocalUpstream},
    wire::{Outcome, Refusal, RefusalReason},
};

/// Result of waiting in the queue of an upstream.
pub(super) type AdmissionResult = Result<Permit, Rejection>;

/// Slot of an upstream, released on drop.
pub(super) struct Permit {
    upstream: Rc<LocalUpstream>,
    fingerprint: u64,
    rank: Rank,
    alone: bool,
    mark: StartMark,
    started: Instant,
    /// Bytes of the answer that still have to be sent over the link, known or estimated.
    pending_bytes: Cell<u64>,
    /// Bytes of the answer that were forwarded.
    forwarded_bytes: Cell<u64>,
    /// Bytes of the answer that its caller does not take, so that they don't wait for the link.
    stalled_bytes: Cell<u64>,
    /// Time for which the upstream waited for the caller.
    stalled_time: Cell<Duration>,
    answered_at: Cell<Option<Instant>>,
    is_good: Cell<bool>,
    result: Cell<SampleResult>,
}

impl Permit {
    /// Returns the permit of a request that the admission control has just started.
    pub(super) fn new(
        upstream: &Rc<LocalUpstream>,
        rank: Rank,
        alone: bool,
        mark: StartMark,
    ) -> Self {
        Self {
            upstream: Rc::clone(upstream),
            fingerprint: 0,
            rank,
            alone,
            mark,
            started: Instant::now(),
            pending_bytes: Cell::new(upstream.admission().borrow_mut().expect_response(rank)),
            forwarded_bytes: Cell::new(0),
            stalled_bytes: Cell::new(0),
            stalled_time: Cell::new(Duration::ZERO),
            answered_at: Cell::new(None),
            is_good: Cell::new(false),
            result: Cell::new(SampleResult::Abandoned),
        }
    }

    /// Records that the head of the answer arrived, whether its status is no server error, and the
    /// length of its body in bytes, if it is known.
    pub(super) fn record_answer(&self, is_good: bool, length: Option<u64>) {
        self.is_good.set(is_good);
        self.answered_at.set(Some(Instant::now()));
        self.result.set(SampleResult::Answered);
        if let Some(length) = length {
            self.set_pending_bytes(length);
        }
    }

    /// Records that a part of the answer was forwarded.
    pub(super) fn record_forwarded(&self, bytes: u64) {
        self.forwarded_bytes.set(self.forwarded_bytes.get() + bytes);
        let pending = self.pending_bytes.get() + self.stalled_bytes.take();
        self.set_pending_bytes(pending.saturating_sub(bytes));
        self.upstream.dispatch_queued();
    }

    /// Records that the caller takes no more of the answer for now. The link is then free for other answers.
    pub(super) fn record_stall(&self) {
        let pending = self.stalled_bytes.get() + self.pending_bytes.get();
        self.stalled_bytes.set(pending);
        self.set_pending_bytes(0);
        self.upstream.dispatch_queued();
    }

    /// Leaves out a time for which the upstream waited for the caller when the duration of the request is
    /// recorded.
    pub(super) fn leave_out(&self, stalled: Duration) {
        self.stalled_time.set(self.stalled_time.get() + stalled);
    }

    /// Records that the complete answer was forwarded.
    pub(super) fn record_completion(&self) {
        let mut admission = self.upstream.admission().borrow_mut();
        admission.record_length(self.rank, self.forwarded_bytes.get());
    }

    fn set_pending_bytes(&self, bytes: u64) {
        let before = self.pending_bytes.replace(bytes);
        let mut admission = self.upstream.admission().borrow_mut();
        admission.update_response(before, bytes);
    }

    /// Records how the request failed.
    pub(super) fn record_failure(&self, result: SampleResult) {
        self.result.set(result);
    }

    /// Returns the request as an entry for crash detection.
    pub(super) fn in_flight(&self) -> InFlight {
        InFlight {
            fingerprint: self.fingerprint,
            alone: self.upstream.admission().borrow().ran_alone(self.mark),
            is_trial: self.alone,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.set_pending_bytes(0);
        let now = Instant::now();
        let answered_at = self.answered_at.get().unwrap_or(now);
        let sample = Sample {
            started: self.started,
            latency: answered_at.saturating_duration_since(self.started),
            result: self.result.get(),
            rank: self.rank,
        };
        let held = now.saturating_duration_since(self.started);
        let held = held.saturating_sub(self.stalled_time.get());
        let is_good = self.is_good.get();
        self.upstream
            .release(sample, held, self.alone, is_good, now);
    }
}

/// Removes a queued request from the queue on drop.
struct WaitGuard {
    upstream: Rc<LocalUpstream>,
    ticket: QueueTicket,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.upstream.cancel(self.ticket);
    }
}

/// Waits for a slot until the deadline of the request.
///
/// # Errors
///
/// Returns a refusal if the request can't be served in time; it did not run.
pub(super) async fn admit(
    upstream: &Rc<LocalUpstream>,
    request: AdmissionRequest,
    fingerprint: u64,
) -> Result<Permit, Refusal> {
    if upstream.is_retired() {
        return Err(refuse::did_not_run(RefusalReason::NoUpstream));
    }
    let now = Instant::now();
    let arrival = upstream.admission().borrow_mut().submit(request, now);
    let decision = match arrival {
        AdmissionDecision::Start => Ok(upstream.permit(request.rank, request.alone)),
        AdmissionDecision::Refuse(rejection) => Err(rejection),
        AdmissionDecision::Wait(ticket) => wait_for_slot(upstream, ticket, request).await?,
    };
    let mut permit = decision.map_err(refusal)?;
    permit.fingerprint = fingerprint;
    Ok(permit)
}

async fn wait_for_slot(
    upstream: &Rc<LocalUpstream>,
    ticket: QueueTicket,
    request: AdmissionRequest,
) -> Result<AdmissionResult, Refusal> {
    let (sender, receiver) = oneshot::channel();
    upstream.enqueue(ticket, sender, request);
    let _guard = WaitGuard {
        upstream: Rc::clone(upstream),
        ticket,
    };
    upstream.dispatch();
    let deadline_refusal = || refuse::did_not_run(RefusalReason::Deadline);
    let decision = timeout_at(request.deadline.into(), receiver).await;
    decision
        .map_err(|_| deadline_refusal())?
        .map_err(|_| deadline_refusal())
}

fn refusal(rejection: Rejection) -> Refusal {
    let reason = match rejection.cause {
        RejectionCause::QueueFull | RejectionCause::DeadlineExceeded => RefusalReason::Overloaded,
        RejectionCause::Down => RefusalReason::Unreachable,
    };
    refuse::with_retry_after(Outcome::DidNotRun, reason, rejection.retry_after)
}

/// Returns the ticket of a queued request, and the rejection if it does not start.
pub(super) fn decision_parts(decision: QueueDecision) -> (QueueTicket, Option<Rejection>) {
    match decision {
        QueueDecision::Start(ticket) => (ticket, None),
        QueueDecision::Refuse(ticket, rejection) => (ticket, Some(rejection)),
    }
}
