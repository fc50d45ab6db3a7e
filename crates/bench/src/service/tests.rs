use std::time::Duration;

use super::*;
use crate::{
    caller::{CallOutcome, CallRecord, SendOutcome, SendRecord},
    upstream::Counts,
};

struct Case {
    records: Vec<CallRecord>,
    counts: Counts,
}

fn call(keyed: bool, outcomes: &[SendOutcome]) -> Case {
    let send = |(index, &outcome): (usize, &SendOutcome)| SendRecord {
        id: format!("r#{index}"),
        node: 0,
        outcome,
        reason: String::new(),
        ended: Duration::ZERO,
    };
    let record = CallRecord {
        id: "r".into(),
        keyed,
        due: Duration::ZERO,
        latency: Duration::ZERO,
        outcome: CallOutcome::Good,
        sends: outcomes.iter().enumerate().map(send).collect(),
    };
    Case {
        records: vec![record],
        counts: Counts::default(),
    }
}

impl Case {
    fn ran(mut self, sends: &[usize]) -> Self {
        for index in sends {
            *self.counts.ran.entry("r".into()).or_default() += 1;
            self.counts.sends.insert(format!("r#{index}"));
        }
        self
    }

    fn audit(self) -> CallAudit {
        CallAudit::of(&self.records, &[self.counts])
    }
}

#[test]
fn keyed_requests_that_ran_twice_are_counted() {
    let outcomes = [SendOutcome::Unknown, SendOutcome::Good];
    assert_eq!(call(true, &outcomes).ran(&[0, 1]).audit().ran_twice, 1);
    assert_eq!(call(true, &outcomes).ran(&[1]).audit().ran_twice, 0);
    assert_eq!(call(false, &outcomes).ran(&[0, 1]).audit().ran_twice, 0);
}

#[test]
fn false_did_not_run_answers_are_counted() {
    let outcomes = [SendOutcome::DidNotRun, SendOutcome::Good];
    assert_eq!(call(true, &outcomes).ran(&[0]).audit().false_did_not_run, 1);
    assert_eq!(call(true, &outcomes).ran(&[1]).audit().false_did_not_run, 0);
}

#[test]
fn broken_lost_and_unknown_sendings_count_as_cut() {
    let outcomes = [
        SendOutcome::Broken,
        SendOutcome::Lost,
        SendOutcome::Unknown,
        SendOutcome::Good,
    ];
    assert_eq!(call(false, &outcomes).audit().cut, 3);
}

#[test]
fn violated_bounds_are_listed() {
    let mut result = ServiceResult {
        audit: CallAudit {
            ran_twice: 1,
            cut: 1,
            ..CallAudit::default()
        },
        added_p99_ms: Some(2.0),
        ..ServiceResult::default()
    };
    result.check_bounds(false, 0);
    assert_eq!(result.broken, ["ran_twice", "added_p99_ms"]);
    result.check_bounds(true, 0);
    assert_eq!(result.broken, ["cut", "ran_twice", "added_p99_ms"]);
}
