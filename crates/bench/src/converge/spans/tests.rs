use super::*;

fn spans(from: u64, to: u64) -> UnreachableSpans {
    let mut spans = UnreachableSpans::new(1);
    spans.begin(0, from);
    spans.end(0, to);
    spans
}

#[test]
fn only_a_span_between_publication_and_application_delays_a_note() {
    let spans = spans(100, 200);
    assert_eq!(spans.delay_start(0, 10, 50), (10, false));
    assert_eq!(spans.delay_start(0, 90, 210), (200, true));
    assert_eq!(spans.delay_start(0, 150, 210), (200, true));
    assert_eq!(spans.delay_start(0, 200, 210), (200, false));
}

#[test]
fn a_span_in_progress_is_not_restarted_and_an_ended_span_not_extended() {
    let mut spans = spans(100, 200);
    spans.end(0, 300);
    assert_eq!(spans.nodes[0][0].to, Some(200));
    spans.begin(0, 400);
    spans.begin(0, 500);
    assert_eq!(spans.nodes[0].len(), 2);
}
