//! Runs a call: its attempts, its retries and its single response.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout_at};
use wagtaillever_coordination::{
    AttemptFailure, AttemptLimit, Attempts, Constraints, Evidence, RequestKind, RetryDecision,
    Route, Sequence, Statement, Upstream, UpstreamName, key_owner,
};

use crate::{
    ingress::{
        answer::{self, CallerResponse},
        attempt::{AttemptResult, Reply, send_call},
        body::{BodyError, DISCARD_TIME, RequestBody},
        feedback::{Feedback, feedback},
        fingerprint::fingerprint,
        guards::{CallGuard, Permit},
        open_calls::OpenCall,
        record::{self, CallFields},
        refusal::{
            NO_UPSTREAM_RETRY_MS, bad_answer, did_not_run, no_upstream, refused_by_stop,
            unreceived, with_earliest_retry,
        },
        reply_body::{empty_body, reply_body},
        request::CallerRequest,
        worker::Worker,
    },
    invariant::check_invariant,
    mutant::{self, Mutant},
    view::Phase,
    wire::{CallHead, CallStage, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Time by which the sidecar's deadline precedes that of the call, so that the refusal of a call
/// that did not run arrives before the call times out. Covers the one-way latency between
/// failure domains and some processing time.
const SIDECAR_REPLY_MARGIN: Duration = Duration::from_millis(12);
/// Shortest attempt whose timeout counts as evidence against its upstream.
const MIN_BLAMED_TIMEOUT: Duration = Duration::from_secs(1);

/// A call and the state of its attempts.
pub(super) struct Dispatch {
    worker: Rc<Worker>,
    request: CallerRequest,
    body: RequestBody,
    attempts: Attempts,
    tried_upstreams: Vec<UpstreamName>,
    fingerprint: u64,
    age: Duration,
}

/// Upstream to which an attempt is sent.
struct Destination {
    upstream: Arc<Upstream>,
    address: SocketAddr,
    guard: CallGuard,
}

impl Dispatch {
    pub(super) fn new(worker: &Rc<Worker>, request: CallerRequest, body: RequestBody) -> Self {
        Self {
            age: worker.caller_age(&request),
            worker: Rc::clone(worker),
            attempts: Attempts::new(request.kind(), attempt_limit(&request)),
            request,
            body,
            tried_upstreams: Vec::new(),
            fingerprint: 0,
        }
    }

    /// Makes attempts until an upstream answers or no further attempt is allowed, and returns the
    /// response. The permit is held until the end of the response body.
    pub(super) async fn run(mut self, permit: Permit, open_call: OpenCall) -> CallerResponse {
        let service = self.request.service.clone();
        let now = Instant::now();
        self.worker
            .with_budget(&service, |budget, _| budget.count_call(now));
        if let Err(refusal) = self.read_body_start().await {
            return self.refuse(refusal, open_call);
        }
        if let Err(refusal) = self.worker.take_quota(&self.request).await {
            return self.refuse(refusal, open_call);
        }
        let mut last_refusal: Option<Refusal> = None;
        loop {
            let destination = match self.destination() {
                Ok(destination) => destination,
                Err(refusal) => {
                    let refusal = last_refusal
                        .filter(|_| !refusal.reason.is_about_api_key())
                        .unwrap_or(refusal);
                    return self.refuse(refusal, open_call);
                }
            };
            open_call.record_attempt(&destination.upstream.name);
            let (result, destination, feedback) = self.run_attempt(destination).await;
            let broken_by = result.break_cause();
            if let AttemptResult::Replied(reply) = result
                && feedback.failure.is_none()
            {
                return self.forward_answer(reply, destination, permit, open_call);
            }
            let failure = feedback.failure.unwrap_or(AttemptFailure::Indeterminate);
            self.attempts.record(failure);
            let refusal = feedback.refusal.unwrap_or_else(bad_answer);
            let recorder = &self.worker.recorder;
            recorder.record_failed_attempt(
                &self.call_fields(),
                &destination.upstream.name,
                failure,
                broken_by,
                &refusal,
            );
            let refusal = with_earliest_retry(last_refusal, refusal);
            drop(destination);
            if !self.prepare_retry(failure).await {
                return self.refuse(refusal, open_call);
            }
            if failure == AttemptFailure::Stale && !self.reroute(feedback.sequence).await {
                return self.refuse(refusal, open_call);
            }
            last_refusal = Some(refusal);
        }
    }

    /// Reads the part of the body that is needed before the first attempt. A stopping node reads all that it can
    /// buffer, because it can still refuse a call as not run until the first part is passed on.
    async fn read_body_start(&mut self) -> Result<(), Refusal> {
        let read = async {
            let fingerprint = fingerprint(&self.request, &self.body).await?;
            if self.worker.routing().view.phase != Phase::Serving {
                self.body.buffer_whole().await?;
            }
            Ok(fingerprint)
        };
        let deadline = self.request.deadline;
        let gate = &self.worker.shared.gate;
        let refused = async {
            gate.wait_until_refused(deadline).await;
            // A body that came with its head is read, see `discard`.
            sleep(DISCARD_TIME).await;
        };
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline.into(), read) => read,
            () = refused => return Err(refused_by_stop()),
        };
        match read {
            Ok(Ok(fingerprint)) => self.fingerprint = fingerprint,
            Ok(Err(err)) => return Err(unreceived(err)),
            Err(_) => return Err(did_not_run(RefusalReason::Deadline, 0)),
        }
        Ok(())
    }

    fn destination(&mut self) -> Result<Destination, Refusal> {
        if self.request.time_left().is_zero() {
            return Err(did_not_run(RefusalReason::Deadline, 0));
        }
        if self.is_refused_by_stop() {
            return Err(refused_by_stop());
        }
        let dialect = self.worker.header_rules().dialect;
        let checked = self.request.check_key(&self.worker.routing(), dialect);
        checked.map_err(|reason| did_not_run(reason, 0))?;
        match self.request.key {
            Some(_) => self.owner_destination(),
            None => self.balanced_destination(),
        }
    }

    /// Returns the owner of the call's idempotency key, even if it is drained: the owner decides on
    /// the key and runs the request on an upstream with capacity.
    fn owner_destination(&mut self) -> Result<Destination, Refusal> {
        let routing = self.worker.routing();
        let service = &self.request.service;
        let key = self.request.key.as_ref();
        let owner = key.and_then(|key| key_owner(&routing.view.config, service, key));
        let owner =
            owner.ok_or_else(|| did_not_run(RefusalReason::NoUpstream, NO_UPSTREAM_RETRY_MS))?;
        let address = routing.candidates.address(&owner.vm);
        let address =
            address.ok_or_else(|| did_not_run(RefusalReason::Unreachable, NO_UPSTREAM_RETRY_MS))?;
        let ticket = self.worker.balancer.borrow_mut().begin_call(&owner.name);
        Ok(Destination {
            upstream: Arc::clone(owner),
            address,
            guard: CallGuard::new(&self.worker, ticket),
        })
    }

    fn balanced_destination(&mut self) -> Result<Destination, Refusal> {
        let routing = self.worker.routing();
        let all_candidates: Vec<_>;
        let candidates = if mutant::is_enabled(Mutant::Misroute) {
            all_candidates = routing.candidates.iter().cloned().collect();
            &all_candidates
        } else {
            routing.candidates.for_service(&self.request.service)
        };
        let unreachable = self.worker.pool.unreachable();
        let leaving = self.worker.leaving.borrow();
        let constraints = Constraints {
            excluded: &self.tried_upstreams,
            unreachable: &unreachable,
            leaving: &leaving,
            idempotent: self.request.idempotent,
            target_ms: self.request.route.target_ms,
        };
        let now = Instant::now();
        let mut balancer = self.worker.balancer.borrow_mut();
        let mut rng = self.worker.rng.borrow_mut();
        let chosen = balancer.choose(candidates, constraints, now, &mut *rng);
        let (candidate, ticket) = chosen.map_err(no_upstream)?;
        let recorder = &self.worker.recorder;
        for change in balancer.take_share_changes() {
            recorder.record_share_change(&change, routing.view.vms.number);
        }
        let settings = &self.worker.shared.settings;
        let is_leaving_domain = candidate.upstream.domain != settings.domain;
        record::count_direction(&self.request.service, is_leaving_domain);
        if ticket.is_probe() {
            recorder.record_probe(&candidate.upstream.name);
        }
        Ok(Destination {
            upstream: Arc::clone(&candidate.upstream),
            address: candidate.address,
            guard: CallGuard::new(&self.worker, ticket),
        })
    }

    async fn run_attempt(
        &mut self,
        destination: Destination,
    ) -> (AttemptResult, Destination, Feedback) {
        let head = self.call_head(&destination);
        let deadline = self.request.deadline;
        let stall_count = self.worker.shared.stall.stall_count();
        let started = Instant::now();
        let result = send_call(
            &self.worker.pool,
            destination.address,
            &head,
            &self.body,
            deadline.into(),
            self.worker.wait_for_cut(),
            self.worker.shared.gate.wait_until_refused(deadline),
        )
        .await;
        let mut feedback = feedback(&result);
        let is_stalled = stall_count != self.worker.shared.stall.stall_count();
        let is_brief = matches!(result, AttemptResult::TimedOut { .. })
            && started.elapsed() < MIN_BLAMED_TIMEOUT;
        if is_stalled || is_brief {
            feedback.evidence = feedback.evidence.filter(|e| *e == Evidence::Answered);
        }
        if self.body.error().is_some() {
            // This node reset the stream.
            feedback.evidence = None;
        }
        if self.request.key.is_some() && matches!(result, AttemptResult::Replied(_)) {
            // The owner may have run the request on another upstream, so the reply says nothing about
            // the health and load of its own.
            feedback.evidence = Some(Evidence::Answered);
            feedback.load = None;
        }
        self.report_to_balancer(&destination, &feedback);
        self.record_statement(&destination, &result);
        self.tried_upstreams.push(destination.upstream.name.clone());
        (result, destination, feedback)
    }

    /// Reports load, backoff and evidence from an attempt to the balancer.
    fn report_to_balancer(&self, destination: &Destination, feedback: &Feedback) {
        let ticket = destination.guard.ticket();
        let now = Instant::now();
        let mut balancer = self.worker.balancer.borrow_mut();
        if let Some(load) = feedback.load {
            balancer.record_load(ticket, load, now);
        }
        if let Some(round_trip) = self.worker.pool.round_trip(destination.address) {
            balancer.record_round_trip(&destination.upstream.domain, round_trip);
        }
        if let Some(backoff) = feedback.backoff {
            let target_ms = self.request.route.target_ms;
            balancer.back_off(ticket, target_ms, now + backoff, now);
        }
        if let Some(evidence) = feedback.evidence {
            let mut rng = self.worker.rng.borrow_mut();
            let change = balancer.observe(ticket, evidence, now, &mut *rng);
            if let Some(change) = change {
                self.worker
                    .recorder
                    .record_health_change(&destination.upstream.name, change);
            }
        }
    }

    /// Records that an upstream states in its answer that it is leaving. The answer to a call with an
    /// idempotency key may be that of another upstream.
    fn record_statement(&self, destination: &Destination, result: &AttemptResult) {
        let AttemptResult::Replied(reply) = result else {
            return;
        };
        let ReplyHead::Answer { headers, .. } = &reply.head else {
            return;
        };
        let dialect = self.worker.header_rules().dialect;
        let statement = Statement::read(dialect, |name| {
            let same = headers.iter().filter(move |(other, _)| other == name);
            same.map(|(_, value)| value.as_slice())
        });
        let is_ignored = self.request.key.is_some() || mutant::is_enabled(Mutant::IgnoreLeaving);
        if !statement.is_leaving || is_ignored {
            return;
        }
        let mut leaving = self.worker.leaving.borrow_mut();
        if leaving.record(&destination.upstream, Instant::now()) {
            let recorder = &self.worker.recorder;
            recorder.record_leaving(&self.call_fields(), &destination.upstream.name);
        }
    }

    fn call_fields(&self) -> CallFields<'_> {
        let request = &self.request;
        let organisation = request.organisation.as_ref();
        CallFields {
            call: &request.call_id,
            route: &request.route.name,
            service: &request.service,
            organisation: organisation.map(|organisation| &organisation.name),
            attempts: self.attempts.made(),
            arrived: request.arrived,
            age: self.age,
            list: self.worker.routing().view.vms.number,
        }
    }

    /// Returns whether a stop no longer passes the call on.
    fn is_refused_by_stop(&self) -> bool {
        self.worker.shared.gate.refuses(self.request.deadline)
    }

    /// Decides whether another attempt follows and waits until it is due.
    async fn prepare_retry(&mut self, failure: AttemptFailure) -> bool {
        if self.worker.is_cut() || self.is_refused_by_stop() {
            return false;
        }
        let is_resendable = self.body.is_resendable();
        let time_left = self.request.time_left();
        let service = self.request.service.clone();
        let next = self.worker.with_budget(&service, |budget, rng| {
            self.attempts
                .retry_decision(failure, is_resendable, time_left, budget, rng)
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

    /// Waits a short time for the sidecar's configuration, if it stated one, and routes the call
    /// again.
    ///
    /// Returns false if no route matches any more or the kind of the request changed. The call then
    /// ends, and a resend by the caller is routed as a new call.
    async fn reroute(&mut self, sequence: Option<Sequence>) -> bool {
        if let Some(sequence) = sequence {
            let reached = self.worker.wait_for_sequence(sequence);
            let _ = timeout_at(self.request.deadline.into(), reached).await;
        }
        let routes = Rc::clone(&self.worker.routing().routes);
        let choose_service = |route: &Route| self.worker.choose_service(route);
        self.request.reroute(&routes, choose_service)
    }

    fn call_head(&self, destination: &Destination) -> CallHead {
        let request = &self.request;
        let waited = self.age + request.arrived.elapsed();
        let time_left = request.time_left().saturating_sub(SIDECAR_REPLY_MARGIN);
        let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let stage = match request.kind() {
            RequestKind::Keyed => CallStage::Decide,
            RequestKind::Idempotent | RequestKind::Plain => CallStage::Plain,
        };
        CallHead {
            call: request.call_id.to_string(),
            attempt: self.attempts.made() + 1,
            sequence: request.sequence.0,
            route: request.route.name.to_string(),
            service: request.service.to_string(),
            upstream: destination.upstream.name.to_string(),
            stage,
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.attempt_headers(self.worker.header_rules().dialect),
            length: request.length,
            left_ms,
            priority: request.priority(),
            target_ms: request.route.target_ms.map(saturating_u32),
            waited_ms: saturating_u32(waited.as_millis()),
            hops: request.hops,
            idempotent: request.idempotent,
            key: request.key.as_ref().map(|key| key.as_str().to_string()),
            fingerprint: self.fingerprint,
        }
    }

    fn forward_answer(
        self,
        reply: Reply,
        destination: Destination,
        permit: Permit,
        open_call: OpenCall,
    ) -> CallerResponse {
        let ReplyHead::Answer {
            status,
            headers,
            length,
            sequence,
            ..
        } = &reply.head
        else {
            return self.refuse(bad_answer(), open_call);
        };
        let (length, note) = (*length, Sequence(*sequence));
        let dialect = self.worker.header_rules().dialect;
        let head =
            answer::response_head(*status, headers, &destination.upstream.name, note, dialect);
        let Some(mut builder) = head else {
            return self.refuse(bad_answer(), open_call);
        };
        answer::add_call_id(&mut builder, &self.request.call_id, dialect);
        let fields = CallFields {
            attempts: self.attempts.made() + 1,
            ..self.call_fields()
        };
        let recorder = &self.worker.recorder;
        recorder.record_answer(&fields, &destination.upstream.name, *status);
        // The connection drops a body of length zero without polling it.
        if self.request.method == "HEAD" || length == Some(0) {
            open_call.finish();
            return answer::with_body(&mut builder, empty_body(length));
        }
        if is_bodiless(*status) {
            open_call.finish();
            return answer::without_body(&mut builder);
        }
        let idle_timeout = Duration::from_millis(self.request.route.timeout_ms);
        open_call.record_answer();
        let guards = (destination.guard, permit, open_call);
        let body = reply_body(reply, length, idle_timeout, guards);
        answer::with_body(&mut builder, body)
    }

    /// Returns the final response to a call that no upstream answered. If any attempt may have run
    /// the request, the outcome is unknown even if the last attempt did not run it.
    fn refuse(&self, mut refusal: Refusal, open_call: OpenCall) -> CallerResponse {
        let is_too_large = self.body.error() == Some(BodyError::TooLarge);
        if is_too_large {
            refusal.reason = RefusalReason::BodyTooLarge;
            refusal.after_ms = 0;
        }
        if refusal.outcome == Outcome::DidNotRun && !self.attempts.has_not_run() {
            refusal.outcome = Outcome::Unknown;
        }
        if mutant::is_enabled(Mutant::FalseDidNotRun) {
            refusal.outcome = Outcome::DidNotRun;
        }
        let is_not_run = refusal.outcome == Outcome::DidNotRun;
        check_invariant(
            "false_did_not_run",
            !is_not_run || self.attempts.has_not_run(),
        );
        self.worker
            .recorder
            .record_refusal(&self.call_fields(), &refusal);
        let dialect = self.worker.header_rules().dialect;
        let mut builder = answer::refusal_response(&refusal, dialect);
        answer::add_call_id(&mut builder, &self.request.call_id, dialect);
        if is_too_large {
            builder.force_close();
        }
        open_call.finish();
        answer::without_body(&mut builder)
    }
}

/// Returns whether responses with the status never have a body.
fn is_bodiless(status: u16) -> bool {
    matches!(status, 100..200 | 204 | 304)
}

fn attempt_limit(request: &CallerRequest) -> AttemptLimit {
    let stated = request.route.attempts;
    stated.map_or_else(AttemptLimit::default, AttemptLimit::of_route)
}

fn saturating_u32(millis: impl TryInto<u32>) -> u32 {
    millis.try_into().unwrap_or(u32::MAX)
}
