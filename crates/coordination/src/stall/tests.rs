use super::*;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_gap_between_ticks_is_a_pause() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    for i in 1..20 {
        assert_eq!(detector.tick(at(start, 50 * i)), None);
    }
    assert_eq!(detector.stall_count(), 0);
    let paused = detector.tick(at(start, 950 + 700));
    assert_eq!(paused, Some(Duration::from_millis(700)));
    assert_eq!(detector.stall_count(), 1);
    assert!(detector.is_quarantined(at(start, 1_700)));
}

#[test]
fn a_fresh_message_ends_the_quarantine_but_a_buffered_one_does_not() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    detector.tick(at(start, 600));
    detector.record_message(at(start, 610));
    assert!(detector.is_quarantined(at(start, 650)));
    detector.record_message(at(start, 700));
    assert!(!detector.is_quarantined(at(start, 700)));
}

#[test]
fn a_quarantine_without_messages_ends_after_a_bounded_time() {
    let start = Instant::now();
    let mut detector = StallDetector::new(start);
    detector.tick(at(start, 600));
    assert!(detector.is_quarantined(at(start, 600 + 1_999)));
    assert!(!detector.is_quarantined(at(start, 600 + 2_000)));
}
