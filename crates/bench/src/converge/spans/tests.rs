use super::*;

fn spans(from: u64, to: u64) -> Spans {
    let mut spans = Spans::new(1);
    spans.begin(0, from);
    spans.end(0, to);
    spans
}

#[test]
fn only_a_span_that_overlaps_the_way_of_a_note_delays_it() {
    let spans = spans(100, 200);
    assert_eq!(spans.reference(0, 10, 50), (10, false));
    assert_eq!(spans.reference(0, 90, 210), (200, true));
    assert_eq!(spans.reference(0, 150, 210), (200, true));
    assert_eq!(spans.reference(0, 200, 210), (200, false));
}

#[test]
fn a_span_begins_and_ends_once() {
    let mut spans = spans(100, 200);
    spans.end(0, 300);
    assert_eq!(spans.nodes[0][0].to, Some(200));
    spans.begin(0, 400);
    spans.begin(0, 500);
    assert_eq!(spans.nodes[0].len(), 2);
}
