use super::*;

fn request(fingerprint: u64) -> InFlight {
    InFlight {
        fingerprint,
        alone: false,
        is_trial: false,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn single_broken_connection_is_not_a_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_broken(request(1), now);
    assert_eq!(detector.take_crash(now + ms(500)), None);
    detector.record_sign(now + ms(1500));
    assert_eq!(detector.take_crash(now + ms(2000)), None);
}

#[test]
fn sign_attributes_connections_broken_around_it() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_broken(request(1), now);
    detector.record_sign(now + ms(300));
    detector.record_broken(request(2), now + ms(350));
    assert_eq!(detector.take_crash(now + ms(360)), None);
    assert_eq!(
        detector.take_crash(now + ms(400)),
        Some(vec![request(1), request(2)])
    );
    assert_eq!(detector.take_crash(now + ms(900)), None);
}

#[test]
fn connections_that_break_together_are_a_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_broken(request(1), now);
    detector.record_broken(request(2), now + ms(5));
    assert_eq!(
        detector.take_crash(now + ms(200)),
        Some(vec![request(1), request(2)])
    );
}

#[test]
fn sign_without_broken_connections_is_not_a_crash() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_sign(now);
    assert_eq!(detector.take_crash(now + ms(200)), None);
    detector.record_broken(request(1), now + ms(300));
    assert_eq!(detector.take_crash(now + ms(500)), None);
}

/// An upstream resets the connections of half of its requests and keeps running.
#[test]
fn connections_that_break_together_are_not_a_crash_where_a_sign_is_needed() {
    let now = Instant::now();
    let mut detector = CrashDetector::new(true);
    for step in 0..20 {
        detector.record_broken(request(step), now + ms(step));
    }
    assert!(!detector.has_sign());
    assert_eq!(detector.take_crash(now + ms(200)), None);
    detector.record_sign(now + ms(300));
    assert!(detector.take_crash(now + ms(400)).is_some());
}
