//! Reports that all replicas keep in memory for a while.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Reports that a replica keeps.
const MAX_REPORTS: usize = 1024;
/// Longest life of a report.
const MAX_LIFE: Duration = Duration::from_secs(600);

/// A small observation of one replica that all others should know for a while.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftReport {
    /// Kind of the observation.
    pub kind: Arc<str>,
    /// Key of the thing that was observed.
    pub key: u64,
    /// What was observed.
    pub value: Arc<str>,
    /// Time in milliseconds for which the report is kept.
    pub ttl_ms: u32,
}

impl SoftReport {
    fn id(&self) -> u64 {
        let text = format!("{}\0{}\0{}", self.kind, self.key, self.value);
        xxh3_64(text.as_bytes())
    }
}

/// The reports that are alive, oldest first out.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportStore {
    reports: BTreeMap<u64, (SoftReport, Instant)>,
    order: VecDeque<u64>,
}

impl ReportStore {
    /// Keeps a report and returns whether it was unknown.
    pub(crate) fn insert(&mut self, report: &SoftReport, now: Instant) -> bool {
        let id = report.id();
        if self.reports.contains_key(&id) {
            return false;
        }
        let life = Duration::from_millis(u64::from(report.ttl_ms)).min(MAX_LIFE);
        if life.is_zero() {
            return false;
        }
        self.reports.insert(id, (report.clone(), now + life));
        self.order.push_back(id);
        while self.order.len() > MAX_REPORTS {
            if let Some(id) = self.order.pop_front() {
                self.reports.remove(&id);
            }
        }
        true
    }

    /// Forgets the reports whose time is over.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.reports.values().all(|(_, end)| *end > now) {
            return;
        }
        self.reports.retain(|_, (_, end)| *end > now);
        self.order.retain(|id| self.reports.contains_key(id));
    }

    /// Returns all live reports with the time that is left to each.
    pub(crate) fn live(&self, now: Instant) -> Vec<SoftReport> {
        self.reports
            .values()
            .filter(|(_, end)| *end > now)
            .map(|(report, end)| {
                let left = end.saturating_duration_since(now).as_millis();
                let ttl_ms = u32::try_from(left).unwrap_or(u32::MAX);
                SoftReport {
                    ttl_ms,
                    ..report.clone()
                }
            })
            .collect()
    }
}
