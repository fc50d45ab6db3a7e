use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;

const ENDS: [AttemptFailure; 7] = [
    AttemptFailure::Unreachable,
    AttemptFailure::Refused,
    AttemptFailure::Stale,
    AttemptFailure::TimedOut,
    AttemptFailure::Broken,
    AttemptFailure::Indeterminate,
    AttemptFailure::Permanent,
];

fn after(kind: RequestKind, ends: &[AttemptFailure]) -> RetryDecision {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
    let mut attempts = Attempts::new(kind, AttemptLimit::default());
    let mut next = RetryDecision::Stop;
    for &end in ends {
        attempts.record(end);
        let left = Duration::from_secs(1);
        next = attempts.retry_decision(end, true, left, &mut budget, &mut rng);
    }
    next
}

fn is_elsewhere(next: RetryDecision) -> bool {
    matches!(next, RetryDecision::OtherUpstream { .. })
}

/// Load pattern: a full service, whose upstreams turn a call away one after the other.
#[test]
fn a_call_that_reached_no_upstream_goes_elsewhere_without_a_pause() {
    let turned_away = after(RequestKind::Plain, &[AttemptFailure::Refused]);
    let after_zero = RetryDecision::OtherUpstream {
        delay: Duration::ZERO,
    };
    assert_eq!(turned_away, after_zero);
    let broken = after(RequestKind::Idempotent, &[AttemptFailure::Broken]);
    assert!(is_elsewhere(broken) && broken != after_zero);
}

fn is_owner(next: RetryDecision) -> bool {
    matches!(next, RetryDecision::Owner { .. })
}

#[test]
fn an_idempotent_request_goes_elsewhere() {
    for end in &ENDS[..5] {
        assert!(
            is_elsewhere(after(RequestKind::Idempotent, &[*end])),
            "{end:?}"
        );
    }
    for end in &ENDS[5..] {
        assert_eq!(
            after(RequestKind::Idempotent, &[*end]),
            RetryDecision::Stop,
            "{end:?}"
        );
    }
}

#[test]
fn a_request_that_lost_two_upstreams_is_not_sent_to_a_third() {
    let lost = [AttemptFailure::Broken, AttemptFailure::Broken];
    assert_eq!(after(RequestKind::Idempotent, &lost), RetryDecision::Stop);
}

#[test]
fn a_plain_request_is_resent_only_while_it_is_proved_not_to_have_run() {
    for end in ENDS {
        let next = after(RequestKind::Plain, &[end]);
        let is_resent = end.has_not_run() && end != AttemptFailure::Permanent;
        assert_eq!(is_elsewhere(next), is_resent, "{end:?}");
    }
    let mixed = [AttemptFailure::Broken, AttemptFailure::Refused];
    assert_eq!(after(RequestKind::Plain, &mixed), RetryDecision::Stop);
}

#[test]
fn a_keyed_request_goes_to_its_owner_alone() {
    assert!(is_owner(after(
        RequestKind::Keyed,
        &[AttemptFailure::Broken]
    )));
    assert!(is_owner(after(
        RequestKind::Keyed,
        &[AttemptFailure::Stale]
    )));
    for end in [
        AttemptFailure::Unreachable,
        AttemptFailure::Refused,
        AttemptFailure::TimedOut,
    ] {
        assert_eq!(
            after(RequestKind::Keyed, &[end]),
            RetryDecision::Stop,
            "{end:?}"
        );
    }
    let twice = [AttemptFailure::Broken, AttemptFailure::Broken];
    assert_eq!(after(RequestKind::Keyed, &twice), RetryDecision::Stop);
}

#[test]
fn a_body_that_is_gone_is_not_resent() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::default());
    attempts.record(AttemptFailure::Refused);
    let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
    let left = Duration::from_secs(1);
    let next = attempts.retry_decision(AttemptFailure::Refused, false, left, &mut budget, &mut rng);
    assert_eq!(next, RetryDecision::Stop);
}

proptest! {
    #[test]
    fn resends_stay_within_a_fifth_of_the_calls_and_the_floor(
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
                let left = Duration::from_secs(1);
                let next = attempts.retry_decision(AttemptFailure::Refused, true, left, &mut budget, &mut rng);
                if next == RetryDecision::Stop {
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
    fn a_resend_leaves_time_for_an_attempt(left_ms in 0u64..40, made in 1u32..3, seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(RetryRates::default(), Instant::now());
        let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::default());
        for _ in 0..made {
            attempts.record(AttemptFailure::Refused);
        }
        let left = Duration::from_millis(left_ms);
        let next = attempts.retry_decision(AttemptFailure::Refused, true, left, &mut budget, &mut rng);
        if let RetryDecision::OtherUpstream { delay: after } = next {
            prop_assert!(after + MIN_ATTEMPT <= left);
        }
    }
}

/// Load pattern: a grey service that fails half of all requests, on every node of a fleet.
#[test]
fn the_parts_of_all_nodes_stay_within_the_fleets_budget() {
    const NODES: usize = 12;
    const CALLS_PER_NODE_AND_SECOND: u32 = 40;
    let fleet = FleetRetryBudget {
        ratio: 0.2,
        minimum: 60.0,
        window_s: 10.0,
    };
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut budget = RetryBudget::new(fleet.node_share(NODES), start);
    let mut resends = Vec::new();
    let steps = CALLS_PER_NODE_AND_SECOND * 30;
    for step in 0..steps {
        let at = start + Duration::from_secs(30) * step / steps;
        budget.count_call(at);
        let mut attempts = Attempts::new(RequestKind::Idempotent, AttemptLimit::of_route(2));
        attempts.record(AttemptFailure::Shed);
        let left = Duration::from_secs(1);
        let next = attempts.retry_decision(AttemptFailure::Shed, true, left, &mut budget, &mut rng);
        if is_elsewhere(next) {
            resends.push(at);
        }
    }
    let calls = f64::from(CALLS_PER_NODE_AND_SECOND) * fleet.window_s;
    let allowed = fleet.ratio * calls + fleet.minimum / NODES as f64;
    for (i, from) in resends.iter().enumerate() {
        let within = resends[i..]
            .iter()
            .take_while(|at| **at - *from < Duration::from_secs(10));
        let within = within.count();
        assert!(within as f64 <= allowed, "{within} of {allowed}");
    }
    assert!(resends.len() > 100, "{}", resends.len());
}

#[test]
fn a_call_that_sidecars_turned_away_takes_no_token_and_no_attempt_of_its_route() {
    let mut rng = SmallRng::seed_from_u64(1);
    let fleet = FleetRetryBudget {
        ratio: 0.0,
        minimum: 0.0,
        window_s: 10.0,
    };
    let mut budget = RetryBudget::new(fleet.node_share(1), Instant::now());
    let mut attempts = Attempts::new(RequestKind::Plain, AttemptLimit::of_route(2));
    let left = Duration::from_secs(1);
    for _ in 0..3 {
        attempts.record(AttemptFailure::Refused);
        let next =
            attempts.retry_decision(AttemptFailure::Refused, true, left, &mut budget, &mut rng);
        assert!(is_elsewhere(next));
    }
    attempts.record(AttemptFailure::Refused);
    let next = attempts.retry_decision(AttemptFailure::Refused, true, left, &mut budget, &mut rng);
    assert_eq!(next, RetryDecision::Stop, "the attempts in all are bounded");
}
