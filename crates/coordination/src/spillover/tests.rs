mod model;

use std::{
    collections::{HashSet, VecDeque},
    sync::Arc,
};

use rand::{SeedableRng, rngs::SmallRng};

use self::model::{Model, Pattern, Rule, candidate};
use super::*;
use crate::{
    Balancer, BalancerPolicy, Candidate, Constraints, Evidence, LeavingUpstreams, ReportedLoad,
};

/// Difference of shares of calls that one seed can show by chance: some five standard errors of a
/// share of 0.99 over the 8,000 calls of the pattern with the fewest clients.
const CHANCE: f64 = 0.005;

/// Runs all rules and checks that the share answers no fewer calls in time than any other rule, and
/// sends at most half as many calls to other domains as an equal spread.
#[track_caller]
fn assert_no_worse_than_baselines(name: &str, pattern: Pattern) -> [model::Score; 2] {
    let rules = [
        Rule::Share,
        Rule::EachCall,
        Rule::Never,
        Rule::Nearest,
        Rule::Equal,
    ];
    let scores = rules.map(|rule| Model::run(rule, pattern, 1));
    for (rule, score) in rules.iter().zip(&scores) {
        let (in_time, crossed) = (score.in_time(), score.crossed());
        println!("{name} {rule:?}: in time {in_time:.4}, crossed {crossed:.4}");
        assert!(scores[0].in_time() >= in_time - CHANCE, "{rule:?}");
    }
    assert!(scores[0].crossed() <= 0.5 * scores[4].crossed());
    [scores[0], scores[1]]
}

/// Load pattern: demand near the capacity of all domains, in waves that move between them. Guards
/// against a rule that crosses more than the decision of each call to answer the same calls in time.
#[test]
fn waves_near_capacity() {
    let pattern = Pattern {
        clients: [190; 3],
        is_wave: true,
        ..Pattern::default()
    };
    let [share, each_call] = assert_no_worse_than_baselines("waves", pattern);
    assert!(share.crossed() <= each_call.crossed());
}

/// Load pattern: waves of demand that each domain bears. Guards against calls that leave although
/// they would be answered in time: no more than exploration may.
#[test]
fn waves_that_each_domain_bears() {
    let pattern = Pattern {
        clients: [90; 3],
        is_wave: true,
        ..Pattern::default()
    };
    let [share, _] = assert_no_worse_than_baselines("light", pattern);
    assert!(share.crossed() <= 0.05, "{}", share.crossed());
}

/// Load pattern: steady demand above the capacity of the smallest domain. Guards against answers that
/// are late while other domains have room.
#[test]
fn one_domain_over_capacity() {
    let pattern = Pattern {
        clients: [100, 250, 100],
        ..Pattern::default()
    };
    assert_no_worse_than_baselines("over capacity", pattern);
}

/// Load pattern: a domain is lost under waves, and its clients use the others. Guards against calls
/// to the lost domain.
#[test]
fn lost_domain() {
    let pattern = Pattern {
        clients: [120; 3],
        is_wave: true,
        is_lost: true,
        ..Pattern::default()
    };
    let [share, _] = assert_no_worse_than_baselines("lost", pattern);
    assert_eq!(share.misdirected, 0);
}

/// Load pattern: a domain is drained under waves while its own clients stay. Guards against calls to
/// the drained domain and a single destination that gets all of its calls.
#[test]
fn drained_domain() {
    let pattern = Pattern {
        clients: [120; 3],
        is_wave: true,
        is_drained: true,
        ..Pattern::default()
    };
    let [share, _] = assert_no_worse_than_baselines("drained", pattern);
    assert_eq!(share.misdirected, 0);
}

/// Load pattern: waves of demand, with reports that are 400 ms late. Guards against shares that swing
/// because they follow outdated reports.
#[test]
fn late_reports() {
    let pattern = Pattern {
        clients: [150; 3],
        is_wave: true,
        report_delay_s: 0.4,
        ..Pattern::default()
    };
    assert_no_worse_than_baselines("late", pattern);
}

/// One node of domain a that sees given estimates.
struct Node {
    spillover: Spillover,
    rng: SmallRng,
}

