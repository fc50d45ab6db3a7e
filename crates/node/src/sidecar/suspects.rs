//! Requests suspected of crashing upstreams.

use std::{cell::RefCell, time::Instant};

use log::{info, warn};
use rand::random;
use wagtaillever_coordination::{
    InFlight, PoisonReport, PoisonTracker, SoftReport, Suspicion, UpstreamName,
};

use crate::peers::PeersHandle;
use crate::timeline::{EventKind, Timeline};

/// Requests suspected of crashing upstreams, as known to this node.
pub(super) struct Suspects {
    poison: RefCell<PoisonTracker>,
    timeline: Timeline,
    is_enabled: bool,
    peers: Option<PeersHandle>,
}

impl Suspects {
    /// Returns a set without suspects.
    pub(super) fn new(timeline: Timeline, is_enabled: bool, peers: Option<PeersHandle>) -> Self {
        Self {
            poison: RefCell::default(),
            timeline,
            is_enabled,
            peers,
        }
    }

    /// Returns how to treat a request at an upstream with the given rank for trials.
    pub(super) fn suspicion(&self, fingerprint: u64, rank: impl FnOnce() -> u32) -> Suspicion {
        if !self.is_enabled {
            return Suspicion::Clear;
        }
        let poison = self.poison.borrow();
        poison.suspicion(fingerprint, Instant::now(), rank)
    }

    /// Records a crash of an upstream and reports the suspects to other nodes.
    pub(super) fn record_crash(&self, upstream: &UpstreamName, requests: &[InFlight]) {
        if !self.is_enabled {
            return;
        }
        let now = Instant::now();
        let reports = self
            .poison
            .borrow_mut()
            .record_crash(random(), requests, now);
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

    /// Clears the suspicion against a request that ran to completion.
    pub(super) fn record_completion(&self, fingerprint: u64) {
        if !self.is_enabled {
            return;
        }
        let report = self
            .poison
            .borrow_mut()
            .record_completion(fingerprint, Instant::now());
        if let Some(report) = report {
            info!(fingerprint = format!("{fingerprint:016x}"); "request cleared of crashing upstreams");
            self.share(&report);
        }
    }

    /// Merges a report from another node.
    pub(super) fn merge_report(&self, report: &SoftReport) {
        if !self.is_enabled || *report.kind != *REPORT_KIND {
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
        peers.broadcast_report(SoftReport {
            kind: REPORT_KIND.into(),
            key: report.fingerprint,
            value: value.into(),
            ttl_ms: REPORT_TTL_MS,
        });
    }
}

/// Kind of the soft reports on suspects.
const REPORT_KIND: &str = "poison";
/// Time to live of a report.
const REPORT_TTL_MS: u32 = 600_000;
