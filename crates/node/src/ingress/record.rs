//! Metrics and events of the ingress.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use log::info;
use wagtaillever_coordination::{
    AttemptFailure, HealthChange, RouteName, ServiceName, UpstreamName,
};

use crate::{
    ingress::answer::{outcome_text, reason_text},
    logging::LineBudget,
    timeline::{EventKind, Timeline},
    wire::{Outcome, Refusal},
};

/// Events of calls that the time line takes in a second.
const EVENTS_PER_SECOND: u32 = 20;

/// Records what becomes of calls.
pub(super) struct Recorder {
    timeline: Timeline,
    second: Cell<Instant>,
    taken: Cell<u32>,
    lines: RefCell<LineBudget>,
}

/// What the lines of a call have in common.
pub(super) struct CallFacts<'a> {
    /// Identity of the call.
    pub(super) call: &'a str,
    /// Route that it takes.
    pub(super) route: &'a RouteName,
    /// Service to which it goes.
    pub(super) service: &'a ServiceName,
    /// Attempts that were made.
    pub(super) attempts: u32,
    /// Time at which it arrived.
    pub(super) arrived: Instant,
    /// Time for which its caller had waited before.
    pub(super) age: Duration,
    /// Number of the list of VMs by which upstreams were chosen.
    pub(super) list: u64,
}

impl Recorder {
    /// Returns a recorder to a time line.
    pub(super) fn new(timeline: Timeline) -> Self {
        Self {
            timeline,
            second: Cell::new(Instant::now()),
            taken: Cell::new(0),
            lines: RefCell::new(LineBudget::new(Instant::now())),
        }
    }

    /// Records that the head of an upstream's answer was passed on.
    pub(super) fn answered(&self, facts: &CallFacts<'_>, upstream: &UpstreamName, status: u16) {
        let service = facts.service;
        count_call(service, outcome_text(Outcome::Ran), facts.attempts);
        let took = facts.arrived.elapsed();
        let seconds = took.as_secs_f64();
        metrics::histogram!("call_seconds", "service" => service.to_string()).record(seconds);
        if let Some(left_out) = self.line() {
            info!(
                call = facts.call, route:% = facts.route, service:% = service,
                upstream:% = upstream, status, attempts = facts.attempts,
                took_ms = millis(took), age_ms = millis(facts.age), list = facts.list, left_out;
                "call is answered"
            );
        }
    }

    /// Records that an attempt got no answer, and whether there is another one.
    pub(super) fn attempt_failed(
        &self,
        facts: &CallFacts<'_>,
        upstream: &UpstreamName,
        end: AttemptFailure,
        refusal: &Refusal,
    ) {
        let reason = reason_text(refusal.reason);
        metrics::counter!("attempts_failed_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.line() {
            info!(
                call = facts.call, upstream:% = upstream, attempt = facts.attempts, reason,
                outcome = outcome_text(refusal.outcome), is_arrived = end.may_have_arrived(),
                list = facts.list, left_out;
                "attempt got no answer"
            );
        }
    }

    /// Records that a request was refused before it was routed.
    pub(super) fn turned_away(&self, call: &str, reason: &'static str) {
        metrics::counter!("requests_turned_away_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.line() {
            info!(call, reason, left_out; "request is turned away");
        }
    }

    /// Records that a call got no answer of an upstream.
    pub(super) fn refused(&self, facts: &CallFacts<'_>, refusal: &Refusal) {
        let CallFacts { call, service, .. } = *facts;
        let reason = reason_text(refusal.reason);
        let outcome = outcome_text(refusal.outcome);
        count_call(service, outcome, facts.attempts);
        metrics::counter!("refusals_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.line() {
            info!(
                call, route:% = facts.route, service:% = service, reason, outcome,
                after_ms = refusal.after_ms, attempts = facts.attempts,
                took_ms = millis(facts.arrived.elapsed()), age_ms = millis(facts.age),
                list = facts.list, left_out;
                "call got no answer of an upstream"
            );
        }
        if self.is_sampled() {
            self.timeline.record(EventKind::CallRefused {
                call: call.into(),
                service: service.clone(),
                outcome: refusal.outcome,
                reason: refusal.reason,
            });
        }
    }

    /// Records that an upstream was ejected or returned.
    pub(super) fn health_changed(&self, upstream: &UpstreamName, change: HealthChange) {
        let upstream = upstream.clone();
        match change {
            HealthChange::Ejected(span) => {
                let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
                info!(upstream:% = upstream, span_ms; "upstream is ejected");
                metrics::counter!("ejections_total").increment(1);
                self.timeline
                    .record(EventKind::UpstreamEjected { upstream, span_ms });
            }
            HealthChange::Returned => {
                info!(upstream:% = upstream; "upstream returned");
                self.timeline
                    .record(EventKind::UpstreamReturned { upstream });
            }
        }
    }

    /// Records that a call probes an ejected upstream.
    pub(super) fn probed(&self, upstream: &UpstreamName) {
        let upstream = upstream.clone();
        self.timeline.record(EventKind::UpstreamProbed { upstream });
    }

    fn line(&self) -> Option<u64> {
        self.lines.borrow_mut().take(Instant::now())
    }

    /// Returns whether the time line takes one more event of a call.
    fn is_sampled(&self) -> bool {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.taken.set(0);
        }
        let taken = self.taken.get();
        self.taken.set(taken.saturating_add(1));
        taken < EVENTS_PER_SECOND
    }
}

fn count_call(service: &ServiceName, outcome: &'static str, attempts: u32) {
    let service = service.to_string();
    metrics::counter!("calls_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    metrics::counter!("attempts_total", "service" => service).increment(u64::from(attempts));
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
