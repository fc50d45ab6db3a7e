//! Counts of nodes by sequence in force, which are summed up the tree and then sent to all nodes.

use std::time::{Duration, Instant};

use super::{LinkId, Replica};
use crate::{
    fleet::{Summary, TreeReport},
    message::Message,
    vm::Incarnation,
};

/// Time between two rounds of sending reports.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two reports of one root.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two reports of one root.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Last report that this node made as the root of a tree.
#[derive(Clone, Debug)]
pub(super) struct RootReport {
    stamp: u64,
    created: Option<Instant>,
    summary: Summary,
    started: Instant,
}

impl RootReport {
    pub(super) fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            stamp: incarnation.0,
            created: None,
            summary: Summary::default(),
            started: now,
        }
    }

    fn is_due(&self, summary: &Summary, now: Instant) -> bool {
        let Some(created) = self.created else {
            return summary.nodes > 0 && now > self.started + MIN_REPORT_INTERVAL;
        };
        let age = now.saturating_duration_since(created);
        if *summary == self.summary {
            return summary.nodes > 0 && age >= MAX_REPORT_INTERVAL;
        }
        age >= MIN_REPORT_INTERVAL
    }
}

impl Replica {
    /// Returns the summary of this node and all nodes below it in the tree.
    pub(super) fn subtree(&self) -> Summary {
        let mut total = Summary::of_node(&self.identity.vm, self.fold.sequence(), self.highest);
        for link in self.links.values() {
            let peer = link.peer.as_ref();
            if let Some(subtree) = peer.and_then(|peer| peer.digest.subtree.as_ref()) {
                total.add(subtree);
            }
        }
        total
    }

    pub(super) fn send_fleet(&mut self, now: Instant) {
        if now < self.fleet_due {
            return;
        }
        self.fleet_due = now + ROUND_INTERVAL;
        self.update_root_report(now);
        let unsent = std::mem::take(&mut self.unsent_reports);
        if unsent.is_empty() {
            return;
        }
        let reports = self.fleet.reports(now);
        let reports: Vec<_> = reports
            .into_iter()
            .filter(|report| unsent.contains(&(report.domain.clone(), report.root.clone())))
            .collect();
        let links: Vec<_> = self.links.keys().copied().collect();
        for id in links {
            self.send_newer_reports(id, &reports);
        }
    }

    fn send_newer_reports(&mut self, id: LinkId, reports: &[TreeReport]) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.peer.is_none() {
            return;
        }
        let known = &link.report_stamps;
        let newer: Vec<_> = reports
            .iter()
            .filter(|report| {
                known
                    .get(&report.root)
                    .is_none_or(|stamp| *stamp < report.stamp)
            })
            .cloned()
            .collect();
        for report in &newer {
            link.report_stamps.insert(report.root.clone(), report.stamp);
        }
        if !newer.is_empty() {
            self.send(id, Message::Fleet(newer));
        }
    }

    fn update_root_report(&mut self, now: Instant) {
        let is_root = self.uplinks.is_empty() && !self.overlay.is_empty();
        let summary = if is_root {
            self.subtree()
        } else {
            Summary::default()
        };
        if !self.root_report.is_due(&summary, now) {
            return;
        }
        self.root_report.stamp += 1;
        self.root_report.created = Some(now);
        self.root_report.summary = summary.clone();
        let report = TreeReport {
            domain: self.identity.domain.clone(),
            root: self.identity.vm.clone(),
            stamp: self.root_report.stamp,
            age_ms: 0,
            summary,
        };
        self.store_report(&report, now);
    }

    pub(super) fn receive_fleet(&mut self, id: LinkId, reports: &[TreeReport], now: Instant) {
        for report in reports {
            if let Some(link) = self.links.get_mut(&id) {
                link.report_stamps.insert(report.root.clone(), report.stamp);
            }
            self.store_report(report, now);
        }
    }

    fn store_report(&mut self, report: &TreeReport, now: Instant) {
        if self.fleet.insert(report, now) {
            let key = (report.domain.clone(), report.root.clone());
            self.unsent_reports.insert(key);
        }
    }
}
