use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::config::Upstream;

struct Fixture {
    balancer: Balancer,
    candidates: Vec<Candidate>,
    unreachable: HashSet<SocketAddr>,
    leaving: LeavingUpstreams,
    now: Instant,
    rng: SmallRng,
}

const ALL_ENABLED: BalancerPolicy = BalancerPolicy {
    balance: true,
    ejection: true,
    spillover: None,
};

impl Fixture {
    fn new(upstreams: &[(&str, &str)], policy: BalancerPolicy, seed: u64) -> Self {
        Self {
            balancer: Balancer::new("a".into(), policy),
            candidates: upstreams.iter().map(|&(n, d)| candidate(n, d)).collect(),
            unreachable: HashSet::new(),
            leaving: LeavingUpstreams::default(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn choose_excluding(
        &mut self,
        excluded: &[UpstreamName],
        idempotent: bool,
    ) -> Result<Ticket, NoCandidate> {
        let unreachable = self.unreachable.clone();
        let leaving = self.leaving.clone();
        self.choose_with(Constraints {
            excluded,
            unreachable: &unreachable,
            leaving: &leaving,
            idempotent,
            target_ms: None,
        })
    }

    fn choose_with(&mut self, constraints: Constraints<'_>) -> Result<Ticket, NoCandidate> {
        let chosen = self
            .balancer
            .choose(&self.candidates, constraints, self.now, &mut self.rng);
        chosen.map(|(_, ticket)| ticket)
    }

    fn choose(&mut self) -> Ticket {
        self.choose_excluding(&[], true).unwrap()
    }

    /// Makes calls that end immediately and returns the number of calls per upstream.
    fn call_counts(&mut self, calls: usize) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..calls {
            let ticket = self.choose();
            *counts.entry(ticket.upstream.to_string()).or_default() += 1;
            self.balancer.release(&ticket, self.now);
        }
        counts
    }

    fn report(&mut self, upstream: &str, active: u32, limit: u32) {
        self.report_cost(upstream, active, limit, 0);
    }

    fn report_cost(&mut self, upstream: &str, active: u32, limit: u32, cost: u32) {
        let ticket = self.balancer.begin_call(&upstream.into());
        let load = ReportedLoad {
            active,
            limit,
            queued: 0,
            cost,
        };
        self.balancer.record_load(&ticket, load, self.now);
        self.balancer.release(&ticket, self.now);
    }

    fn fail(&mut self, upstream: &str, evidence: Evidence) {
        for _ in 0..3 {
            let ticket = self.balancer.begin_call(&upstream.into());
            self.balancer
                .observe(&ticket, evidence, self.now, &mut self.rng);
            self.balancer.release(&ticket, self.now);
        }
    }
}

fn candidate(name: &str, domain: &str) -> Candidate {
    Candidate {
        is_listed: true,
        upstream: Arc::new(Upstream {
            name: name.into(),
            service: "s".into(),
            vm: name.into(),
            domain: domain.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            slots: 8,
            connections: 8,
            start: None,
        }),
        address: "127.0.0.1:2".parse().unwrap(),
    }
}

#[test]
fn prefers_local_failure_domain_while_it_has_capacity() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], ALL_ENABLED, 1);
    fixture.report("a1", 2, 8);
    fixture.report("b1", 0, 8);
    assert_eq!(fixture.call_counts(100).get("b1"), None);
    fixture.report("a1", 8, 8);
    assert_eq!(
        fixture.call_counts(100).get("a1"),
        None,
        "calls leave a full failure domain"
    );
}

#[test]
fn cold_upstream_gets_few_calls() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("a2", "a"), ("a3", "a")], ALL_ENABLED, 1);
    fixture.report("a1", 1, 12);
    fixture.report("a2", 1, 12);
    let cold = fixture.call_counts(1_000).get("a3").copied().unwrap_or(0);
    assert!(
        (1..150).contains(&cold),
        "{cold} of 1000 calls to the cold upstream"
    );
}

