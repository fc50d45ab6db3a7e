use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;

const FAILURES: [AttemptFailure; 7] = [
    AttemptFailure::Unreachable,
    AttemptFailure::Refused,
    AttemptFailure::Stale,
    AttemptFailure::TimedOut,
    AttemptFailure::Broken,
    AttemptFailure::Indeterminate,
    AttemptFailure::Permanent,
];

fn decision_after(kind: RequestKind, failures: &[AttemptFailure]) -> RetryDecision {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
    let mut attempts = Attempts::new(kind, AttemptLimit::default());
    let mut decision = RetryDecision::Stop;
    for &failure in failures {
        attempts.record(failure);
        let remaining = Duration::from_secs(1);
        decision = attempts.retry_decision(failure, true, remaining, &mut budget, &mut rng);
    }
    decision
}

fn is_other_upstream(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::OtherUpstream { .. })
}

/// The sidecars of a full service reject a call one after the other.
#[test]
fn call_that_reached_no_upstream_is_retried_without_delay() {
    let rejected = decision_after(RequestKind::Plain, &[AttemptFailure::Refused]);
    let immediate = RetryDecision::OtherUpstream {
        delay: Duration::ZERO,
    };
    assert_eq!(rejected, immediate);
    let broken = decision_after(RequestKind::Idempotent, &[AttemptFailure::Broken]);
    assert!(is_other_upstream(broken) && broken != immediate);
}

fn is_owner(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Owner { .. })
}

#[test]
fn idempotent_request_is_sent_to_another_upstream() {
    for failure in &FAILURES[..5] {
        assert!(
            is_other_upstream(decision_after(RequestKind::Idempotent, &[*failure])),
            "{failure:?}"
        );
    }
    for failure in &FAILURES[5..] {
        assert_eq!(
            decision_after(RequestKind::Idempotent, &[*failure]),
            RetryDecision::Stop,
            "{failure:?}"
        );
    }
}

#[test]
fn request_is_not_resent_after_two_broken_attempts() {
    let broken = [AttemptFailure::Broken, AttemptFailure::Broken];
    assert_eq!(
        decision_after(RequestKind::Idempotent, &broken),
        RetryDecision::Stop
    );
}

#[test]
fn plain_request_is_resent_only_while_it_has_not_run() {
    for failure in FAILURES {
        let decision = decision_after(RequestKind::Plain, &[failure]);
        let is_resent = failure.has_not_run() && failure != AttemptFailure::Permanent;
        assert_eq!(is_other_upstream(decision), is_resent, "{failure:?}");
    }
    let mixed = [AttemptFailure::Broken, AttemptFailure::Refused];
    assert_eq!(
        decision_after(RequestKind::Plain, &mixed),
        RetryDecision::Stop
    );
}

#[test]
fn keyed_request_is_resent_only_to_its_owner() {
    assert!(is_owner(decision_after(
        RequestKind::Keyed,
        &[AttemptFailure::Broken]
    )));
    assert!(is_owner(decision_after(
        RequestKind::Keyed,
        &[AttemptFailure::Stale]
    )));
    for failure in [
        AttemptFailure::Unreachable,
        AttemptFailure::Refused,
        AttemptFailure::TimedOut,
    ] {
        assert_eq!(
            decision_after(RequestKind::Keyed, &[failure]),
            RetryDecision::Stop,
            "{failure:?}"
        );
    }
    let twice = [AttemptFailure::Broken, AttemptFailure::Broken];
    assert_eq!(
        decision_after(RequestKind::Keyed, &twice),
        RetryDecision::Stop
    );
}

#[test]
fn request_is_not_resent_without_its_body() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::default());
    attempts.record(AttemptFailure::Refused);
    let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
    let remaining = Duration::from_secs(1);
    let decision = attempts.retry_decision(
        AttemptFailure::Refused,
        false,
        remaining,
        &mut budget,
        &mut rng,
    );
    assert_eq!(decision, RetryDecision::Stop);
}