impl Node {
    fn new(seed: u64) -> Self {
        let spillover = Spillover::new(SpilloverSettings::default());
        Self {
            spillover,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Makes 100 calls within 200 ms and returns how many cross and how many explore.
    fn calls(&mut self, domains: &[(&str, Option<UpstreamReport>)], now: Instant) -> (u32, u32) {
        let call = CallLimits {
            target_ms: Some(100),
            is_retry: false,
        };
        let (mut crossing, mut exploring) = (0, 0);
        for i in 0..100 {
            let estimates = || {
                let mut estimates = DomainEstimates::new("a".into());
                for (domain, report) in domains {
                    estimates.add(&(*domain).into(), *report);
                }
                estimates
            };
            let now = now + Duration::from_millis(2) * i;
            let (spillover, rng) = (&mut self.spillover, &mut self.rng);
            match spillover.direction(&"s".into(), call, estimates, now, rng) {
                Direction::Cross(_) => crossing += 1,
                Direction::Explore(_) => exploring += 1,
                Direction::Stay => {}
            }
        }
        (crossing, exploring)
    }

    /// Makes calls for some seconds and returns those of the last 200 ms that cross, and all that
    /// explore.
    fn run(
        &mut self,
        domains: &[(&str, Option<UpstreamReport>)],
        start: &mut Instant,
        seconds: u32,
    ) -> (u32, u32) {
        let (mut crossing, mut all_exploring) = (0, 0);
        for _ in 0..5 * seconds {
            let (last, exploring) = self.calls(domains, *start);
            crossing = last;
            all_exploring += exploring;
            *start += Duration::from_millis(200);
        }
        (crossing, all_exploring)
    }
}

fn report(cost: f64, load: f64, age_ms: u64) -> Option<UpstreamReport> {
    Some(UpstreamReport {
        in_use: 10.0 * load,
        limit: 10.0,
        cost,
        age: Duration::from_millis(age_ms),
        is_backed_off: false,
    })
}

/// Load pattern: the own domain is overloaded and nothing recent is known of the other, or nothing of
/// the own. Guards against calls that leave on a guess, and exploration above its stated share.
#[test]
fn calls_stay_without_information() {
    let overloaded = report(900.0, 1.2, 10);
    for domains in [
        [("a", overloaded), ("b", None)],
        [("a", overloaded), ("b", report(100.0, 0.1, 3_500))],
        [("a", None), ("b", report(100.0, 0.1, 10))],
    ] {
        let (crossing, exploring) = Node::new(1).run(&domains, &mut Instant::now(), 10);
        assert_eq!(crossing, 0);
        assert!(exploring <= 251, "{exploring} of 5000 calls");
    }
}

/// Load pattern: two domains with equal load at their limits, whose reports scatter. Guards against
/// domains that trade load without a gain.
#[test]
fn equally_loaded_domains_trade_no_calls() {
    let (mut node, mut now) = (Node::new(1), Instant::now());
    for i in 0..50 {
        let scatter = if i % 2 == 0 { 0.1 } else { -0.1 };
        let own = report(250.0, 1.0 + scatter, 10);
        let other = report(250.0, 1.0 - scatter, 10);
        let (crossing, _) = node.run(&[("a", own), ("b", other)], &mut now, 1);
        assert_eq!(crossing, 0);
    }
}

/// Load pattern: 40 nodes of an overloaded domain with reports of 600 ms ago. Guards against nodes that
/// move together and back.
#[test]
fn nodes_with_the_same_reports_settle() {
    let mut nodes: Vec<_> = (0..40).map(Node::new).collect();
    let (mut now, mut leaving, mut history) = (Instant::now(), VecDeque::from([0.0; 3]), vec![]);
    for _ in 0..100 {
        let seen: f64 = leaving.pop_front().unwrap();
        let domains = [
            ("a", report(250.0, 1.3 * (1.0 - seen), 10)),
            ("b", report(250.0, 0.4 + 0.8 * seen, 10)),
        ];
        let crossing: u32 = nodes
            .iter_mut()
            .map(|node| node.calls(&domains, now).0)
            .sum();
        leaving.push_back(f64::from(crossing) / 4_000.0);
        history.push(f64::from(crossing) / 4_000.0);
        now += Duration::from_millis(200);
    }
    let settled = &history[50..];
    let high = settled.iter().copied().fold(0.0, f64::max);
    let low = settled.iter().copied().fold(1.0, f64::min);
    assert!(low > 0.0 && high - low <= 0.1, "{low} to {high}");
}

/// Load pattern: a wave of demand ends. Guards against calls that still leave when the own domain has
/// room again.
#[test]
fn calls_return_within_two_seconds() {
    let (mut node, mut now) = (Node::new(1), Instant::now());
    let other = report(200.0, 0.2, 10);
    let (crossing, _) = node.run(&[("a", report(900.0, 1.2, 10)), ("b", other)], &mut now, 5);
    assert!(crossing >= 50, "{crossing}");
    let (crossing, _) = node.run(&[("a", report(200.0, 0.2, 10)), ("b", other)], &mut now, 2);
    assert_eq!(crossing, 0);
}

/// Load pattern: an overloaded own domain beside one that is full too, one that is too far for the
/// target, and one that is hardly faster. Guards against crossings that bring nothing.
#[test]
fn calls_stay_if_a_crossing_brings_too_little() {
    let own = report(600.0, 0.5, 10);
    for (other, round_trip_ms) in [
        (report(100.0, 1.0, 10), 1),
        (report(100.0, 0.1, 10), 40),
        (report(600.0, 0.4, 10), 1),
    ] {
        let mut node = Node::new(1);
        let round_trip = Duration::from_millis(round_trip_ms);
        node.spillover.record_round_trip(&"b".into(), round_trip);
        let (crossing, _) = node.run(&[("a", own), ("b", other)], &mut Instant::now(), 5);
        assert_eq!(crossing, 0, "{other:?} at {round_trip_ms} ms");
    }
}

/// Load pattern: most calls leave an overloaded domain when their destination is drained, can't be
/// reached, is ejected or states that it leaves. Guards against calls that still go there.
#[test]
fn destination_that_ends_gets_no_further_call() {
    for case in 0..4 {
        let policy = BalancerPolicy {
            balance: true,
            ejection: true,
            spillover: Some(SpilloverSettings::default()),
        };
        let mut balancer = Balancer::new("a".into(), policy);
        let mut rng = SmallRng::seed_from_u64(1);
        let (mut now, mut before, mut after) = (Instant::now(), 0, 0);
        let mut candidates: Vec<Candidate> = [(0, 0), (1, 0), (2, 0), (3, 1)]
            .map(|(i, domain)| candidate(i, domain))
            .into();
        let (mut unreachable, mut leaving) = (HashSet::new(), LeavingUpstreams::default());
        for i in 0..2_000 {
            let name = candidates.last().unwrap().upstream.name.clone();
            if i == 1_000 {
                let last = Arc::clone(&candidates[3].upstream);
                match case {
                    0 => drop(candidates.pop()),
                    1 => drop(unreachable.insert(candidates[3].address)),
                    2 => drop(leaving.record(&last, now)),
                    _ => {
                        let ticket = balancer.begin_call(&name);
                        balancer.observe(&ticket, Evidence::Unreachable, now, &mut rng);
                        balancer.release(&ticket, now);
                    }
                }
            }
            let constraints = Constraints {
                excluded: &[],
                unreachable: &unreachable,
                leaving: &leaving,
                idempotent: false,
                target_ms: Some(100),
            };
            let (chosen, ticket) = balancer
                .choose(&candidates, constraints, now, &mut rng)
                .unwrap();
            let is_remote = chosen.upstream.domain.as_str() == "b";
            *(if i < 1_000 { &mut before } else { &mut after }) += u32::from(is_remote);
            let (active, cost) = if is_remote { (1, 100) } else { (8, 900) };
            let load = ReportedLoad {
                active,
                limit: 8,
                queued: 0,
                cost,
            };
            balancer.record_load(&ticket, load, now);
            balancer.release(&ticket, now);
            now += Duration::from_millis(if i < 1_000 { 10 } else { 0 });
        }
        assert!(before >= 500, "case {case}: {before} calls before");
        assert_eq!(after, 0, "case {case}");
    }
}

/// Load pattern: a share that rises and ends. Guards against log lines without inputs, and one for
/// each step.
#[test]
fn noticeable_changes_are_reported_with_their_inputs() {
    let (mut node, mut now) = (Node::new(1), Instant::now());
    let other = report(200.0, 0.2, 10);
    node.run(&[("a", report(900.0, 1.2, 10)), ("b", other)], &mut now, 10);
    node.run(&[("a", report(200.0, 0.2, 10)), ("b", other)], &mut now, 3);
    let changes = node.spillover.take_changes();
    assert!((2..=20).contains(&changes.len()), "{changes:?}");
    let (first, last) = (&changes[0], &changes[changes.len() - 1]);
    assert!(
        first.own_expected > first.other_expected
            && first.other_age.is_some()
            && first.own_age.is_some()
    );
    assert_eq!((last.share, last.domain.as_ref()), (0.0, None));
}