#[test]
fn outstanding_calls_count_before_first_report() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("a2", "a")], ALL_ENABLED, 1);
    let first = fixture.choose();
    let second = fixture.choose();
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn backed_off_upstream_gets_no_calls_while_others_are_available() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], ALL_ENABLED, 1);
    let ticket = fixture.balancer.begin_call(&"a1".into());
    let until = fixture.now + Duration::from_millis(100);
    fixture.balancer.back_off(&ticket, None, until, fixture.now);
    fixture.balancer.release(&ticket, fixture.now);
    assert_eq!(fixture.call_counts(50).get("a1"), None);
    fixture.now = until;
    assert!(fixture.call_counts(50).contains_key("a1"));
}

/// Downloads saturate the link of an upstream that still has slots for short calls. Backoff for
/// the downloads must not keep the short calls away.
#[test]
fn back_off_applies_per_target_latency() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], ALL_ENABLED, 1);
    let ticket = fixture.balancer.begin_call(&"a1".into());
    let until = fixture.now + Duration::from_millis(100);
    fixture
        .balancer
        .back_off(&ticket, Some(1_000), until, fixture.now);
    fixture.balancer.release(&ticket, fixture.now);
    let mut chosen = |target_ms| {
        let constraints = Constraints {
            excluded: &[],
            unreachable: &HashSet::new(),
            leaving: &LeavingUpstreams::default(),
            idempotent: true,
            target_ms,
        };
        let ticket = fixture.choose_with(constraints).unwrap();
        fixture.balancer.release(&ticket, fixture.now);
        ticket.upstream
    };
    assert_eq!(chosen(Some(1_000)), "b1".into());
    assert_eq!(chosen(Some(200)), "a1".into());
}

#[test]
fn probes_run_one_at_a_time_and_idempotent_calls_first() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("a2", "a")], ALL_ENABLED, 1);
    fixture.fail("a1", Evidence::Unreachable);
    assert_eq!(fixture.call_counts(50).get("a1"), None);
    fixture.now += Duration::from_millis(200);
    assert!(!fixture.choose_excluding(&[], false).unwrap().is_probe());
    let probe = fixture.choose();
    assert!(probe.is_probe());
    assert!(!fixture.choose().is_probe());
    let evidence = Evidence::Answered;
    let change = fixture
        .balancer
        .observe(&probe, evidence, fixture.now, &mut fixture.rng);
    assert_eq!(change, Some(HealthChange::Returned));
    fixture.fail("a1", Evidence::Unreachable);
    fixture.now += Duration::from_secs(3);
    assert!(
        fixture.choose_excluding(&[], false).unwrap().is_probe(),
        "any call may probe 1 s after the ejection"
    );
}

#[test]
fn no_candidate_when_all_upstreams_are_unreachable() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("a2", "a")], ALL_ENABLED, 1);
    fixture.fail("a1", Evidence::Unreachable);
    fixture.fail("a2", Evidence::Unreachable);
    let NoCandidate { retry_after } = fixture.choose_excluding(&[], true).unwrap_err();
    assert!(retry_after <= Duration::from_millis(200));
}

#[test]
fn round_robin_when_balancing_is_disabled() {
    let policy = BalancerPolicy {
        balance: false,
        ejection: false,
        spillover: None,
    };
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], policy, 1);
    fixture.fail("a1", Evidence::Failed);
    let counts = fixture.call_counts(10);
    assert_eq!((counts["a1"], counts["b1"]), (5, 5));
}

#[test]
fn ticket_of_a_removed_upstream_is_ignored() {
    let mut fixture = Fixture::new(&[("a1", "a")], ALL_ENABLED, 1);
    let old = fixture.choose();
    fixture.balancer.release(&old, fixture.now);
    fixture.balancer.retain(&Candidates::default());
    let new = fixture.choose();
    fixture.balancer.release(&old, fixture.now);
    assert_eq!(fixture.balancer.outstanding(&"a1".into()), 1);
    let change =
        fixture
            .balancer
            .observe(&old, Evidence::Unreachable, fixture.now, &mut fixture.rng);
    assert_eq!(change, None);
    fixture.balancer.release(&new, fixture.now);
    assert_eq!(fixture.balancer.outstanding(&"a1".into()), 0);
}

