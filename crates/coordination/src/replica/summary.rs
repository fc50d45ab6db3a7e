//! What part of the fleet has which sequence in force: up the tree, then everywhere.

use std::time::{Duration, Instant};

use super::{LinkId, Replica};
use crate::{
    fleet::{Summary, TreeReport},
    message::Message,
    vm::Incarnation,
};

/// Time between two rounds of reports.
const ROUND: Duration = Duration::from_millis(400);
/// Shortest time between two reports of one root.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Longest time between two reports of one root.
const REFRESH_EVERY: Duration = Duration::from_secs(10);

/// Reports that this node made as the root of a tree.
#[derive(Clone, Debug)]
pub(super) struct OwnReport {
    stamp: u64,
    made: Option<Instant>,
    summary: Summary,
    started: Instant,
}

impl OwnReport {
    pub(super) fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            stamp: incarnation.0,
            made: None,
            summary: Summary::default(),
            started: now,
        }
    }

    fn is_due(&self, summary: &Summary, now: Instant) -> bool {
        let Some(made) = self.made else {
            return summary.nodes > 0 && now > self.started + REPORT_EVERY;
        };
        let age = now.saturating_duration_since(made);
        if *summary == self.summary {
            return summary.nodes > 0 && age >= REFRESH_EVERY;
        }
        age >= REPORT_EVERY
    }
}

impl Replica {
    /// Returns the summary of this node and all below it.
    pub(super) fn subtree(&self) -> Summary {
        let mut sum = Summary::of_node(&self.me.vm, self.fold.sequence(), self.highest);
        for link in self.links.values() {
            let peer = link.peer.as_ref();
            if let Some(subtree) = peer.and_then(|peer| peer.digest.subtree.as_ref()) {
                sum.add(subtree);
            }
        }
        sum
    }

    pub(super) fn send_fleet(&mut self, now: Instant) {
        if now < self.fleet_due {
            return;
        }
        self.fleet_due = now + ROUND;
        self.make_report(now);
        let dirty = std::mem::take(&mut self.dirty_fleet);
        if dirty.is_empty() {
            return;
        }
        let reports = self.fleet.reports(now);
        let reports: Vec<_> = reports
            .into_iter()
            .filter(|report| dirty.contains(&(report.domain.clone(), report.root.clone())))
            .collect();
        let links: Vec<_> = self.links.keys().copied().collect();
        for id in links {
            self.send_reports(id, &reports);
        }
    }

    fn send_reports(&mut self, id: LinkId, reports: &[TreeReport]) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.peer.is_none() {
            return;
        }
        let from_link = &link.reported;
        let news: Vec<_> = reports
            .iter()
            .filter(|report| {
                from_link
                    .get(&report.root)
                    .is_none_or(|s| *s < report.stamp)
            })
            .cloned()
            .collect();
        for report in &news {
            link.reported.insert(report.root.clone(), report.stamp);
        }
        if !news.is_empty() {
            self.send(id, Message::Fleet(news));
        }
    }

    fn make_report(&mut self, now: Instant) {
        let is_root = self.uplinks.is_empty() && !self.overlay.is_empty();
        let summary = if is_root {
            self.subtree()
        } else {
            Summary::default()
        };
        if !self.own_report.is_due(&summary, now) {
            return;
        }
        self.own_report.stamp += 1;
        self.own_report.made = Some(now);
        self.own_report.summary = summary.clone();
        let report = TreeReport {
            domain: self.me.domain.clone(),
            root: self.me.vm.clone(),
            stamp: self.own_report.stamp,
            age_ms: 0,
            summary,
        };
        self.take_report(&report, now);
    }

    pub(super) fn receive_fleet(&mut self, id: LinkId, reports: &[TreeReport], now: Instant) {
        for report in reports {
            if let Some(link) = self.links.get_mut(&id) {
                link.reported.insert(report.root.clone(), report.stamp);
            }
            self.take_report(report, now);
        }
    }

    fn take_report(&mut self, report: &TreeReport, now: Instant) {
        if self.fleet.insert(report, now) {
            let key = (report.domain.clone(), report.root.clone());
            self.dirty_fleet.insert(key);
        }
    }
}