proptest! {
    #[test]
    fn resends_stay_within_the_budget(
        calls in 1usize..2000,
        gap_us in 0u64..2_000,
        seed in any::<u64>(),
    ) {
        let start = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(RetryRates::default(), start);
        let mut resends = 0;
        for i in 0..calls {
            budget.count_call(start + Duration::from_micros(gap_us) * i as u32);
            let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::default());
            loop {
                attempts.record(AttemptFailure::Refused);
                let remaining = Duration::from_secs(1);
                let decision = attempts.retry_decision(AttemptFailure::Refused, true, remaining, &mut budget, &mut rng);
                if decision == RetryDecision::Stop {
                    break;
                }
                resends += 1;
            }
            prop_assert!(attempts.made() <= MAX_ATTEMPTS);
        }
        let seconds = (gap_us * calls as u64) as f64 / 1e6;
        prop_assert!(resends as f64 <= 5.0 + calls as f64 * 0.2 + seconds + 1.0);
    }

    #[test]
    fn resend_leaves_time_for_an_attempt(remaining_ms in 0u64..40, made in 1u32..3, seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
        let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::default());
        for _ in 0..made {
            attempts.record(AttemptFailure::Refused);
        }
        let remaining = Duration::from_millis(remaining_ms);
        let decision = attempts.retry_decision(AttemptFailure::Refused, true, remaining, &mut budget, &mut rng);
        if let RetryDecision::OtherUpstream { delay } = decision {
            prop_assert!(delay + MIN_ATTEMPT_TIME <= remaining);
        }
    }
}

/// Every node of a fleet sends calls to a service that fails half of its requests.
#[test]
fn resends_of_a_node_stay_within_its_share_of_the_fleet_budget() {
    const NODES: usize = 12;
    const CALLS_PER_NODE_PER_S: u32 = 40;
    let fleet = FleetRetryBudget {
        ratio: 0.2,
        minimum: 60.0,
        window_s: 10.0,
    };
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut budget = RetryBudget::new(fleet.node_share(NODES), start);
    let mut resends = Vec::new();
    let steps = CALLS_PER_NODE_PER_S * 30;
    for step in 0..steps {
        let at = start + Duration::from_secs(30) * step / steps;
        budget.count_call(at);
        let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::of_route(2));
        attempts.record(AttemptFailure::Shed);
        let remaining = Duration::from_secs(1);
        let decision =
            attempts.retry_decision(AttemptFailure::Shed, true, remaining, &mut budget, &mut rng);
        if is_other_upstream(decision) {
            resends.push(at);
        }
    }
    let calls = f64::from(CALLS_PER_NODE_PER_S) * fleet.window_s;
    let allowed = fleet.ratio * calls + fleet.minimum / NODES as f64;
    for (i, from) in resends.iter().enumerate() {
        let within = resends[i..]
            .iter()
            .take_while(|at| **at - *from < Duration::from_secs(10));
        let within = within.count();
        assert!(
            within as f64 <= allowed,
            "{within} resends in one window, {allowed} allowed"
        );
    }
    assert!(resends.len() > 100, "{} resends", resends.len());
}

#[test]
fn call_rejected_by_sidecars_takes_no_token_and_no_attempt_of_the_route_limit() {
    let mut rng = SmallRng::seed_from_u64(1);
    let fleet = FleetRetryBudget {
        ratio: 0.0,
        minimum: 0.0,
        window_s: 10.0,
    };
    let mut budget = RetryBudget::new(fleet.node_share(1), Instant::now());
    let mut attempts = Attempts::new(RequestKind::Plain, AttemptLimit::of_route(2));
    let remaining = Duration::from_secs(1);
    for _ in 0..3 {
        attempts.record(AttemptFailure::Refused);
        let decision = attempts.retry_decision(
            AttemptFailure::Refused,
            true,
            remaining,
            &mut budget,
            &mut rng,
        );
        assert!(is_other_upstream(decision));
    }
    attempts.record(AttemptFailure::Refused);
    let decision = attempts.retry_decision(
        AttemptFailure::Refused,
        true,
        remaining,
        &mut budget,
        &mut rng,
    );
    assert_eq!(
        decision,
        RetryDecision::Stop,
        "the total number of attempts is limited"
    );
}
