use serde_json::json;

use super::*;

fn event(wall_ms: u64, note: u64) -> Event {
    let event = json!({
        "at": { "wall_ms": wall_ms, "counter": 0 }, "vm": "vm-1", "incarnation": 7,
        "event": "snapshot_installed", "note": note,
    });
    serde_json::from_value(event).unwrap()
}

fn note(note: u64, at_ms: u64) -> Published {
    Published {
        note,
        at_ms,
        bytes: 100,
        good: true,
    }
}

#[test]
fn a_snapshot_brings_all_notes_before_it_into_force() {
    let mut times = Times::default();
    let published = [note(2, 100), note(3, 110), note(4, 400)];
    times.add(0, &[event(120, 3)], &published, &Spans::new(1));
    assert_eq!(times.direct, [20, 10]);
    assert_eq!(times.missing, 1);
}

#[test]
fn nodes_out_of_reach_count_from_the_end_of_the_span() {
    let mut times = Times::default();
    let mut spans = Spans::new(1);
    spans.begin(0, 90);
    spans.end(0, 190);
    times.add(0, &[event(200, 2)], &[note(2, 100)], &spans);
    assert_eq!(times.after, [10]);
    assert!(times.direct.is_empty());
}

#[test]
fn quantiles_are_ranks() {
    let sorted: Vec<u64> = (1..=100).collect();
    assert_eq!(quantile(&sorted, 0.5), 50);
    assert_eq!(quantile(&sorted, 0.99), 99);
    assert_eq!(quantile(&[], 0.5), 0);
}
