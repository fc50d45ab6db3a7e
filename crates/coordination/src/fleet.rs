//! Aggregates the sequences in force over the fleet.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    name::{DomainName, VmName},
    sequence::Sequence,
};

/// Maximum number of sequences counted separately in a summary.
const MAX_VERSIONS: usize = 4;
/// Maximum number of laggards listed in a summary.
const MAX_LAGGARDS: usize = 8;
/// Age after which a tree root's report is discarded.
const REPORT_TTL: Duration = Duration::from_secs(25);

/// Number of nodes by sequence in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Total number of nodes.
    pub nodes: u32,
    /// Number of nodes by sequence, newest first; the last count includes all older sequences.
    pub versions: Vec<(Sequence, u32)>,
    /// Nodes that are behind, furthest first.
    pub laggards: Vec<(VmName, Sequence)>,
}

impl Summary {
    /// Returns the summary of a single node.
    pub(crate) fn of_node(vm: &VmName, sequence: Sequence, highest: Sequence) -> Self {
        let is_behind = sequence < highest;
        Self {
            nodes: 1,
            versions: vec![(sequence, 1)],
            laggards: is_behind
                .then(|| (vm.clone(), sequence))
                .into_iter()
                .collect(),
        }
    }

    /// Adds the nodes of another summary.
    pub(crate) fn add(&mut self, other: &Self) {
        self.nodes += other.nodes;
        let mut counts: BTreeMap<Sequence, u32> = self.versions.iter().copied().collect();
        for &(sequence, count) in &other.versions {
            *counts.entry(sequence).or_default() += count;
        }
        let mut versions: Vec<_> = counts.into_iter().rev().collect();
        let older: u32 = versions.iter().skip(MAX_VERSIONS).map(|v| v.1).sum();
        versions.truncate(MAX_VERSIONS);
        if let Some(last) = versions.last_mut() {
            last.1 += older;
        }
        self.versions = versions;
        self.laggards.extend(other.laggards.iter().cloned());
        self.laggards.sort_by_key(|(_, sequence)| *sequence);
        self.laggards.truncate(MAX_LAGGARDS);
    }

    /// Returns the number of nodes that have a sequence or a newer one in force.
    #[must_use]
    pub fn nodes_at_least(&self, sequence: Sequence) -> u32 {
        let newer = self
            .versions
            .iter()
            .filter(|(in_force, _)| *in_force >= sequence);
        newer.map(|(_, count)| count).sum()
    }
}

/// Summary of a failure domain, reported by the root of an overlay tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeReport {
    /// Failure domain.
    pub domain: DomainName,
    /// Node at the root of the tree.
    pub root: VmName,
    /// Report number of the root; increases with each report, also across restarts.
    pub stamp: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u32,
    /// Summary of the nodes in the tree.
    pub summary: Summary,
}

/// Summaries of all failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetSummary {
    /// Summaries of the failure domains with recent reports.
    pub domains: BTreeMap<DomainName, Summary>,
}

/// Latest report of each tree root.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTable {
    reports: BTreeMap<(DomainName, VmName), (TreeReport, Instant)>,
}

impl FleetTable {
    /// Stores a report and returns whether it was newer than the stored one and not expired.
    pub(crate) fn insert(&mut self, report: &TreeReport, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let Some(made_at) = now.checked_sub(age).filter(|_| age < REPORT_TTL) else {
            return false;
        };
        let key = (report.domain.clone(), report.root.clone());
        let stored = self.reports.get(&key);
        if stored.is_some_and(|(stored, _)| stored.stamp >= report.stamp) {
            return false;
        }
        self.reports.insert(key, (report.clone(), made_at));
        true
    }

    /// Discards expired reports.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, (_, made_at)| now.saturating_duration_since(*made_at) < REPORT_TTL);
    }

    /// Returns all reports with their current age.
    pub(crate) fn reports(&self, now: Instant) -> Vec<TreeReport> {
        let aged = |(report, made_at): &(TreeReport, Instant)| {
            let age = now.saturating_duration_since(*made_at).as_millis();
            TreeReport {
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                ..report.clone()
            }
        };
        self.reports.values().map(aged).collect()
    }

    /// Returns the sum of the root reports in each failure domain.
    pub(crate) fn summary(&self) -> FleetSummary {
        let mut fleet = FleetSummary::default();
        for (report, _) in self.reports.values() {
            let entry = fleet.domains.entry(report.domain.clone()).or_default();
            entry.add(&report.summary);
        }
        fleet
    }
}
