//! Compares the answers that callers received with the counts of the upstreams.

use std::collections::HashMap;

use serde::Serialize;

use crate::{
    caller::{CallOutcome, CallRecord, SendOutcome},
    upstream::Counts,
};

/// Number of violations of each guarantee in a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct CallAudit {
    /// Answers to another request, and truncated answers that look complete.
    pub(crate) wrong: u64,
    /// Sends with a truncated answer, a lost connection or an unknown outcome.
    pub(crate) cut: u64,
    /// Keyed requests that ran more than once.
    pub(crate) ran_twice: u64,
    /// Sends that were executed although the answer said that they were not.
    pub(crate) false_did_not_run: u64,
    /// Requests that reached an upstream of another service.
    pub(crate) misrouted: u64,
    /// Requests that an upstream ran in excess of its slots.
    pub(crate) over_limit: u64,
    /// Requests that an upstream got in excess of the limit that it stated.
    pub(crate) over_stated: u64,
    /// Requests that an upstream got after it had stated that it is leaving.
    pub(crate) after_leaving: u64,
    /// Number of times that an upstream failed due to overload.
    pub(crate) swamped: u64,
    /// Number of times that a request crashed an upstream.
    #[serde(rename = "upstreams_crashed")]
    pub(crate) crashed: u64,
    /// Requests that upstreams executed or shed.
    #[serde(skip)]
    pub(crate) attempts: u64,
}

impl CallAudit {
    /// Checks the records of callers against the counts of all upstreams.
    pub(crate) fn of(records: &[CallRecord], upstreams: &[Counts]) -> Self {
        let mut executions: HashMap<&str, u32> = HashMap::new();
        let mut audit = Self::default();
        for counts in upstreams {
            audit.add_counts(counts);
            for (id, times) in &counts.ran {
                *executions.entry(id).or_default() += times;
            }
        }
        for record in records {
            audit.add_record(record, &executions, upstreams);
        }
        audit
    }

    /// Returns the overload counts that upstreams added between two snapshots.
    pub(crate) fn overload_between(before: &[Counts], after: &[Counts]) -> Self {
        let (before, after) = (Self::of(&[], before), Self::of(&[], after));
        Self {
            over_limit: after.over_limit - before.over_limit,
            swamped: after.swamped - before.swamped,
            ..Self::default()
        }
    }

    fn add_counts(&mut self, counts: &Counts) {
        self.misrouted += counts.misrouted;
        self.over_limit += counts.over_limit;
        self.over_stated += counts.over_stated;
        self.after_leaving += counts.after_leaving;
        self.swamped += counts.overloads;
        self.crashed += counts.crashed;
        self.attempts += counts.shed;
        self.attempts += counts
            .ran
            .values()
            .map(|&times| u64::from(times))
            .sum::<u64>();
    }

    fn add_record(
        &mut self,
        record: &CallRecord,
        executions: &HashMap<&str, u32>,
        upstreams: &[Counts],
    ) {
        let times = executions.get(record.id.as_str()).copied().unwrap_or(0);
        self.wrong += u64::from(record.outcome == CallOutcome::Wrong);
        self.ran_twice += u64::from(record.keyed && times > 1);
        for send in &record.sends {
            let is_cut = matches!(
                send.outcome,
                SendOutcome::Broken | SendOutcome::Lost | SendOutcome::Unknown
            );
            self.cut += u64::from(is_cut);
            let has_run = || {
                upstreams
                    .iter()
                    .any(|counts| counts.sends.contains(&send.id))
            };
            self.false_did_not_run +=
                u64::from(send.outcome == SendOutcome::DidNotRun && has_run());
        }
    }
}
