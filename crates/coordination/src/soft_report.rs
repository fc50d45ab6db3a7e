//! Short-lived reports that are replicated in memory.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of reports in a replica.
const MAX_REPORTS: usize = 1024;
/// Maximum time to live of a report.
const MAX_TTL: Duration = Duration::from_secs(600);

/// Observation of one replica that is distributed to all others and kept until its time to live is
/// over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftReport {
    /// Kind of the observation.
    pub kind: Arc<str>,
    /// Key of the observed object.
    pub key: u64,
    /// Observed value.
    pub value: Arc<str>,
    /// Remaining time to live in milliseconds.
    pub ttl_ms: u32,
}

impl SoftReport {
    fn id(&self) -> u64 {
        let text = format!("{}\0{}\0{}", self.kind, self.key, self.value);
        xxh3_64(text.as_bytes())
    }
}

/// Live reports of a replica. The oldest ones are evicted first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportStore {
    reports: BTreeMap<u64, (SoftReport, Instant)>,
    order: VecDeque<u64>,
}

impl ReportStore {
    /// Stores a report and returns whether it is new and has time to live left.
    pub(crate) fn insert(&mut self, report: &SoftReport, now: Instant) -> bool {
        let id = report.id();
        if self.reports.contains_key(&id) {
            return false;
        }
        let ttl = Duration::from_millis(u64::from(report.ttl_ms)).min(MAX_TTL);
        if ttl.is_zero() {
            return false;
        }
        self.reports.insert(id, (report.clone(), now + ttl));
        self.order.push_back(id);
        while self.order.len() > MAX_REPORTS {
            if let Some(id) = self.order.pop_front() {
                self.reports.remove(&id);
            }
        }
        true
    }

    /// Removes expired reports.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self
            .reports
            .values()
            .all(|(_, expires_at)| *expires_at > now)
        {
            return;
        }
        self.reports.retain(|_, (_, expires_at)| *expires_at > now);
        self.order.retain(|id| self.reports.contains_key(id));
    }

    /// Returns all live reports with their remaining time to live.
    pub(crate) fn live(&self, now: Instant) -> Vec<SoftReport> {
        self.reports
            .values()
            .filter(|(_, expires_at)| *expires_at > now)
            .map(|(report, expires_at)| {
                let remaining_ms = expires_at.saturating_duration_since(now).as_millis();
                let ttl_ms = u32::try_from(remaining_ms).unwrap_or(u32::MAX);
                SoftReport {
                    ttl_ms,
                    ..report.clone()
                }
            })
            .collect()
    }
}
