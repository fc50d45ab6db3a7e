//! Waits for a slot of an upstream and gives it back.

use std::{cell::Cell, rc::Rc, time::Instant};

use tokio::{sync::oneshot, time::timeout_at};
use wagtaillever_coordination::{
    AdmissionDecision, AdmissionRequest, InFlight, QueueDecision, QueueTicket, Rank, Rejection,
    RejectionCause, Sample, SampleResult, StartMark,
};

use crate::{
    sidecar::{refuse, upstream::LocalUpstream},
    wire::{Outcome, Refusal, RefusalReason},
};

/// What a waiting request is told.
pub(super) type Verdict = Result<Permit, Rejection>;

/// A slot of an upstream; given back when it is dropped.
pub(super) struct Permit {
    upstream: Rc<LocalUpstream>,
    fingerprint: u64,
    rank: Rank,
    alone: bool,
    mark: StartMark,
    started: Instant,
    /// Bytes of the answer that are still to cross the link, as far as they are known.
    owed: Cell<u64>,
    /// Bytes of the answer that were passed on.
    passed: Cell<u64>,
    answered: Cell<Option<Instant>>,
    is_good: Cell<bool>,
    result: Cell<SampleResult>,
}

impl Permit {
    /// Returns the permit of a request that the admission has just started.
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
            owed: Cell::new(upstream.admission().borrow_mut().expect_response(rank)),
            passed: Cell::new(0),
            answered: Cell::new(None),
            is_good: Cell::new(false),
            result: Cell::new(SampleResult::Abandoned),
        }
    }

    /// Notes that the head of the answer is there, whether it is no failure of the upstream, and
    /// the length of its body in bytes, if it is known.
    pub(super) fn answered(&self, is_good: bool, length: Option<u64>) {
        self.is_good.set(is_good);
        self.answered.set(Some(Instant::now()));
        self.result.set(SampleResult::Answered);
        if let Some(length) = length {
            self.owe(length);
        }
    }

    /// Notes that a part of the answer was passed on.
    pub(super) fn passed(&self, bytes: u64) {
        self.passed.set(self.passed.get() + bytes);
        self.owe(self.owed.get().saturating_sub(bytes));
        self.upstream.pump_waiting();
    }

    /// Notes that the whole answer was passed on.
    pub(super) fn completed(&self) {
        let mut admission = self.upstream.admission().borrow_mut();
        admission.record_length(self.rank, self.passed.get());
    }

    fn owe(&self, bytes: u64) {
        let before = self.owed.replace(bytes);
        let mut admission = self.upstream.admission().borrow_mut();
        admission.update_response(before, bytes);
    }

    /// Notes how the request failed.
    pub(super) fn failed(&self, result: SampleResult) {
        self.result.set(result);
    }

    /// Returns the request as one that is in flight.
    pub(super) fn in_flight(&self) -> InFlight {
        InFlight {
            fingerprint: self.fingerprint,
            alone: self.upstream.admission().borrow().ran_alone(self.mark),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.owe(0);
        let now = Instant::now();
        let answered = self.answered.get().unwrap_or(now);
        let sample = Sample {
            started: self.started,
            latency: answered.saturating_duration_since(self.started),
            result: self.result.get(),
            rank: self.rank,
        };
        let held = now.saturating_duration_since(self.started);
        let is_good = self.is_good.get();
        self.upstream
            .give_back(sample, held, self.alone, is_good, now);
    }
}

/// Takes a waiting request out when it is dropped.
struct Waiting {
    upstream: Rc<LocalUpstream>,
    ticket: QueueTicket,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.upstream.cancel(self.ticket);
    }
}

/// Waits for a slot until the deadline.
///
/// # Errors
///
/// Returns the refusal of a request that can't be served in time; it did not run.
pub(super) async fn admit(
    upstream: &Rc<LocalUpstream>,
    ask: AdmissionRequest,
    fingerprint: u64,
) -> Result<Permit, Refusal> {
    let now = Instant::now();
    let arrival = upstream.admission().borrow_mut().submit(ask, now);
    let verdict = match arrival {
        AdmissionDecision::Start => Ok(upstream.permit(ask.rank, ask.alone)),
        AdmissionDecision::Refuse(rejection) => Err(rejection),
        AdmissionDecision::Wait(ticket) => wait(upstream, ticket, ask).await?,
    };
    let mut permit = verdict.map_err(refusal)?;
    permit.fingerprint = fingerprint;
    Ok(permit)
}

async fn wait(
    upstream: &Rc<LocalUpstream>,
    ticket: QueueTicket,
    ask: AdmissionRequest,
) -> Result<Verdict, Refusal> {
    let (sender, receiver) = oneshot::channel();
    upstream.enqueue(ticket, sender, ask);
    let _waiting = Waiting {
        upstream: Rc::clone(upstream),
        ticket,
    };
    upstream.pump();
    let late = || refuse::did_not_run(RefusalReason::Deadline);
    let verdict = timeout_at(ask.deadline.into(), receiver).await;
    verdict.map_err(|_| late())?.map_err(|_| late())
}

fn refusal(rejection: Rejection) -> Refusal {
    let reason = match rejection.cause {
        RejectionCause::QueueFull | RejectionCause::DeadlineExceeded => RefusalReason::Overloaded,
        RejectionCause::Down => RefusalReason::Unreachable,
    };
    refuse::after(Outcome::DidNotRun, reason, rejection.retry_after)
}

/// Returns the ticket of a turn and whether it starts.
pub(super) fn turn_parts(turn: QueueDecision) -> (QueueTicket, Option<Rejection>) {
    match turn {
        QueueDecision::Start(ticket) => (ticket, None),
        QueueDecision::Refuse(ticket, rejection) => (ticket, Some(rejection)),
    }
}
