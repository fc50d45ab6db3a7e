//! Requests that may crash upstreams.

use std::{cell::RefCell, time::Instant};

use log::warn;
use rand::random;
use wagtaillever_coordination::{
    InFlight, PoisonReport, PoisonTracker, SoftReport, Suspicion, UpstreamName,
};

use crate::peers::PeersHandle;
use crate::timeline::{EventKind, Timeline};

/// Requests that may crash upstreams, as far as this node knows.
pub(super) struct Suspects {
    poison: RefCell<PoisonTracker>,
    timeline: Timeline,
    enabled: bool,
    peers: Option<PeersHandle>,
}

impl Suspects {
    /// Returns a set without suspects.
    pub(super) fn new(timeline: Timeline, enabled: bool, peers: Option<PeersHandle>) -> Self {
        Self {
            poison: RefCell::default(),
            timeline,
            enabled,
            peers,
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
        let reports = self.poison.borrow_mut().record_crash(random(), runs, now);
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
            .record_completion(fingerprint, Instant::now());
        if let Some(report) = report {
            self.share(&report);
        }
    }

    /// Merges a report of another node.
    pub(super) fn learn(&self, report: &SoftReport) {
        if !self.enabled || *report.kind != *REPORT_KIND {
            return;
        }
        if let Ok(report) = serde_json::from_str::<PoisonReport>(&report.value) {
            self.poison.borrow_mut().merge(&report, Instant::now());
        }
    }

    fn share(&self, report: &PoisonReport) {
        let Some(peers) = &self.peers else {
            return;
        };
        let Ok(value) = serde_json::to_string(report) else {
            return;
        };
        peers.share(SoftReport {
            kind: REPORT_KIND.into(),
            key: report.fingerprint,
            value: value.into(),
            ttl_ms: REPORT_TTL_MS,
        });
    }
}

/// Kind of the reports on suspects.
const REPORT_KIND: &str = "poison";
/// Life of a report in milliseconds.
const REPORT_TTL_MS: u32 = 600_000;
