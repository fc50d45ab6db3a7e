//! Summaries of the requests of callers.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::{CallOutcome, CallRecord, SendOutcome};

/// Summary of the requests that were due in a time span.
#[derive(Debug)]
pub(crate) struct Tally {
    /// Number of requests that were due.
    pub(crate) offered: u64,
    /// Number of requests by outcome.
    pub(crate) outcomes: BTreeMap<CallOutcome, u64>,
    /// Number of sends by outcome.
    pub(crate) send_outcomes: BTreeMap<SendOutcome, u64>,
    /// Number of sends by the reason that the response gave.
    pub(crate) reasons: BTreeMap<String, u64>,
    /// Time from the scheduled time of good requests until their response, in microseconds.
    pub(crate) latency: Histogram<u64>,
}

/// Highest latency that is recorded, in microseconds; higher ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Requests that were due in one time slice of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Bucket {
    /// Start of the slice since the start of the load, in milliseconds.
    pub(crate) at_ms: u64,
    /// Number of requests that were due.
    pub(crate) offered: u64,
    /// Number of these requests with a complete response in time.
    pub(crate) good: u64,
    /// Number of these requests that were refused.
    pub(crate) refused: u64,
    /// Number of these requests whose outcome is wrong, unknown or broken.
    pub(crate) unknown: u64,
    /// Highest latency of a good request, in milliseconds.
    pub(crate) max_ms: f64,
}

impl Tally {
    /// Summarises the records that were due in `from..to`.
    ///
    /// # Panics
    ///
    /// Does not panic: the range of the histogram is valid.
    pub(crate) fn of(records: &[CallRecord], from: Duration, to: Duration) -> Self {
        let mut tally = Self {
            offered: 0,
            outcomes: BTreeMap::new(),
            send_outcomes: BTreeMap::new(),
            reasons: BTreeMap::new(),
            latency: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("histogram range is valid"),
        };
        let due = records
            .iter()
            .filter(|record| (from..to).contains(&record.due));
        for record in due {
            tally.add(record);
        }
        tally
    }

    /// Returns the number of requests with an outcome.
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
            self.latency.saturating_record(micros.min(MAX_LATENCY_US));
        }
    }
}

impl Bucket {
    /// Returns the time slices of length `width` of a run.
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
