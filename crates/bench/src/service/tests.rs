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
    let sending = |(index, &told): (usize, &Told)| SendingRecord {
        id: format!("r#{index}"),
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
        for index in sendings {
            *self.counts.ran.entry("r".into()).or_default() += 1;
            self.counts.sendings.insert(format!("r#{index}"));
        }
        self
    }

    fn audit(self) -> CallAudit {
        CallAudit::of(&self.records, &[self.counts])
    }
}

#[test]
fn keyed_requests_that_ran_twice_are_counted() {
    let told = [Told::Unknown, Told::Good];
    assert_eq!(call(true, &told).ran(&[0, 1]).audit().ran_twice, 1);
    assert_eq!(call(true, &told).ran(&[1]).audit().ran_twice, 0);
    assert_eq!(call(false, &told).ran(&[0, 1]).audit().ran_twice, 0);
}

#[test]
fn false_did_not_run_answers_are_counted() {
    let told = [Told::DidNotRun, Told::Good];
    assert_eq!(call(true, &told).ran(&[0]).audit().false_did_not_run, 1);
    assert_eq!(call(true, &told).ran(&[1]).audit().false_did_not_run, 0);
}

#[test]
fn broken_lost_and_unknown_sendings_count_as_cut() {
    let told = [Told::Broken, Told::Lost, Told::Unknown, Told::Good];
    assert_eq!(call(false, &told).audit().cut, 3);
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