/// One upstream of a service becomes slow while the others have spare capacity.
#[test]
fn slow_upstream_gets_few_calls_while_others_have_capacity() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("a2", "a"), ("b1", "b")], ALL_ENABLED, 1);
    fixture.report_cost("a1", 4, 12, 1_200);
    fixture.report_cost("a2", 4, 12, 300);
    fixture.report_cost("b1", 4, 12, 300);
    let slow = fixture.call_counts(1_000).get("a1").copied().unwrap_or(0);
    assert!(slow < 20, "{slow} of 1000 calls to the slow upstream");
    fixture.report_cost("a2", 20, 12, 300);
    fixture.report_cost("b1", 20, 12, 300);
    let slow = fixture.call_counts(1_000).get("a1").copied().unwrap_or(0);
    assert!(
        slow > 100,
        "{slow} of 1000 calls to the slow upstream while the others are full"
    );
}

/// With many upstreams, each ingress sends too few calls to receive reports from all of them.
#[test]
fn listed_upstreams_get_equal_shares_before_first_report() {
    let names = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"];
    let upstreams = names.map(|name| (name, "a"));
    let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, 1);
    for candidate in &mut fixture.candidates {
        let start = crate::note::UpstreamStart {
            started: 1,
            cold_ms: 0,
        };
        Arc::make_mut(&mut candidate.upstream).start = Some(start);
    }
    fixture.report("a1", 0, 8);
    for (name, count) in fixture.call_counts(8_000) {
        assert!(
            (700..1_300).contains(&count),
            "{name}: {count} of 8000 calls"
        );
    }
}

#[test]
fn calls_leave_a_slow_failure_domain() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], ALL_ENABLED, 1);
    fixture.report_cost("a1", 2, 12, 1_200);
    fixture.report_cost("b1", 2, 12, 300);
    assert_eq!(fixture.call_counts(100).get("a1"), None);
    fixture.now += Duration::from_secs(10);
    assert!(
        fixture.call_counts(100).contains_key("a1"),
        "the reported cost decays"
    );
}

proptest! {
    #[test]
    fn at_least_half_of_a_reachable_service_gets_calls(
        failed in proptest::collection::vec(any::<bool>(), 1..9),
        seed in any::<u64>(),
    ) {
        let names: Vec<String> = (0..failed.len()).map(|i| format!("u{i}")).collect();
        let upstreams: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, seed);
        for (name, _) in names.iter().zip(&failed).filter(|(_, failed)| **failed) {
            fixture.fail(name, Evidence::Failed);
        }
        let counts = fixture.call_counts(2_000);
        prop_assert!(counts.len() >= failed.len() - failed.len() / 2);
    }

    #[test]
    fn outstanding_count_is_exact_and_excluded_upstreams_get_no_calls(
        steps in proptest::collection::vec((any::<bool>(), 0u8..4), 1..300),
        seed in any::<u64>(),
    ) {
        let upstreams = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
        let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, seed);
        let mut tickets: Vec<Ticket> = Vec::new();
        for (is_new_call, step) in steps {
            fixture.now += Duration::from_millis(u64::from(step) * 40);
            if is_new_call {
                let excluded = [UpstreamName::from("a1")];
                let chosen = fixture.choose_excluding(&excluded, step > 1);
                if let Ok(ticket) = chosen {
                    prop_assert_ne!(ticket.upstream.as_str(), "a1");
                    tickets.push(ticket);
                }
            } else if let Some(ticket) = tickets.pop() {
                let evidence = [Evidence::Answered, Evidence::Failed, Evidence::Unreachable];
                let evidence = evidence[usize::from(step) % 3];
                fixture.balancer.observe(&ticket, evidence, fixture.now, &mut fixture.rng);
                fixture.balancer.release(&ticket, fixture.now);
            }
            let counted: u32 = upstreams
                .iter()
                .map(|(name, _)| fixture.balancer.outstanding(&(*name).into()))
                .sum();
            prop_assert_eq!(counted as usize, tickets.len());
        }
    }
}

/// Maximum number of upstreams of one service in other failure domains that a node calls: its share
/// of the 128 connections that a node keeps open, with three services.
const MAX_REMOTE_CALLED: usize = 128 / 3;

