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
    let send = |(at, &outcome): (usize, &SendOutcome)| SendRecord {
        id: format!("r#{at}"),
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
        for at in sends {
            *self.counts.ran.entry("r".into()).or_default() += 1;
            self.counts.sends.insert(format!("r#{at}"));
        }
        self
    }

    fn judge(self) -> Verdict {
        Verdict::of(&self.records, &[self.counts])
    }
}

#[test]
fn a_keyed_request_that_ran_twice_is_found() {
    let outcomes = [SendOutcome::Unknown, SendOutcome::Good];
    assert_eq!(call(true, &outcomes).ran(&[0, 1]).judge().ran_twice, 1);
    assert_eq!(call(true, &outcomes).ran(&[1]).judge().ran_twice, 0);
    assert_eq!(call(false, &outcomes).ran(&[0, 1]).judge().ran_twice, 0);
}

#[test]
fn a_false_did_not_run_is_found() {
    let outcomes = [SendOutcome::DidNotRun, SendOutcome::Good];
    assert_eq!(call(true, &outcomes).ran(&[0]).judge().false_did_not_run, 1);
    assert_eq!(call(true, &outcomes).ran(&[1]).judge().false_did_not_run, 0);
}

#[test]
fn broken_and_lost_sendings_are_cut() {
    let outcomes = [
        SendOutcome::Broken,
        SendOutcome::Lost,
        SendOutcome::Unknown,
        SendOutcome::Good,
    ];
    assert_eq!(call(false, &outcomes).judge().cut, 3);
}

#[test]
fn broken_bounds_are_named() {
    let mut result = ServiceResult {
        verdict: Verdict {
            ran_twice: 1,
            cut: 1,
            ..Verdict::default()
        },
        added_p99_ms: Some(2.0),
        ..ServiceResult::default()
    };
    result.judge(false, 0);
    assert_eq!(result.broken, ["ran_twice", "added_p99_ms"]);
    result.judge(true, 0);
    assert_eq!(result.broken, ["cut", "ran_twice", "added_p99_ms"]);
}
