use serde_json::json;

use super::*;

fn event(wall_ms: u64, note: u64) -> Event {
    let event = json!({
        "at": { "wall_ms": wall_ms, "counter": 0 }, "vm": "vm-1", "incarnation": 7,
        "event": "snapshot_installed", "note": note,
    });
    serde_json::from_value(event).unwrap()
}

fn note(note: u64, at_ms: u64) -> PublishedNote {
    PublishedNote {
        note,
        at_ms,
        bytes: 100,
        is_valid: true,
    }
}

#[test]
fn a_snapshot_puts_all_notes_up_to_its_sequence_in_force() {
    let mut delays = Delays::default();
    let published = [note(2, 100), note(3, 110), note(4, 400)];
    delays.add(0, &[event(120, 3)], &published, &UnreachableSpans::new(1));
    assert_eq!(delays.direct_ms, [20, 10]);
    assert_eq!(delays.missing, 1);
}

#[test]
fn delays_of_unreachable_nodes_count_from_the_end_of_the_span() {
    let mut delays = Delays::default();
    let mut spans = UnreachableSpans::new(1);
    spans.begin(0, 90);
    spans.end(0, 190);
    delays.add(0, &[event(200, 2)], &[note(2, 100)], &spans);
    assert_eq!(delays.recovery_ms, [10]);
    assert!(delays.direct_ms.is_empty());
}

#[test]
fn quantiles_use_the_nearest_rank() {
    let sorted: Vec<u64> = (1..=100).collect();
    assert_eq!(quantile(&sorted, 0.5), 50);
    assert_eq!(quantile(&sorted, 0.99), 99);
    assert_eq!(quantile(&[], 0.5), 0);
}
