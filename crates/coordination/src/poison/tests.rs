use proptest::prelude::*;

use super::*;

fn beside(fingerprint: u64) -> InFlight {
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

/// Applies crashes and returns the standing of requests 1 to 3.
fn suspicions(crashes: &[&[InFlight]]) -> [Suspicion; 3] {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (crash, runs) in crashes.iter().enumerate() {
        poison.record_crash(crash as u64, runs, now);
    }
    [1, 2, 3].map(|fingerprint| poison.suspicion(fingerprint, now))
}

#[test]
fn blame_follows_what_was_in_flight() {
    use Suspicion::{Clear, Refused, Suspect};
    assert_eq!(suspicions(&[]), [Clear, Clear, Clear]);
    assert_eq!(
        suspicions(&[&[beside(1), beside(2)]]),
        [Suspect, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[&[beside(1), beside(2)], &[beside(1), beside(3)]]),
        [Refused, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[&[beside(1), beside(2)], &[alone(1)]]),
        [Refused, Suspect, Clear]
    );
}

#[test]
fn a_request_that_runs_whole_is_cleared_for_good() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let old = poison.record_crash(9, &[beside(1)], now).remove(0);
    assert!(poison.record_completion(1, now).is_some());
    poison.merge(&old, now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Clear);
    poison.record_crash(10, &[beside(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Suspect);
}

#[test]
fn what_ran_whole_before_is_not_suspected() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    for crash in 0..3 {
        let reports = poison.record_crash(crash, &[beside(1), beside(100 + crash)], now);
        assert_eq!(reports.len(), 1);
        assert_eq!(poison.suspicion(1, now), Suspicion::Clear);
        poison.record_completion(1, now);
    }
}

#[test]
fn what_ran_whole_once_and_then_crashes_is_found() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    poison.record_crash(0, &[beside(1), beside(2)], now);
    poison.record_crash(1, &[beside(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Suspect);
    poison.record_crash(2, &[alone(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Refused);
}

#[test]
fn suspicion_ends_after_a_while() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[alone(1)], now);
    poison.record_crash(2, &[alone(1)], now);
    assert_eq!(poison.suspicion(1, now), Suspicion::Refused);
    assert_eq!(
        poison.suspicion(1, now + KEPT + Duration::from_secs(1)),
        Suspicion::Clear
    );
}

#[test]
fn memory_is_bounded() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for fingerprint in 0..MAX_SUSPECTS as u64 + 100 {
        poison.record_crash(1, &[beside(fingerprint)], now);
    }
    assert_eq!(poison.len(), MAX_SUSPECTS);
}

proptest! {
    /// Nodes that exchange reports in any order agree.
    #[test]
    fn reports_merge_in_any_order(
        mut events in prop::collection::vec((0..3_u64, 0..4_u64, any::<bool>()), 0..12),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut origin = PoisonTracker::default();
        let mut reports = Vec::new();
        for (fingerprint, crash, completes) in events.drain(..) {
            if completes {
                reports.extend(origin.record_completion(fingerprint, now));
            } else {
                reports.extend(origin.record_crash(crash, &[beside(fingerprint)], now));
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

    /// One poisonous request, run alone after its first crash, takes down at
    /// most two upstreams and no other request is refused.
    #[test]
    fn one_poison_takes_down_two_and_no_other_is_refused(
        beside_it in prop::collection::btree_set(1..40_u64, 0..12),
        resends in 1..20_u64,
    ) {
        let now = Instant::now();
        let mut poison = PoisonTracker::default();
        let mut crashes = 0;
        for _ in 0..resends {
            let runs = match poison.suspicion(0, now) {
                Suspicion::Refused => break,
                Suspicion::Suspect => vec![alone(0)],
                Suspicion::Clear => beside_it.iter().map(|&f| beside(f)).chain([beside(0)]).collect(),
            };
            crashes += 1;
            poison.record_crash(crashes, &runs, now);
        }
        prop_assert!(crashes <= 2);
        for &other in &beside_it {
            prop_assert_ne!(poison.suspicion(other, now), Suspicion::Refused);
        }
    }
}
