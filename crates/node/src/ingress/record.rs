//! Metrics and events of the ingress.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use log::info;
use wagtaillever_coordination::{HealthChange, ServiceName, UpstreamName};

use crate::{
    ingress::answer::{outcome_text, reason_text},
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
}

impl Recorder {
    /// Returns a recorder to a time line.
    pub(super) fn new(timeline: Timeline) -> Self {
        Self {
            timeline,
            second: Cell::new(Instant::now()),
            taken: Cell::new(0),
        }
    }

    /// Records that the head of an upstream's answer was passed on.
    pub(super) fn answered(&self, service: &ServiceName, attempts: u32, since: Instant) {
        count_call(service, outcome_text(Outcome::Ran), attempts);
        let seconds = since.elapsed().as_secs_f64();
        metrics::histogram!("call_seconds", "service" => service.to_string()).record(seconds);
    }

    /// Records that a call got no answer of an upstream.
    pub(super) fn refused(
        &self,
        service: &ServiceName,
        attempts: u32,
        call: &str,
        refusal: &Refusal,
    ) {
        let reason = reason_text(refusal.reason);
        count_call(service, outcome_text(refusal.outcome), attempts);
        metrics::counter!("refusals_total", "reason" => reason).increment(1);
        if self.is_sampled() {
            info!(call:% = call, service:% = service, reason; "call got no answer of an upstream");
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
