//! Carries a call through its attempts to its one answer.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_web::HttpResponse;
use tokio::time::{sleep, timeout_at};
use wagtaillever_coordination::{
    AttemptFailure, AttemptLimit, Attempts, Constraints, Evidence, RequestKind, RetryDecision,
    Route, Sequence, UpstreamName, key_owner,
};

use crate::{
    ingress::{
        answer,
        attempt::{AttemptEnd as Sent, Reply, attempt},
        body::{CallerGone, RequestBody},
        feedback::{Feedback, feedback},
        fingerprint::fingerprint,
        guards::{CallGuard, Permit},
        record::CallFacts,
        refusal::{NO_UPSTREAM_AFTER_MS, bad_answer, no_choice, not_run, soonest},
        reply_body::{no_body, reply_body},
        request::CallerRequest,
        worker::Worker,
    },
    invariant::must_hold,
    mutant::{self, Mutant},
    wire::{CallHead, CallStage, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Time of a call that its sidecar does not get, so that its refusal of a call that did not run
/// is here before the call's time is over: a way between failure domains and some processor time.
const WAY_BACK: Duration = Duration::from_millis(12);
/// Shortest attempt whose running out of time says something of the upstream.
const MIN_BLAME: Duration = Duration::from_secs(1);

/// One call on its way.
pub(super) struct Dispatch {
    worker: Rc<Worker>,
    request: CallerRequest,
    body: RequestBody,
    attempts: Attempts,
    tried: Vec<UpstreamName>,
    fingerprint: u64,
    age: Duration,
}

/// Where an attempt goes.
struct Place {
    upstream: UpstreamName,
    address: SocketAddr,
    guard: CallGuard,
}

impl Dispatch {
    /// Returns a call before its first attempt.
    pub(super) fn new(worker: &Rc<Worker>, request: CallerRequest, body: RequestBody) -> Self {
        Self {
            age: worker.age(&request),
            worker: Rc::clone(worker),
            attempts: Attempts::new(request.kind(), attempt_limit(&request)),
            request,
            body,
            tried: Vec::new(),
            fingerprint: 0,
        }
    }

    /// Makes attempts until there is an answer; the permit is held until its body ends.
    pub(super) async fn run(mut self, permit: Permit) -> HttpResponse {
        let service = self.request.service.clone();
        let now = Instant::now();
        self.worker
            .with_budget(&service, |budget, _| budget.count_call(now));
        if let Err(refusal) = self.read_prefix().await {
            return self.refuse(refusal);
        }
        let mut last: Option<Refusal> = None;
        loop {
            let place = match self.place() {
                Ok(place) => place,
                Err(refusal) => return self.refuse(last.unwrap_or(refusal)),
            };
            let (sent, place, feedback) = self.attempt(place).await;
            if let Sent::Replied(reply) = sent
                && feedback.end.is_none()
            {
                return self.answer(reply, place, permit);
            }
            let end = feedback.end.unwrap_or(AttemptFailure::Indeterminate);
            self.attempts.record(end);
            let refusal = feedback.refusal.unwrap_or_else(bad_answer);
            let recorder = &self.worker.recorder;
            recorder.attempt_failed(&self.facts(), &place.upstream, end, &refusal);
            let refusal = soonest(last, refusal);
            drop(place);
            if !self.prepare_next(end).await {
                return self.refuse(refusal);
            }
            if end == AttemptFailure::Stale && !self.reroute(feedback.sequence).await {
                return self.refuse(refusal);
            }
            last = Some(refusal);
        }
    }

    async fn read_prefix(&mut self) -> Result<(), Refusal> {
        let read = fingerprint(&self.request, &self.body);
        match timeout_at(self.request.deadline.into(), read).await {
            Ok(Ok(fingerprint)) => self.fingerprint = fingerprint,
            Ok(Err(CallerGone)) => return Err(not_run(RefusalReason::Broken, 0)),
            Err(_) => return Err(not_run(RefusalReason::Deadline, 0)),
        }
        Ok(())
    }

    fn place(&mut self) -> Result<Place, Refusal> {
        if self.request.left().is_zero() {
            return Err(not_run(RefusalReason::Deadline, 0));
        }
        match self.request.key {
            Some(_) => self.owner(),
            None => self.choose(),
        }
    }

    /// Returns the owner of the call's key, also when it is drained: it decides, and runs the
    /// request where there is room.
    fn owner(&mut self) -> Result<Place, Refusal> {
        let routing = self.worker.routing();
        let service = &self.request.service;
        let key = self.request.key.as_ref();
        let owner = key.and_then(|key| key_owner(&routing.view.config, service, key));
        let owner =
            owner.ok_or_else(|| not_run(RefusalReason::NoUpstream, NO_UPSTREAM_AFTER_MS))?;
        let address = routing.candidates.address(&owner.vm);
        let address =
            address.ok_or_else(|| not_run(RefusalReason::Unreachable, NO_UPSTREAM_AFTER_MS))?;
        let ticket = self.worker.balancer.borrow_mut().begin_call(&owner.name);
        Ok(Place {
            upstream: owner.name.clone(),
            address,
            guard: CallGuard::new(&self.worker, ticket),
        })
    }

    fn choose(&mut self) -> Result<Place, Refusal> {
        let routing = self.worker.routing();
        let any: Vec<_>;
        let candidates = if mutant::is_on(Mutant::Misroute) {
            any = routing.candidates.iter().cloned().collect();
            &any
        } else {
            routing.candidates.for_service(&self.request.service)
        };
        let constraints = Constraints {
            excluded: &self.tried,
            idempotent: self.request.idempotent,
            target_ms: self.request.route.target_ms,
        };
        let now = Instant::now();
        let mut balancer = self.worker.balancer.borrow_mut();
        let mut rng = self.worker.rng.borrow_mut();
        let chosen = balancer.choose(candidates, constraints, now, &mut *rng);
        let (candidate, ticket) = chosen.map_err(no_choice)?;
        if ticket.is_probe() {
            self.worker.recorder.probed(&candidate.upstream.name);
        }
        Ok(Place {
            upstream: candidate.upstream.name.clone(),
            address: candidate.address,
            guard: CallGuard::new(&self.worker, ticket),
        })
    }

    async fn attempt(&mut self, place: Place) -> (Sent, Place, Feedback) {
        let head = self.head(&place);
        let until = self.request.deadline.into();
        let stall = self.worker.shared.stall.generation();
        let began = Instant::now();
        let sent = attempt(&self.worker.pool, place.address, &head, &self.body, until).await;
        let mut feedback = feedback(&sent);
        let is_stalled = stall != self.worker.shared.stall.generation();
        let is_short = matches!(sent, Sent::TimedOut { .. }) && began.elapsed() < MIN_BLAME;
        if is_stalled || is_short {
            feedback.evidence = feedback.evidence.filter(|e| *e == Evidence::Answered);
        }
        if self.request.key.is_some() && matches!(sent, Sent::Replied(_)) {
            // The owner of a key may have run the request on another upstream.
            feedback.evidence = Some(Evidence::Answered);
            feedback.load = None;
        }
        self.inform_balancer(&place, &feedback);
        self.tried.push(place.upstream.clone());
        (sent, place, feedback)
    }

    /// Passes on to the balancer what the attempt shows.
    fn inform_balancer(&self, place: &Place, feedback: &Feedback) {
        let ticket = place.guard.ticket();
        let now = Instant::now();
        let mut balancer = self.worker.balancer.borrow_mut();
        if let Some(load) = feedback.load {
            balancer.record_load(ticket, load, now);
        }
        if let Some(backoff) = feedback.backoff {
            let target_ms = self.request.route.target_ms;
            balancer.back_off(ticket, target_ms, now + backoff, now);
        }
        if let Some(evidence) = feedback.evidence {
            let mut rng = self.worker.rng.borrow_mut();
            let change = balancer.observe(ticket, evidence, now, &mut *rng);
            if let Some(change) = change {
                self.worker.recorder.health_changed(&place.upstream, change);
            }
        }
    }

    fn facts(&self) -> CallFacts<'_> {
        let request = &self.request;
        CallFacts {
            call: &request.call,
            route: &request.route.name,
            service: &request.service,
            attempts: self.attempts.made(),
            arrived: request.arrived,
            age: self.age,
            list: self.worker.routing().view.vms.number,
        }
    }

    /// Decides on another attempt and waits until it is due.
    async fn prepare_next(&mut self, end: AttemptFailure) -> bool {
        let is_resendable = self.body.is_resendable();
        let left = self.request.left();
        let service = self.request.service.clone();
        let next = self.worker.with_budget(&service, |budget, rng| {
            self.attempts
                .retry_decision(end, is_resendable, left, budget, rng)
        });
        match next {
            RetryDecision::Stop => false,
            RetryDecision::OtherUpstream { delay } | RetryDecision::Owner { delay } => {
                if !delay.is_zero() {
                    sleep(delay).await;
                }
                true
            }
        }
    }

    /// Waits a short time for the configuration that the sidecar has, and routes the call anew.
    ///
    /// Returns false when the call no longer takes a route of the same kind; the caller's own
    /// resend is then routed afresh.
    async fn reroute(&mut self, sequence: Option<Sequence>) -> bool {
        if let Some(sequence) = sequence {
            let caught_up = self.worker.catch_up(sequence);
            let _ = timeout_at(self.request.deadline.into(), caught_up).await;
        }
        let routes = Rc::clone(&self.worker.routing().routes);
        let choose = |route: &Route| self.worker.choose_service(route);
        self.request.reroute(&routes, choose)
    }

    fn head(&self, place: &Place) -> CallHead {
        let request = &self.request;
        let waited = self.age + request.arrived.elapsed();
        let left = request.left().saturating_sub(WAY_BACK);
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let stage = match request.kind() {
            RequestKind::Keyed => CallStage::Decide,
            RequestKind::Idempotent | RequestKind::Plain => CallStage::Plain,
        };
        CallHead {
            call: request.call.to_string(),
            attempt: self.attempts.made() + 1,
            sequence: request.sequence.0,
            route: request.route.name.to_string(),
            service: request.service.to_string(),
            upstream: place.upstream.to_string(),
            stage,
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            length: request.length,
            left_ms,
            priority: request.route.priority,
            target_ms: request.route.target_ms.map(saturated),
            waited_ms: saturated(waited.as_millis()),
            hops: request.hops,
            idempotent: request.idempotent,
            key: request.key.as_ref().map(|key| key.as_str().to_string()),
            fingerprint: self.fingerprint,
        }
    }

    fn answer(self, reply: Reply, place: Place, permit: Permit) -> HttpResponse {
        let ReplyHead::Answer {
            status,
            headers,
            length,
            sequence,
            ..
        } = &reply.head
        else {
            return self.refuse(bad_answer());
        };
        let (length, note) = (*length, Sequence(*sequence));
        let dialect = self.worker.words().dialect;
        let head = answer::head(*status, headers, &place.upstream, note, dialect);
        let Some(mut builder) = head else {
            return self.refuse(bad_answer());
        };
        answer::add_call(&mut builder, &self.request.call, dialect);
        let facts = CallFacts {
            attempts: self.attempts.made() + 1,
            ..self.facts()
        };
        let recorder = &self.worker.recorder;
        recorder.answered(&facts, &place.upstream, *status);
        if self.request.method == "HEAD" {
            return builder.body(no_body(length));
        }
        if is_bodiless(*status) {
            return builder.finish();
        }
        let idle = Duration::from_millis(self.request.route.timeout_ms);
        let body = reply_body(reply, length, idle, place.guard, permit);
        builder.body(body)
    }

    /// Returns the final answer of a call that no upstream answered. What any attempt may have
    /// done counts, not only the last one.
    fn refuse(&self, mut refusal: Refusal) -> HttpResponse {
        if refusal.outcome == Outcome::DidNotRun && !self.attempts.has_not_run() {
            refusal.outcome = Outcome::Unknown;
        }
        if mutant::is_on(Mutant::FalseDidNotRun) {
            refusal.outcome = Outcome::DidNotRun;
        }
        let is_not_run = refusal.outcome == Outcome::DidNotRun;
        must_hold(
            "false_did_not_run",
            !is_not_run || self.attempts.has_not_run(),
        );
        self.worker.recorder.refused(&self.facts(), &refusal);
        let dialect = self.worker.words().dialect;
        let mut builder = answer::refused(&refusal, dialect);
        answer::add_call(&mut builder, &self.request.call, dialect);
        builder.finish()
    }
}

/// Returns whether answers with the status never have a body.
fn is_bodiless(status: u16) -> bool {
    matches!(status, 100..200 | 204 | 304)
}

fn attempt_limit(request: &CallerRequest) -> AttemptLimit {
    let stated = request.route.attempts;
    stated.map_or_else(AttemptLimit::default, AttemptLimit::of_route)
}

fn saturated(millis: impl TryInto<u32>) -> u32 {
    millis.try_into().unwrap_or(u32::MAX)
}
