mod fleet;

use proptest::{prelude::*, test_runner::Config as Runs};

use self::fleet::{Demand, Fault, Fleet, Outcome, Spread};
use crate::organisation::QuotaRate;

/// Demand that the platform describes as typical: 1 / 1.6 of the quota.
const TYPICAL: f64 = 0.625;
/// Share of refused requests that normal operation allows.
const MAX_REFUSED: f64 = 0.01;
/// Time in milliseconds of a run; a fault lasts from 8 to 30 s.
const RUN_MS: u64 = 40_000;

fn limit() -> impl Strategy<Value = QuotaRate> {
    (5.0..300.0_f64, prop_oneof![Just(0.0), 0.0..1.5_f64]).prop_map(|(per_second, burst_s)| {
        QuotaRate {
            per_second,
            burst: per_second * burst_s,
        }
    })
}

fn spread() -> impl Strategy<Value = Spread> {
    prop_oneof![
        Just(Spread::One),
        Just(Spread::Even),
        (1_000..6_000_u64).prop_map(|period_ms| Spread::Moving { period_ms }),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Partition {
            domain: 0,
            with_store: true
        }),
        Just(Fault::Partition {
            domain: 1,
            with_store: true
        }),
        Just(Fault::Partition {
            domain: 0,
            with_store: false
        }),
        Just(Fault::RepliesLost { domain: 1 }),
        Just(Fault::OwnerKilled { is_replaced: false }),
        Just(Fault::OwnerKilled { is_replaced: true }),
        (0..4_usize, 1_000..9_000_u64).prop_map(|(node, ms)| Fault::Stall { node, ms }),
        Just(Fault::OwnerStalls { ms: 4_000 }),
        (0..4_usize).prop_map(|node| Fault::Leave { node }),
        Just(Fault::Start),
        (0.01..0.4_f64).prop_map(|share| Fault::Loss { share }),
        (100..350_u64).prop_map(|ms| Fault::Delay { ms }),
    ]
}

fn run(seed: u64, nodes: usize, limit: QuotaRate, demand: Demand, fault: Fault) -> Outcome {
    Fleet::new(seed, nodes, limit, demand, fault).run(RUN_MS)
}

proptest! {
    #![proptest_config(Runs::with_cases(48))]

    // Guards against refused requests within the quota, and against more than the quota without any
    // failure.
    #[test]
    fn demand_within_the_quota_is_served(
        seed: u64, nodes in 2..24_usize, limit in limit(), spread in spread(),
    ) {
        let demand = Demand { spread, factor: TYPICAL, pauses: false };
        let outcome = run(seed, nodes, limit, demand, Fault::None);
        prop_assert!(outcome.excess <= 0.0, "{outcome:?}");
        prop_assert!(outcome.refused_share() < MAX_REFUSED, "{outcome:?}");
    }

    // Guards against more than the quota over all nodes, also while one thing fails.
    #[test]
    fn all_nodes_together_keep_the_quota(
        seed: u64, nodes in 4..16_usize, limit in limit(), spread in spread(), fault in fault(),
        pauses: bool,
    ) {
        let demand = Demand { spread, factor: 10.0 * TYPICAL, pauses };
        let outcome = run(seed, nodes, limit, demand, fault);
        prop_assert!(outcome.excess <= 0.0, "{outcome:?}");
    }

    // Guards against a hot organisation that gets less than its quota, because tokens expire or stay
    // where nobody needs them.
    #[test]
    fn a_hot_organisation_gets_its_quota(
        seed: u64, nodes in 2..24_usize, limit in limit(), spread in spread(),
    ) {
        let demand = Demand { spread, factor: 10.0 * TYPICAL, pauses: false };
        let outcome = run(seed, nodes, limit, demand, Fault::None);
        // A move of all callers costs the time until the tokens of their former node are back.
        let part = if matches!(spread, Spread::Moving { .. }) { 0.85 } else { 0.99 };
        let expected = limit.per_second * part * 38.0;
        prop_assert!(f64::from(outcome.served) > expected, "{outcome:?}, expected {expected}");
    }

    // Guards against a lost shard owner that leaves requests within the quota unserved: nodes go on
    // with their offline rates, and the next owner takes these over.
    #[test]
    fn a_killed_owner_costs_few_requests(
        seed: u64, nodes in 6..24_usize, limit in limit(), is_replaced: bool,
    ) {
        let demand = Demand { spread: Spread::Even, factor: TYPICAL, pauses: false };
        let outcome = run(seed, nodes, limit, demand, Fault::OwnerKilled { is_replaced });
        // The store tells of the loss after 3 s, and the next owner begins with an empty bucket.
        let few = limit.per_second * TYPICAL * 6.0 + 10.0;
        prop_assert!(f64::from(outcome.refused) < few, "{outcome:?}");
    }

    // Guards against grants of an older, higher limit that go on being spent.
    #[test]
    fn a_lowered_limit_holds_after_one_window(
        seed: u64, nodes in 2..16_usize, limit in limit(), spread in spread(),
    ) {
        let demand = Demand { spread, factor: 10.0 * TYPICAL, pauses: false };
        let outcome = run(seed, nodes, limit, demand, Fault::LowerLimit { part: 0.2 });
        prop_assert!(outcome.excess <= 0.0, "{outcome:?}");
    }
}
