//! Result of the experiment on calls.

use serde::Serialize;

use crate::{caller::Bucket, service::CallAudit};

/// Result of one run; the fields are those that reports read.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ServiceResult {
    /// Name of the deployment.
    pub(crate) deployment: String,
    /// Fault that was brought about.
    pub(crate) fault: String,
    /// Baseline that was measured; empty for the system itself.
    pub(crate) baseline: String,
    /// Seed of the run.
    pub(crate) seed: u64,
    /// Offered load as a multiple of the capacity.
    pub(crate) load: f64,
    /// Requests that were due in the measured span.
    pub(crate) offered: u64,
    /// Requests that got their whole answer in time.
    pub(crate) good: u64,
    /// Good requests a second, relative to the peak of the same run.
    pub(crate) goodput_ratio: f64,
    /// Median latency of good requests, in milliseconds.
    pub(crate) p50_ms: f64,
    /// 99th percentile of the latency of good requests, in milliseconds.
    pub(crate) p99_ms: f64,
    /// 99th percentile added by the system to a call, in milliseconds.
    pub(crate) added_p99_ms: Option<f64>,
    /// Attempts of the nodes for each call that reached one; resends of callers are calls of their own.
    pub(crate) attempts_per_call: f64,
    /// Requests refused with a true "did not run".
    pub(crate) refused: u64,
    /// Requests that may have run.
    pub(crate) unknown: u64,
    /// Promises that were broken.
    #[serde(flatten)]
    pub(crate) audit: CallAudit,
    /// Innocent requests that were refused as poison.
    pub(crate) innocent_refused: u64,
    /// Time from an order to drain until the last new work, in milliseconds.
    pub(crate) last_new_work_ms: Option<f64>,
    /// Invariants that nodes saw broken.
    pub(crate) invariants_broken: u64,
    /// Refusals by reason.
    pub(crate) reasons: std::collections::BTreeMap<String, u64>,
    /// The run in slices of time.
    pub(crate) series: Vec<Bucket>,
    /// Bounds that the run broke.
    pub(crate) broken: Vec<String>,
}

/// Bounds that a run must keep.
struct Bound {
    name: &'static str,
    holds: bool,
}

/// Highest 99th percentile that the system may add to a call, in milliseconds.
const ADDED_P99_MS: f64 = 1.9;
/// Longest time until a drained scope gets no new work, in milliseconds.
const LAST_NEW_WORK_MS: f64 = 3_000.0;
/// Lowest goodput under overload, relative to the peak.
const OVERLOAD_GOODPUT: f64 = 0.95;
/// Most attempts a call with a third of the upstreams failing.
const ATTEMPTS_PER_CALL: f64 = 1.2;
/// Most upstreams that one request may crash.
const CRASHES_PER_REQUEST: u64 = 2;

impl ServiceResult {
    /// Returns the result as a table for people.
    pub(crate) fn table(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        let fields = value.as_object().into_iter().flatten();
        let shown = fields.filter(|(name, _)| *name != "series");
        let lines = shown.map(|(name, value)| format!("{name:20} {value}"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Notes the bounds that the run broke.
    pub(crate) fn judge(&mut self, is_planned: bool, poisons: u64) {
        let audit = &self.audit;
        let zero = |name, count: u64| Bound {
            name,
            holds: count == 0,
        };
        let bounds = [
            zero("wrong", audit.wrong),
            zero("cut", if is_planned { audit.cut } else { 0 }),
            zero("ran_twice", audit.ran_twice),
            zero("false_did_not_run", audit.false_did_not_run),
            zero("misrouted", audit.misrouted),
            zero("over_limit", audit.over_limit),
            zero("swamped", audit.swamped),
            zero("innocent_refused", self.innocent_refused),
            zero("invariants_broken", self.invariants_broken),
            Bound {
                name: "upstreams_crashed",
                holds: audit.crashed <= poisons * CRASHES_PER_REQUEST,
            },
            Bound {
                name: "added_p99_ms",
                holds: self.added_p99_ms.is_none_or(|added| added <= ADDED_P99_MS),
            },
            Bound {
                name: "last_new_work_ms",
                holds: self
                    .last_new_work_ms
                    .is_none_or(|last| last <= LAST_NEW_WORK_MS),
            },
            Bound {
                name: "goodput_ratio",
                holds: self.fault != "overload" || self.goodput_ratio >= OVERLOAD_GOODPUT,
            },
            Bound {
                name: "attempts_per_call",
                holds: self.fault != "third-down" || self.attempts_per_call <= ATTEMPTS_PER_CALL,
            },
        ];
        let broken = bounds.iter().filter(|bound| !bound.holds);
        self.broken = broken.map(|bound| bound.name.to_string()).collect();
    }
}
