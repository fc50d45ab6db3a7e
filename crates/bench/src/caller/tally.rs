//! Sums over the requests of callers.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{CallOutcome, CallRecord, SendOutcome};

/// Sums over the requests that were due in a span.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Requests that were due.
    pub(crate) offered: u64,
    /// Requests by what became of them.
    pub(crate) outcomes: BTreeMap<CallOutcome, u64>,
    /// Sendings by what they told.
    pub(crate) send_outcomes: BTreeMap<SendOutcome, u64>,
    /// Refusals by reason.
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Time from when good requests were due until their answer, in microseconds.
    pub(crate) latency: Histogram<u64>,
}

/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// One slice of time of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Bucket {
    /// Start of the slice since the start of the load, in milliseconds.
    pub(crate) at_ms: u64,
    /// Requests that were due.
    pub(crate) offered: u64,
    /// Requests of these that got their answer.
    pub(crate) good: u64,
    /// Requests of these that were refused.
    pub(crate) refused: u64,
    /// Requests of these that ended unknown or broken.
    pub(crate) unknown: u64,
    /// Longest time of a good request, in milliseconds.
    pub(crate) max_ms: f64,
}

impl Tally {
    /// Sums the records that were due in `from..to`.
    ///
    /// # Panics
    ///
    /// Does not panic: the histogram's range is valid.
    pub(crate) fn of(records: &[CallRecord], from: Duration, to: Duration) -> Self {
        let mut tally = Self {
            offered: 0,
            outcomes: BTreeMap::new(),
            send_outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latency: Histogram::new_with_max(LONGEST_US, 3).expect("the range is valid"),
        };
        let due = records
            .iter()
            .filter(|record| (from..to).contains(&record.due));
        for record in due {
            tally.add(record);
        }
        tally
    }

    /// Returns the requests that became `answered`.
    pub(crate) fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    /// Returns a quantile of the latency of good requests, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    fn add(&mut self, record: &CallRecord) {
        self.offered += 1;
        *self.outcomes.entry(record.outcome).or_default() += 1;
        for send in &record.sends {
            *self.send_outcomes.entry(send.outcome).or_default() += 1;
            if !send.reason.is_empty() {
                *self.reasons.entry(send.reason.clone()).or_default() += 1;
            }
        }
        if record.outcome == CallOutcome::Good {
            let micros = u64::try_from(record.latency.as_micros()).unwrap_or(u64::MAX);
            self.latency.saturating_record(micros.min(LONGEST_US));
        }
    }
}

impl Bucket {
    /// Cuts a run into slices of `width`.
    pub(crate) fn series(records: &[CallRecord], width: Duration) -> Vec<Self> {
        let mut buckets: BTreeMap<u64, Self> = BTreeMap::new();
        let width = u64::try_from(width.as_millis()).unwrap_or(u64::MAX).max(1);
        for record in records {
            let at = u64::try_from(record.due.as_millis()).unwrap_or(u64::MAX) / width * width;
            let bucket = buckets.entry(at).or_default();
            bucket.at_ms = at;
            bucket.add(record);
        }
        buckets.into_values().collect()
    }

    fn add(&mut self, record: &CallRecord) {
        self.offered += 1;
        match record.outcome {
            CallOutcome::Good => {
                self.good += 1;
                self.max_ms = self.max_ms.max(record.latency.as_secs_f64() * 1e3);
            }
            CallOutcome::Refused => self.refused += 1,
            CallOutcome::Wrong | CallOutcome::Unknown | CallOutcome::Broken => self.unknown += 1,
        }
    }
}
