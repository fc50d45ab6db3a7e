use proptest::prelude::*;

use super::*;

fn concurrent(fingerprint: u64) -> InFlight {
    InFlight {
        fingerprint,
        alone: false,
    }
}

fn alone(fingerprint: u64) -> InFlight {
    InFlight {
        fingerprint,
        alone: true,
    }
}

/// Records the crashes in order and returns the suspicion of requests 1 to 3.
fn suspicions(crashes: &[&[InFlight]]) -> [Suspicion; 3] {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (crash, requests) in crashes.iter().enumerate() {
        poison.record_crash(crash as u64, requests, now);
    }
    [1, 2, 3].map(|fingerprint| poison.suspicion(fingerprint, now))
}

#[test]
fn requests_in_flight_at_crashes_are_blamed() {
    use Suspicion::{Clear, Refused, Suspect};
    assert_eq!(suspicions(&[]), [Clear, Clear, Clear]);
    assert_eq!(
        suspicions(&[&[concurrent(1), concurrent(2)]]),
        [Suspect, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[
            &[concurrent(1), concurrent(2)],
            &[concurrent(1), concurrent(3)]
        ]),
        [Refused, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[&[concurrent(1), concurrent(2)], &[alone(1)]]),
        [Refused, Suspect, Clear]
    );
}

#[test]
fn completion_clears_a_request_of_earlier_crashes() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let old = poison.record_crash(9, &[concurrent(1)], now).remove(0);
    assert!(poison.record_completion(1, now).is_some());
    poison.merge(&old, now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Clear);
    poison.record_crash(10, &[concurrent(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Suspect);
}

#[test]
fn completed_requests_are_not_suspected() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    for crash in 0..3 {
        let reports = poison.record_crash(crash, &[concurrent(1), concurrent(100 + crash)], now);
        assert_eq!(reports.len(), 1);
        assert_eq!(poison.suspicion(1, now), Suspicion::Clear);
        poison.record_completion(1, now);
    }
}

#[test]
fn request_that_completed_once_and_then_crashes_is_detected() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    poison.record_crash(0, &[concurrent(1), concurrent(2)], now);
    poison.record_crash(1, &[concurrent(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Suspect);
    poison.record_crash(2, &[alone(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Refused);
}

#[test]
fn suspicion_ends_after_the_retention_time() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[alone(1)], now);
    poison.record_crash(2, &[alone(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Refused);
    assert_eq!(
        poison.suspicion(1, now + RETENTION + Duration::from_secs(1)),
        Suspicion::Clear
    );
}

#[test]
fn number_of_suspects_is_bounded() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for fingerprint in 0..MAX_SUSPECTS as u64 + 100 {
        poison.record_crash(1, &[concurrent(fingerprint)], now);
    }
    assert_eq!(poison.len(), MAX_SUSPECTS);
}

proptest! {
    /// Nodes agree whatever the order in which they exchange reports.
    #[test]
    fn reports_merge_in_any_order(
        mut events in prop::collection::vec((0..3_u64, 0..4_u64, any::<bool>()), 0..12),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut origin = PoisonTracker::default();
        let mut reports = Vec::new();
        for (fingerprint, crash, is_completed) in events.drain(..) {
            if is_completed {
                reports.extend(origin.record_completion(fingerprint, now));
            } else {
                reports.extend(origin.record_crash(crash, &[concurrent(fingerprint)], now));
            }
        }
        let mut other = PoisonTracker::default();
        let len = reports.len().max(1);
        reports.rotate_left(seed as usize % len);
        for report in reports.iter().chain(reports.iter().rev()) {
            other.merge(report, now);
        }
        for fingerprint in 0..3 {
            prop_assert_eq!(origin.suspicion(fingerprint, now), other.suspicion(fingerprint, now));
        }
    }

    /// A poison request that runs alone after its first crash crashes at most two upstreams, and no
    /// other request is refused.
    #[test]
    fn one_poison_request_crashes_at_most_two_upstreams_and_no_other_is_refused(
        others in prop::collection::btree_set(1..40_u64, 0..12),
        resends in 1..20_u64,
    ) {
        let now = Instant::now();
        let mut poison = PoisonTracker::default();
        let mut crashes = 0;
        for _ in 0..resends {
            let requests = match poison.suspicion(0, now) {
                Suspicion::Refused => break,
                Suspicion::Suspect => vec![alone(0)],
                Suspicion::Clear => others.iter().map(|&f| concurrent(f)).chain([concurrent(0)]).collect(),
            };
            crashes += 1;
            poison.record_crash(crashes, &requests, now);
        }
        prop_assert!(crashes <= 2);
        for &other in &others {
            prop_assert_ne!(poison.suspicion(other, now), Suspicion::Refused);
        }
    }
}