/// Load pattern: a failure domain of 60 nodes is drained, so all calls of its callers go to the 240
/// upstreams of four others.
#[test]
fn calls_of_a_drained_domain_reach_all_others_over_few_connections() {
    let names: Vec<String> = (0..240).map(|i| format!("u{i}")).collect();
    let candidates: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(i, name)| candidate(name, ["b", "c", "d", "e"][i % 4]))
        .collect();
    let mut calls: BTreeMap<UpstreamName, usize> = BTreeMap::new();
    for node in 0..60 {
        let vm = format!("a{node}").as_str().into();
        let ordered = Candidates::of_service("s".into(), candidates.clone());
        let ordered = ordered.ordered_for(&vm, &"a".into());
        let mut fixture = Fixture::new(&[], ALL_ENABLED, node);
        fixture.candidates = ordered.for_service(&"s".into()).to_vec();
        let mut chosen = std::collections::BTreeSet::new();
        for _ in 0..240 {
            let ticket = fixture.choose();
            fixture.balancer.release(&ticket, fixture.now);
            *calls.entry(ticket.upstream.clone()).or_default() += 1;
            chosen.insert(ticket.upstream);
        }
        assert!(chosen.len() <= MAX_REMOTE_CALLED, "{}", chosen.len());
    }
    // 60 calls each if all nodes divided their calls over all upstreams.
    let most = calls.values().max().copied().unwrap();
    assert!(calls.len() >= 230, "{} upstreams get calls", calls.len());
    assert!(
        most <= 60 * 3,
        "{most} calls to one upstream, 60 on average"
    );
}

/// Load pattern: the preferred upstreams of other failure domains fail one after the other.
#[test]
fn next_upstreams_replace_failed_ones_in_other_domains() {
    let names: Vec<String> = (0..60).map(|i| format!("u{i}")).collect();
    let upstreams: Vec<_> = names.iter().map(|name| (name.as_str(), "b")).collect();
    let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, 1);
    for name in &names[..30] {
        fixture.fail(name, Evidence::Unreachable);
    }
    let counts = fixture.call_counts(500);
    assert!(
        (12..=MAX_REMOTE_CALLED).contains(&counts.len()),
        "{}",
        counts.len()
    );
    assert!(names[..30].iter().all(|name| !counts.contains_key(name)));
}

/// Load pattern: half of the VMs lose power at once, and their connections are found dead before
/// any call to them has ended.
#[test]
fn vms_without_a_connection_get_no_calls_and_no_probes() {
    let names: Vec<String> = (0..20).map(|i| format!("u{i}")).collect();
    let upstreams: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
    let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, 1);
    let dead_address: SocketAddr = "127.0.0.1:3".parse().unwrap();
    for candidate in &mut fixture.candidates[..10] {
        candidate.address = dead_address;
    }
    // Some of them were ejected earlier and are due for a probe.
    for name in &names[..5] {
        fixture.fail(name, Evidence::Unreachable);
    }
    fixture.now += Duration::from_secs(10);
    fixture.unreachable.insert(dead_address);
    let counts = fixture.call_counts(200);
    assert!(names[..10].iter().all(|name| !counts.contains_key(name)));
    assert_eq!(counts.len(), 10);
    fixture.unreachable.clear();
    assert!(fixture.choose().is_probe(), "the connection is back");
}

#[test]
fn upstreams_without_a_connection_are_the_last_resort() {
    let mut fixture = Fixture::new(&[("a1", "a"), ("b1", "b")], ALL_ENABLED, 1);
    fixture.unreachable = fixture.candidates.iter().map(|c| c.address).collect();
    assert_eq!(fixture.call_counts(10).values().sum::<usize>(), 10);
}

/// Load pattern: most upstreams of a service are replaced at once; the last ones fail.
#[test]
fn leaving_upstreams_get_no_calls_even_as_the_last_resort() {
    let names = ["a1", "a2", "a3", "b1"];
    let upstreams = names.map(|name| (name, &name[..1]));
    let mut fixture = Fixture::new(&upstreams, ALL_ENABLED, 1);
    let leaving = fixture.candidates[..3].iter();
    for candidate in leaving {
        fixture.leaving.record(&candidate.upstream, fixture.now);
    }
    assert_eq!(fixture.call_counts(50).len(), 1);
    fixture.fail("b1", Evidence::Failed);
    assert_eq!(fixture.call_counts(50).get("b1"), Some(&50));
    let last = fixture.candidates[3].clone();
    fixture.leaving.record(&last.upstream, fixture.now);
    let refused = fixture.choose_excluding(&[], true).unwrap_err();
    assert!(!refused.retry_after.is_zero());
}
