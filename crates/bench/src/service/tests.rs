use std::time::Duration;

use super::*;
use crate::{
    caller::{Answered, CallRecord, SendingRecord, Told},
    upstream::Counts,
};

struct Case {
    records: Vec<CallRecord>,
    counts: Counts,
}

fn call(keyed: bool, told: &[Told]) -> Case {
    let sending = |(at, &told): (usize, &Told)| SendingRecord {
        id: format!("r#{at}"),
        node: 0,
        told,
        reason: String::new(),
        ended: Duration::ZERO,
    };
    let record = CallRecord {
        id: "r".into(),
        keyed,
        due: Duration::ZERO,
        took: Duration::ZERO,
        answered: Answered::Good,
        sendings: told.iter().enumerate().map(sending).collect(),
    };
    Case {
        records: vec![record],
        counts: Counts::default(),
    }
}

impl Case {
    fn ran(mut self, sendings: &[usize]) -> Self {
        for at in sendings {
            *self.counts.ran.entry("r".into()).or_default() += 1;
            self.counts.sendings.insert(format!("r#{at}"));
        }
        self
    }

    fn judge(self) -> CallAudit {
        CallAudit::of(&self.records, &[self.counts])
    }
}

#[test]
fn a_keyed_request_that_ran_twice_is_found() {
    let told = [Told::Unknown, Told::Good];
    assert_eq!(call(true, &told).ran(&[0, 1]).judge().ran_twice, 1);
    assert_eq!(call(true, &told).ran(&[1]).judge().ran_twice, 0);
    assert_eq!(call(false, &told).ran(&[0, 1]).judge().ran_twice, 0);
}

#[test]
fn a_false_did_not_run_is_found() {
    let told = [Told::DidNotRun, Told::Good];
    assert_eq!(call(true, &told).ran(&[0]).judge().false_did_not_run, 1);
    assert_eq!(call(true, &told).ran(&[1]).judge().false_did_not_run, 0);
}

#[test]
fn broken_and_lost_sendings_are_cut() {
    let told = [Told::Broken, Told::Lost, Told::Unknown, Told::Good];
    assert_eq!(call(false, &told).judge().cut, 3);
}

#[test]
fn broken_bounds_are_named() {
    let mut result = ServiceResult {
        audit: CallAudit {
            ran_twice: 1,
            cut: 1,
            ..CallAudit::default()
        },
        added_p99_ms: Some(2.0),
        ..ServiceResult::default()
    };
    result.judge(false, 0);
    assert_eq!(result.broken, ["ran_twice", "added_p99_ms"]);
    result.judge(true, 0);
    assert_eq!(result.broken, ["cut", "ran_twice", "added_p99_ms"]);
}
