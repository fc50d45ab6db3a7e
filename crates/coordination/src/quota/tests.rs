mod fleet;

use std::time::{Duration, Instant};

use proptest::{prelude::*, test_runner::Config as Runs};

use self::fleet::{Demand, Fault, Fleet, Outcome, Spread};
use super::{QuotaAnswer, QuotaBounds, QuotaClient, QuotaLedger, ShardOwners};
use crate::{
    organisation::QuotaRate,
    vm::{VmEntry, VmList, VmState},
};

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
    #![proptest_config(Runs::with_cases(32))]

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

    // Guards against refusals for a whole request interval after a start of all nodes: the buckets are
    // empty then, but refill arrives while callers wait.
    #[test]
    fn demand_from_the_start_is_served(
        seed: u64, nodes in 2..12_usize, per_second in 100.0..300.0_f64,
    ) {
        let limit = QuotaRate { per_second, burst: 0.0 };
        let demand = Demand { spread: Spread::Even, factor: TYPICAL, pauses: false };
        let fleet = Fleet::new(seed, nodes, limit, demand, Fault::None).demand_from(0);
        let outcome = fleet.run(3_000);
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

    // Guards against two shard owners that both grant the whole rate while one is cut off from the store
    // together with a part of the nodes.
    #[test]
    fn two_owners_keep_the_quota(
        seed: u64, nodes in 6..16_usize, per_second in 100.0..300.0_f64, spread in spread(),
    ) {
        let limit = QuotaRate { per_second, burst: 0.0 };
        let demand = Demand { spread, factor: 10.0 * TYPICAL, pauses: false };
        let outcome = run(seed, nodes, limit, demand, Fault::OwnerCutOff);
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
        let part = if matches!(spread, Spread::Moving { .. }) { 0.9 } else { 0.99 };
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

const LIMIT: QuotaRate = QuotaRate {
    per_second: 50.0,
    burst: 50.0,
};

/// Returns a node that owns all shards, as the only one of the list, and its ledger since `now`.
fn only_node(now: Instant) -> (QuotaClient, QuotaLedger) {
    let entry = VmEntry {
        vm: "a".into(),
        domain: "d".into(),
        region: "r".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
        upstreams: Vec::new(),
    };
    let list = VmList {
        number: 1,
        vms: vec![entry.into()],
    };
    let owners = ShardOwners::new(&list);
    let mut ledger = QuotaLedger::new(QuotaBounds::default(), now);
    ledger.set_table(fleet::table(1, LIMIT));
    ledger.set_owners(&owners, &"a".into(), now);
    let mut client = QuotaClient::new("a".into(), QuotaBounds::default(), 1);
    client.set_table(fleet::table(1, LIMIT));
    client.set_owners(owners);
    (client, ledger)
}

/// Guards against a new shard owner that grants a full bucket, although an earlier one may just have
/// granted it too.
#[test]
fn a_new_owner_begins_with_an_empty_bucket() {
    let now = Instant::now();
    let (mut client, mut ledger) = only_node(now);
    assert_eq!(client.acquire(&"o".into(), now), QuotaAnswer::Wait);
    let request = client.due_requests(now).remove(0);
    let reply = ledger.handle(&request, now).unwrap();
    assert_eq!(reply.grants[0].tokens, 0.0);
    assert!(reply.grants[0].is_short);
}

/// Guards against a Retry-After of the first refused caller that is as long as a node without contact
/// needs for a token.
#[test]
fn a_refused_caller_comes_back_after_the_next_request() {
    let now = Instant::now();
    let (mut client, mut ledger) = only_node(now);
    client.acquire(&"o".into(), now);
    let request = client.due_requests(now).remove(0);
    let reply = ledger.handle(&request, now).unwrap();
    assert!(client.apply(request.shard, &reply, now));
    let answer = client.retry(&"o".into(), true, now);
    let after = Duration::from_millis(100);
    assert_eq!(answer, QuotaAnswer::Refused { after });
}

/// Guards against a node that spends its grant after a pause of its process, when the shard owner
/// counts it as ended.
#[test]
fn a_grant_is_not_spent_after_a_stall() {
    let start = Instant::now();
    let (mut client, mut ledger) = only_node(start);
    let now = start + Duration::from_secs(3);
    for _ in 0..20 {
        client.acquire(&"o".into(), now);
    }
    let request = client.due_requests(now).remove(0);
    let reply = ledger.handle(&request, now).unwrap();
    assert!(reply.grants[0].tokens >= 10.0);
    assert!(client.apply(request.shard, &reply, now));
    assert_eq!(client.acquire(&"o".into(), now), QuotaAnswer::Granted);
    let resumed = now + Duration::from_millis(2_001);
    assert_ne!(client.acquire(&"o".into(), resumed), QuotaAnswer::Granted);
}

/// Returns the clients of a fleet in which no node reaches a shard owner.
fn isolated_nodes(count: usize) -> Vec<QuotaClient> {
    let entry = |index: usize| VmEntry {
        vm: format!("vm-{index}").as_str().into(),
        domain: "d".into(),
        region: "r".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        state: VmState::Live,
        upstreams: Vec::new(),
    };
    let list = VmList {
        number: 1,
        vms: (0..count).map(|index| entry(index).into()).collect(),
    };
    let owners = ShardOwners::new(&list);
    let client = |index| {
        let vm = entry(index).vm;
        let mut client = QuotaClient::new(vm, QuotaBounds::default(), 1);
        client.set_table(fleet::table(1, LIMIT));
        client.set_owners(owners.clone());
        client
    };
    (0..count).map(client).collect()
}

/// Guards against a node with few requests that drops what accrues without contact whenever it asks.
#[test]
fn an_isolated_node_with_few_requests_serves_some() {
    let start = Instant::now();
    // The isolated rate is 0.1 requests per second.
    let mut client = isolated_nodes(50).remove(0);
    let mut served = 0;
    for ms in (0..100_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        if ms % 2_000 == 0 && client.acquire(&"o".into(), now) == QuotaAnswer::Granted {
            served += 1;
        }
        client.due_requests(now);
    }
    assert!((8..=11).contains(&served), "{served}");
}

/// Guards against isolated nodes that all get their first token at the same time, which together
/// exceeds the quota of an organisation with few requests.
#[test]
fn isolated_nodes_get_their_first_tokens_at_different_times() {
    let start = Instant::now();
    // Each node gets a token in 8 s.
    let mut clients = isolated_nodes(40);
    let mut served = Vec::new();
    for ms in (0..10_000).step_by(50) {
        let now = start + Duration::from_millis(ms);
        if ms % 500 == 0 {
            served.push(0);
        }
        for client in &mut clients {
            if client.acquire(&"o".into(), now) == QuotaAnswer::Granted {
                *served.last_mut().unwrap() += 1;
            }
            client.due_requests(now);
        }
    }
    assert!(served.iter().all(|count| *count <= 10), "{served:?}");
    assert!(served.iter().sum::<u32>() >= 40, "{served:?}");
}

/// Guards against a request that fails at once and blocks its shard until its timeout.
#[test]
fn a_request_that_fails_at_once_is_soon_repeated() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let (mut client, mut ledger) = only_node(start);
    assert_eq!(client.acquire(&"o".into(), at(0)), QuotaAnswer::Wait);
    client.begin_wait(&"o".into());
    let first = client.due_requests(at(0)).remove(0);
    client.fail(first.shard, first.number, at(1));
    assert!(client.due_requests(at(21)).is_empty());
    let second = client.due_requests(at(50)).remove(0);
    // A late failure of an earlier request does not end a later one.
    client.fail(first.shard, first.number, at(51));
    assert!(client.due_requests(at(100)).is_empty());
    assert_eq!(client.retry(&"o".into(), false, at(320)), QuotaAnswer::Wait);
    let reply = ledger.handle(&second, at(320)).unwrap();
    assert!(client.apply(second.shard, &reply, at(320)));
}

/// Guards against callers that wait for an owner whose requests have failed for longer than 1.3 s.
#[test]
fn callers_do_not_wait_for_an_owner_that_fails_for_long() {
    let start = Instant::now();
    let mut client = isolated_nodes(10).remove(0);
    client.acquire(&"o".into(), start);
    client.begin_wait(&"o".into());
    let mut answer = QuotaAnswer::Wait;
    for ms in (0..1_500).step_by(50) {
        let now = start + Duration::from_millis(ms);
        for request in client.due_requests(now) {
            client.fail(request.shard, request.number, now);
        }
        answer = client.retry(&"o".into(), false, now);
        assert!(ms >= 1_300 || answer == QuotaAnswer::Wait, "{ms}");
    }
    assert!(matches!(answer, QuotaAnswer::Refused { .. }), "{answer:?}");
}
