//! Metrics, log lines and timeline events of the ingress.

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use log::info;
use wagtaillever_coordination::{
    AttemptFailure, HealthChange, OrganisationName, RouteName, ServiceName, UpstreamName,
};

use crate::{
    ingress::{
        answer::{outcome_text, reason_text},
        attempt::BreakCause,
    },
    logging::LineBudget,
    timeline::{EventKind, Timeline},
    wire::{Outcome, Refusal},
};

/// Largest number of refused calls that are recorded in the timeline in a second.
const MAX_EVENTS_PER_SECOND: u32 = 20;

/// Records the results of calls and attempts.
pub(super) struct Recorder {
    timeline: Timeline,
    window_start: Cell<Instant>,
    window_events: Cell<u32>,
    line_budget: RefCell<LineBudget>,
}

/// Fields common to the log lines of a call.
pub(super) struct CallFields<'a> {
    /// Call ID.
    pub(super) call: &'a str,
    /// Route of the call.
    pub(super) route: &'a RouteName,
    /// Service to which the call is routed.
    pub(super) service: &'a ServiceName,
    /// Organisation of the caller, if the call needs an API key.
    pub(super) organisation: Option<&'a OrganisationName>,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// Time at which the request arrived.
    pub(super) arrived: Instant,
    /// Time that the caller had already waited when it sent the request.
    pub(super) age: Duration,
    /// Number of the VM list from which upstreams were chosen.
    pub(super) list: u64,
}

impl CallFields<'_> {
    /// Returns the name of the organisation as a log value.
    fn organisation(&self) -> Option<&str> {
        self.organisation.map(OrganisationName::as_str)
    }
}

impl Recorder {
    pub(super) fn new(timeline: Timeline) -> Self {
        Self {
            timeline,
            window_start: Cell::new(Instant::now()),
            window_events: Cell::new(0),
            line_budget: RefCell::new(LineBudget::new(Instant::now())),
        }
    }

    /// Records that an upstream answered and the head of its answer is sent to the caller.
    pub(super) fn record_answer(
        &self,
        fields: &CallFields<'_>,
        upstream: &UpstreamName,
        status: u16,
    ) {
        let service = fields.service;
        count_call(service, outcome_text(Outcome::Ran), fields.attempts);
        let took = fields.arrived.elapsed();
        let seconds = took.as_secs_f64();
        metrics::histogram!("call_seconds", "service" => service.to_string()).record(seconds);
        if let Some(left_out) = self.take_line() {
            info!(
                call = fields.call, route:% = fields.route, service:% = service,
                organisation = fields.organisation(), upstream:% = upstream, status, attempts = fields.attempts,
                took_ms = millis(took), age_ms = millis(fields.age), list = fields.list, left_out;
                "call answered"
            );
        }
    }

    /// Records that an attempt ended without an answer of its upstream.
    pub(super) fn record_failed_attempt(
        &self,
        fields: &CallFields<'_>,
        upstream: &UpstreamName,
        failure: AttemptFailure,
        broken_by: Option<BreakCause>,
        refusal: &Refusal,
    ) {
        let reason = reason_text(refusal.reason);
        metrics::counter!("attempts_failed_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.take_line() {
            info!(
                call = fields.call, upstream:% = upstream, attempt = fields.attempts, reason,
                outcome = outcome_text(refusal.outcome), is_arrived = failure.may_have_arrived(),
                organisation = fields.organisation(), broken_by = broken_by.map(BreakCause::as_str),
                list = fields.list, left_out;
                "attempt failed"
            );
        }
    }

    /// Records that a request was rejected before its first attempt, with its route if that was found.
    pub(super) fn record_rejection(
        &self,
        call: &str,
        reason: &'static str,
        route: Option<&RouteName>,
    ) {
        metrics::counter!("requests_turned_away_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.take_line() {
            let route = route.map(RouteName::as_str);
            info!(call, route, reason, left_out; "request rejected");
        }
    }

    /// Records that a call ended without an answer of an upstream.
    pub(super) fn record_refusal(&self, fields: &CallFields<'_>, refusal: &Refusal) {
        let CallFields { call, service, .. } = *fields;
        let reason = reason_text(refusal.reason);
        let outcome = outcome_text(refusal.outcome);
        count_call(service, outcome, fields.attempts);
        metrics::counter!("refusals_total", "reason" => reason).increment(1);
        if let Some(left_out) = self.take_line() {
            info!(
                call, route:% = fields.route, service:% = service,
                organisation = fields.organisation(), reason, outcome,
                after_ms = refusal.after_ms, attempts = fields.attempts,
                took_ms = millis(fields.arrived.elapsed()), age_ms = millis(fields.age),
                list = fields.list, left_out;
                "call refused"
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

    /// Records that an upstream was ejected or returned from ejection.
    pub(super) fn record_health_change(&self, upstream: &UpstreamName, change: HealthChange) {
        let upstream = upstream.clone();
        match change {
            HealthChange::Ejected(span) => {
                let span_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
                info!(upstream:% = upstream, span_ms; "upstream ejected");
                metrics::counter!("ejections_total").increment(1);
                self.timeline
                    .record(EventKind::UpstreamEjected { upstream, span_ms });
            }
            HealthChange::Returned => {
                info!(upstream:% = upstream; "upstream returned from ejection");
                self.timeline
                    .record(EventKind::UpstreamReturned { upstream });
            }
        }
    }

    /// Records that a call is sent to an ejected upstream as a probe.
    pub(super) fn record_probe(&self, upstream: &UpstreamName) {
        let upstream = upstream.clone();
        self.timeline.record(EventKind::UpstreamProbed { upstream });
    }

    /// Records that an upstream states in its answer that it is leaving, so that it is chosen for no
    /// further call.
    pub(super) fn record_leaving(&self, fields: &CallFields<'_>, upstream: &UpstreamName) {
        metrics::counter!("upstreams_leaving_total").increment(1);
        if let Some(left_out) = self.take_line() {
            info!(
                call = fields.call, upstream:% = upstream, list = fields.list, left_out;
                "upstream is leaving by its answer"
            );
        }
    }

    /// Takes a line from the budget and returns how many lines were left out before it; `None` if
    /// this line must be left out.
    fn take_line(&self) -> Option<u64> {
        self.line_budget.borrow_mut().take(Instant::now())
    }

    /// Counts an event and returns whether the limit per second allows recording it.
    fn is_sampled(&self) -> bool {
        if self.window_start.get().elapsed() >= Duration::from_secs(1) {
            self.window_start.set(Instant::now());
            self.window_events.set(0);
        }
        let window_events = self.window_events.get();
        self.window_events.set(window_events.saturating_add(1));
        window_events < MAX_EVENTS_PER_SECOND
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
