//! Requests that may crash upstreams.

use std::{cell::RefCell, time::Instant};

use log::warn;
use rand::random;
use wagtaillever_coordination::{InFlight, Poison, PoisonReport, Suspicion, UpstreamName};

use crate::timeline::{EventKind, Timeline};

/// Passes reports on suspects to other nodes.
pub(crate) trait ReportSink {
    /// Shares a report with other nodes, as far as they can be reached.
    fn share(&self, report: &PoisonReport);
}

/// Requests that may crash upstreams, as far as this node knows.
pub(super) struct Suspects {
    poison: RefCell<Poison>,
    timeline: Timeline,
    enabled: bool,
    sink: RefCell<Option<Box<dyn ReportSink>>>,
}

impl Suspects {
    /// Returns a set without suspects.
    pub(super) fn new(timeline: Timeline, enabled: bool) -> Self {
        Self {
            poison: RefCell::default(),
            timeline,
            enabled,
            sink: RefCell::default(),
        }
    }

    /// Returns how a request is treated.
    pub(super) fn suspicion(&self, fingerprint: u64) -> Suspicion {
        if !self.enabled {
            return Suspicion::Clear;
        }
        self.poison.borrow().suspicion(fingerprint, Instant::now())
    }

    /// Takes in the crash of an upstream.
    pub(super) fn crashed(&self, upstream: &UpstreamName, runs: &[InFlight]) {
        if !self.enabled {
            return;
        }
        let now = Instant::now();
        let reports = self.poison.borrow_mut().crashed(random(), runs, now);
        warn!(upstream:% = upstream, suspects = reports.len(); "upstream crashed");
        metrics::counter!("upstream_crashes_total").increment(1);
        self.timeline.record(EventKind::UpstreamCrashed {
            upstream: upstream.clone(),
            suspects: reports.len(),
        });
        for report in &reports {
            self.share(report);
        }
    }

    /// Clears a request that ran whole.
    pub(super) fn completed(&self, fingerprint: u64) {
        if !self.enabled {
            return;
        }
        let report = self
            .poison
            .borrow_mut()
            .completed(fingerprint, Instant::now());
        if let Some(report) = report {
            self.share(&report);
        }
    }

    /// Merges the report of another node; returns whether anything was new.
    pub(super) fn learn(&self, report: &PoisonReport) -> bool {
        self.poison.borrow_mut().learn(report, Instant::now())
    }

    /// Sets where reports go.
    pub(super) fn set_sink(&self, sink: Box<dyn ReportSink>) {
        self.sink.replace(Some(sink));
    }

    fn share(&self, report: &PoisonReport) {
        if let Some(sink) = &*self.sink.borrow() {
            sink.share(report);
        }
    }
}
