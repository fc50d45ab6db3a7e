use serde_json::json;

use super::*;

fn events(kinds: &[(&str, u64)]) -> Vec<Event> {
    let event = |(at, (event, note)): (usize, &(&str, u64))| {
        let event = json!({
            "at": { "wall_ms": at, "counter": 0 }, "vm": "vm-1", "incarnation": 7,
            "event": event, "note": note,
        });
        serde_json::from_value(event).unwrap()
    };
    kinds.iter().enumerate().map(event).collect()
}

fn status(phase: &str, note: u64, digest: &str) -> StatusReport {
    let status = json!({
        "vm": "vm-1", "domain": "d", "region": "r", "incarnation": 7,
        "phase": phase, "note": note, "digest": digest,
    });
    serde_json::from_value(status).unwrap()
}

#[test]
fn a_time_line_that_goes_back_is_a_regression() {
    let mut observer = Observer::new(1);
    observer.events(
        0,
        &events(&[("note_accepted", 2), ("snapshot_installed", 4)]),
    );
    assert!(observer.regressions().is_empty());
    observer.events(
        0,
        &events(&[("note_accepted", 2), ("snapshot_installed", 1)]),
    );
    assert_eq!(observer.regressions().len(), 1);
}

#[test]
fn a_replacement_that_serves_less_is_a_regression() {
    let mut observer = Observer::new(1);
    observer.status(0, &status("serving", 5, "a"));
    observer.status(0, &status("joining", 3, "b"));
    assert!(observer.regressions().is_empty());
    observer.status(0, &status("serving", 4, "c"));
    assert_eq!(observer.regressions().len(), 1);
}

#[test]
fn differing_digests_and_verdicts_are_splits() {
    let mut observer = Observer::new(2);
    observer.status(0, &status("serving", 5, "a"));
    observer.status(1, &status("serving", 5, "b"));
    observer.events(0, &events(&[("note_accepted", 3)]));
    observer.events(1, &events(&[("note_refused", 3)]));
    assert_eq!(observer.splits(), [3, 5]);
}
