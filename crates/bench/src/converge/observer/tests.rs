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
fn a_timeline_with_a_decreasing_sequence_is_a_regression() {
    let mut observer = Observer::new(1);
    observer.record_events(
        0,
        &events(&[("note_accepted", 2), ("snapshot_installed", 4)]),
    );
    assert!(observer.regressions().is_empty());
    observer.record_events(
        0,
        &events(&[("note_accepted", 2), ("snapshot_installed", 1)]),
    );
    assert_eq!(observer.regressions().len(), 1);
}

#[test]
fn a_replacement_that_serves_an_older_sequence_is_a_regression() {
    let mut observer = Observer::new(1);
    observer.record_status(0, &status("serving", 5, "a"));
    observer.record_status(0, &status("joining", 3, "b"));
    assert!(observer.regressions().is_empty());
    observer.record_status(0, &status("serving", 4, "c"));
    assert_eq!(observer.regressions().len(), 1);
}

#[test]
fn sequences_with_different_digests_or_verdicts_diverge() {
    let mut observer = Observer::new(2);
    observer.record_status(0, &status("serving", 5, "a"));
    observer.record_status(1, &status("serving", 5, "b"));
    observer.record_events(0, &events(&[("note_accepted", 3)]));
    observer.record_events(1, &events(&[("note_refused", 3)]));
    assert_eq!(observer.diverging_sequences(), [3, 5]);
}
