//! What part of the fleet has which sequence in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{
    name::{DomainName, VmName},
    sequence::Sequence,
};

/// Sequences that a summary tells apart.
const MAX_VERSIONS: usize = 4;
/// Laggards that a summary names.
const MAX_LAGGARDS: usize = 8;
/// Time after which the report of a silent tree root no longer counts.
const REPORT_LIFE: Duration = Duration::from_secs(25);

/// How many nodes have which sequence in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Count of the nodes.
    pub nodes: u32,
    /// Nodes by sequence, newest first; the last count includes all older ones.
    pub versions: Vec<(Sequence, u32)>,
    /// Nodes that are behind, the furthest first.
    pub laggards: Vec<(VmName, Sequence)>,
}

impl Summary {
    /// Returns the summary of one node.
    pub(crate) fn of_node(vm: &VmName, have: Sequence, highest: Sequence) -> Self {
        let is_behind = have < highest;
        Self {
            nodes: 1,
            versions: vec![(have, 1)],
            laggards: is_behind.then(|| (vm.clone(), have)).into_iter().collect(),
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

    /// Returns how many nodes have a sequence or a newer one in force.
    #[must_use]
    pub fn nodes_at_least(&self, sequence: Sequence) -> u32 {
        let newer = self.versions.iter().filter(|(have, _)| *have >= sequence);
        newer.map(|(_, count)| count).sum()
    }
}

/// Summary of a failure domain as its tree root sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreeReport {
    /// Failure domain.
    pub domain: DomainName,
    /// Node at the root of the tree.
    pub root: VmName,
    /// Increasing number of the root's reports, over restarts of its process too.
    pub stamp: u64,
    /// Time in milliseconds since the root made the report.
    pub age_ms: u32,
    /// The summary.
    pub summary: Summary,
}

/// What part of each failure domain has which sequence in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetSummary {
    /// Summary of each failure domain that was heard of lately.
    pub domains: BTreeMap<DomainName, Summary>,
}

/// Reports of tree roots, one of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTable {
    reports: BTreeMap<(DomainName, VmName), (TreeReport, Instant)>,
}

impl FleetTable {
    /// Takes a report in and returns whether it is newer than the known one.
    pub(crate) fn insert(&mut self, report: &TreeReport, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let Some(made) = now.checked_sub(age).filter(|_| age < REPORT_LIFE) else {
            return false;
        };
        let key = (report.domain.clone(), report.root.clone());
        let known = self.reports.get(&key);
        if known.is_some_and(|(known, _)| known.stamp >= report.stamp) {
            return false;
        }
        self.reports.insert(key, (report.clone(), made));
        true
    }

    /// Forgets reports of roots that are silent.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REPORT_LIFE);
    }

    /// Returns all reports with their age.
    pub(crate) fn reports(&self, now: Instant) -> Vec<TreeReport> {
        let aged = |(report, at): &(TreeReport, Instant)| {
            let age = now.saturating_duration_since(*at).as_millis();
            TreeReport {
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                ..report.clone()
            }
        };
        self.reports.values().map(aged).collect()
    }

    /// Returns the sum of all roots of each failure domain.
    pub(crate) fn summary(&self) -> FleetSummary {
        let mut fleet = FleetSummary::default();
        for (report, _) in self.reports.values() {
            let entry = fleet.domains.entry(report.domain.clone()).or_default();
            entry.add(&report.summary);
        }
        fleet
    }
}
