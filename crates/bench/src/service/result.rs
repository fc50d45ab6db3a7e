//! Result of the call experiment.

use serde::Serialize;

use crate::{caller::Bucket, service::CallAudit};

/// Result of one run, serialized with the field names that reports read.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ServiceResult {
    pub(crate) deployment: String,
    /// Injected fault.
    pub(crate) fault: String,
    /// Measured baseline; empty for the system itself.
    pub(crate) baseline: String,
    pub(crate) seed: u64,
    /// Offered load as a multiple of the capacity.
    pub(crate) load: f64,
    /// Requests that were due in the measured window.
    pub(crate) offered: u64,
    /// Requests that received the complete answer before their deadline.
    pub(crate) good: u64,
    /// Rate of good requests relative to the peak rate of the run; without a measured peak, the
    /// share of good requests.
    pub(crate) goodput_ratio: f64,
    /// Median latency of good requests, in milliseconds.
    pub(crate) p50_ms: f64,
    /// 99th percentile of the latency of good requests, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Difference between the 99th percentiles of the latency through the nodes and directly to the
    /// upstreams, in milliseconds.
    pub(crate) added_p99_ms: Option<f64>,
    /// Attempts of the nodes per received call; a resend of a caller counts as a separate call.
    pub(crate) attempts_per_call: f64,
    /// Requests that were refused without having run.
    pub(crate) refused: u64,
    /// Requests that may have run, without a complete answer.
    pub(crate) unknown: u64,
    #[serde(flatten)]
    pub(crate) audit: CallAudit,
    /// Requests that crash no upstream but were refused as if they did.
    pub(crate) innocent_refused: u64,
    /// Time from the drain or withdrawal until the last new request, in milliseconds.
    pub(crate) last_new_work_ms: Option<f64>,
    /// Number of invariant violations that nodes reported.
    pub(crate) invariants_broken: u64,
    /// Refusals by reason.
    pub(crate) reasons: std::collections::BTreeMap<String, u64>,
    /// Counts per time bucket.
    pub(crate) series: Vec<Bucket>,
    /// Names of the bounds that the run violated.
    pub(crate) broken: Vec<String>,
}

/// A bound on a result.
struct Bound {
    name: &'static str,
    holds: bool,
}

/// Maximum increase of the 99th percentile of the latency by the system.
const MAX_ADDED_P99_MS: f64 = 1.9;
/// Maximum time until a drained scope receives no new requests.
const MAX_LAST_NEW_WORK_MS: f64 = 3_000.0;
/// Minimum goodput under overload, relative to the peak.
const MIN_OVERLOAD_GOODPUT: f64 = 0.95;
/// Maximum attempts per call with a third of the upstreams down.
const MAX_ATTEMPTS_PER_CALL: f64 = 1.2;
/// Maximum number of upstreams that one request may crash.
const MAX_CRASHES_PER_REQUEST: u64 = 2;

impl ServiceResult {
    /// Returns the result as a plain-text table.
    pub(crate) fn table(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        let fields = value.as_object().into_iter().flatten();
        let shown = fields.filter(|(name, _)| *name != "series");
        let lines = shown.map(|(name, value)| format!("{name:20} {value}"));
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Sets `broken` to the names of the violated bounds.
    pub(crate) fn check_bounds(&mut self, is_planned: bool, crash_requests: u64) {
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
            zero("over_stated", audit.over_stated),
            zero("after_leaving", audit.after_leaving),
            zero("swamped", audit.swamped),
            zero("innocent_refused", self.innocent_refused),
            zero("invariants_broken", self.invariants_broken),
            Bound {
                name: "upstreams_crashed",
                holds: audit.crashed <= crash_requests * MAX_CRASHES_PER_REQUEST,
            },
            Bound {
                name: "added_p99_ms",
                holds: self
                    .added_p99_ms
                    .is_none_or(|added| added <= MAX_ADDED_P99_MS),
            },
            Bound {
                name: "last_new_work_ms",
                holds: self
                    .last_new_work_ms
                    .is_none_or(|last| last <= MAX_LAST_NEW_WORK_MS),
            },
            Bound {
                name: "goodput_ratio",
                holds: self.fault != "overload" || self.goodput_ratio >= MIN_OVERLOAD_GOODPUT,
            },
            Bound {
                name: "attempts_per_call",
                holds: self.fault != "third-down"
                    || self.attempts_per_call <= MAX_ATTEMPTS_PER_CALL,
            },
        ];
        let broken = bounds.iter().filter(|bound| !bound.holds);
        self.broken = broken.map(|bound| bound.name.to_string()).collect();
    }
}
