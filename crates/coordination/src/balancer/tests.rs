use std::{collections::BTreeMap, sync::Arc};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

use super::*;
use crate::config::Upstream;

struct Scene {
    balancer: Balancer,
    candidates: Vec<Candidate>,
    now: Instant,
    rng: SmallRng,
}

const ALL: BalancerPolicy = BalancerPolicy {
    balance: true,
    ejection: true,
};

impl Scene {
    fn new(upstreams: &[(&str, &str)], policy: BalancerPolicy, seed: u64) -> Self {
        Self {
            balancer: Balancer::new("a".into(), policy),
            candidates: upstreams.iter().map(|&(n, d)| candidate(n, d)).collect(),
            now: Instant::now(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn choose_but(
        &mut self,
        excluded: &[UpstreamName],
        idempotent: bool,
    ) -> Result<Ticket, NoCandidate> {
        self.choose_with(Constraints {
            excluded,
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
        self.choose_but(&[], true).unwrap()
    }

    /// Makes calls that end at once and returns how many each upstream got.
    fn spread(&mut self, calls: usize) -> BTreeMap<String, usize> {
        let mut spread = BTreeMap::new();
        for _ in 0..calls {
            let ticket = self.choose();
            *spread.entry(ticket.upstream.to_string()).or_default() += 1;
            self.balancer.release(&ticket, self.now);
        }
        spread
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
fn the_own_failure_domain_is_preferred_while_it_bears_the_load() {
    let mut scene = Scene::new(&[("a1", "a"), ("b1", "b")], ALL, 1);
    scene.report("a1", 2, 8);
    scene.report("b1", 0, 8);
    assert_eq!(scene.spread(100).get("b1"), None);
    scene.report("a1", 8, 8);
    assert_eq!(
        scene.spread(100).get("a1"),
        None,
        "a full domain spills over"
    );
}

#[test]
fn a_cold_upstream_gets_a_trickle() {
    let mut scene = Scene::new(&[("a1", "a"), ("a2", "a"), ("a3", "a")], ALL, 1);
    scene.report("a1", 1, 12);
    scene.report("a2", 1, 12);
    let cold = scene.spread(1_000).get("a3").copied().unwrap_or(0);
    assert!((1..150).contains(&cold), "{cold} of 1000");
}

#[test]
fn calls_in_flight_count_before_any_report() {
    let mut scene = Scene::new(&[("a1", "a"), ("a2", "a")], ALL, 1);
    let first = scene.choose();
    let second = scene.choose();
    assert_ne!(first.upstream, second.upstream);
}

#[test]
fn an_upstream_that_asks_for_a_pause_gets_nothing_while_there_are_others() {
    let mut scene = Scene::new(&[("a1", "a"), ("b1", "b")], ALL, 1);
    let ticket = scene.balancer.begin_call(&"a1".into());
    let until = scene.now + Duration::from_millis(100);
    scene.balancer.back_off(&ticket, None, until, scene.now);
    scene.balancer.release(&ticket, scene.now);
    assert_eq!(scene.spread(50).get("a1"), None);
    scene.now = until;
    assert!(scene.spread(50).contains_key("a1"));
}

/// Load pattern: downloads fill the link of an upstream that still has slots for short calls.
#[test]
fn a_refused_download_keeps_no_short_call_away() {
    let mut scene = Scene::new(&[("a1", "a"), ("b1", "b")], ALL, 1);
    let ticket = scene.balancer.begin_call(&"a1".into());
    let until = scene.now + Duration::from_millis(100);
    scene
        .balancer
        .back_off(&ticket, Some(1_000), until, scene.now);
    scene.balancer.release(&ticket, scene.now);
    let mut chosen = |target_ms| {
        let constraints = Constraints {
            excluded: &[],
            idempotent: true,
            target_ms,
        };
        let ticket = scene.choose_with(constraints).unwrap();
        scene.balancer.release(&ticket, scene.now);
        ticket.upstream
    };
    assert_eq!(chosen(Some(1_000)), "b1".into());
    assert_eq!(chosen(Some(200)), "a1".into());
}

#[test]
fn one_call_at_a_time_probes_and_first_one_that_may_run_twice() {
    let mut scene = Scene::new(&[("a1", "a"), ("a2", "a")], ALL, 1);
    scene.fail("a1", Evidence::Unreachable);
    assert_eq!(scene.spread(50).get("a1"), None);
    scene.now += Duration::from_millis(200);
    assert!(!scene.choose_but(&[], false).unwrap().is_probe());
    let probe = scene.choose();
    assert!(probe.is_probe());
    assert!(!scene.choose().is_probe());
    let seen = Evidence::Answered;
    let change = scene
        .balancer
        .observe(&probe, seen, scene.now, &mut scene.rng);
    assert_eq!(change, Some(HealthChange::Returned));
    scene.fail("a1", Evidence::Unreachable);
    scene.now += Duration::from_secs(3);
    assert!(
        scene.choose_but(&[], false).unwrap().is_probe(),
        "after a while any call may"
    );
}

#[test]
fn upstreams_that_all_are_out_of_reach_get_nothing() {
    let mut scene = Scene::new(&[("a1", "a"), ("a2", "a")], ALL, 1);
    scene.fail("a1", Evidence::Unreachable);
    scene.fail("a2", Evidence::Unreachable);
    let NoCandidate { retry_after } = scene.choose_but(&[], true).unwrap_err();
    assert!(retry_after <= Duration::from_millis(200));
}

#[test]
fn in_turn_without_the_policy() {
    let policy = BalancerPolicy {
        balance: false,
        ejection: false,
    };
    let mut scene = Scene::new(&[("a1", "a"), ("b1", "b")], policy, 1);
    scene.fail("a1", Evidence::Failed);
    let spread = scene.spread(10);
    assert_eq!((spread["a1"], spread["b1"]), (5, 5));
}

#[test]
fn a_ticket_of_an_upstream_that_was_forgotten_changes_nothing() {
    let mut scene = Scene::new(&[("a1", "a")], ALL, 1);
    let old = scene.choose();
    scene.balancer.release(&old, scene.now);
    scene.balancer.retain(&Candidates::default());
    let new = scene.choose();
    scene.balancer.release(&old, scene.now);
    assert_eq!(scene.balancer.outstanding(&"a1".into()), 1);
    let change = scene
        .balancer
        .observe(&old, Evidence::Unreachable, scene.now, &mut scene.rng);
    assert_eq!(change, None);
    scene.balancer.release(&new, scene.now);
    assert_eq!(scene.balancer.outstanding(&"a1".into()), 0);
}

/// Load pattern: one of a service's upstreams turns slow, or grey, while the others have room.
#[test]
fn a_slow_upstream_gets_little_while_others_have_room() {
    let mut scene = Scene::new(&[("a1", "a"), ("a2", "a"), ("b1", "b")], ALL, 1);
    scene.report_cost("a1", 4, 12, 1_200);
    scene.report_cost("a2", 4, 12, 300);
    scene.report_cost("b1", 4, 12, 300);
    let slow = scene.spread(1_000).get("a1").copied().unwrap_or(0);
    assert!(slow < 20, "{slow} of 1000");
    scene.report_cost("a2", 20, 12, 300);
    scene.report_cost("b1", 20, 12, 300);
    let slow = scene.spread(1_000).get("a1").copied().unwrap_or(0);
    assert!(slow > 100, "{slow} of 1000: the others are full");
}

/// Load pattern: many upstreams, and each ingress sends too few calls to know them all.
#[test]
fn listed_upstreams_get_equal_shares_before_they_report() {
    let names = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"];
    let upstreams = names.map(|name| (name, "a"));
    let mut scene = Scene::new(&upstreams, ALL, 1);
    for candidate in &mut scene.candidates {
        let start = crate::note::UpstreamStart {
            started: 1,
            cold_ms: 0,
        };
        Arc::make_mut(&mut candidate.upstream).start = Some(start);
    }
    scene.report("a1", 0, 8);
    for (name, count) in scene.spread(8_000) {
        assert!((700..1_300).contains(&count), "{name}: {count} of 8000");
    }
}

#[test]
fn calls_leave_a_failure_domain_whose_upstreams_are_slow() {
    let mut scene = Scene::new(&[("a1", "a"), ("b1", "b")], ALL, 1);
    scene.report_cost("a1", 2, 12, 1_200);
    scene.report_cost("b1", 2, 12, 300);
    assert_eq!(scene.spread(100).get("a1"), None);
    scene.now += Duration::from_secs(10);
    assert!(scene.spread(100).contains_key("a1"), "old reports fade");
}

proptest! {
    #[test]
    fn at_least_half_of_a_service_that_can_be_reached_gets_work(
        failed in proptest::collection::vec(any::<bool>(), 1..9),
        seed in any::<u64>(),
    ) {
        let names: Vec<String> = (0..failed.len()).map(|i| format!("u{i}")).collect();
        let upstreams: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        let mut scene = Scene::new(&upstreams, ALL, seed);
        for (name, _) in names.iter().zip(&failed).filter(|(_, failed)| **failed) {
            scene.fail(name, Evidence::Failed);
        }
        let spread = scene.spread(2_000);
        prop_assert!(spread.len() >= failed.len() - failed.len() / 2);
    }

    #[test]
    fn the_count_of_calls_is_exact_and_the_excluded_get_none(
        steps in proptest::collection::vec((any::<bool>(), 0u8..4), 1..300),
        seed in any::<u64>(),
    ) {
        let upstreams = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
        let mut scene = Scene::new(&upstreams, ALL, seed);
        let mut held: Vec<Ticket> = Vec::new();
        for (is_start, step) in steps {
            scene.now += Duration::from_millis(u64::from(step) * 40);
            if is_start {
                let excluded = [UpstreamName::from("a1")];
                let chosen = scene.choose_but(&excluded, step > 1);
                if let Ok(ticket) = chosen {
                    prop_assert_ne!(ticket.upstream.as_str(), "a1");
                    held.push(ticket);
                }
            } else if let Some(ticket) = held.pop() {
                let evidence = [Evidence::Answered, Evidence::Failed, Evidence::Unreachable];
                let evidence = evidence[usize::from(step) % 3];
                scene.balancer.observe(&ticket, evidence, scene.now, &mut scene.rng);
                scene.balancer.release(&ticket, scene.now);
            }
            let counted: u32 = upstreams
                .iter()
                .map(|(name, _)| scene.balancer.outstanding(&(*name).into()))
                .sum();
            prop_assert_eq!(counted as usize, held.len());
        }
    }
}
