//! Random faults, after which all replicas must converge.

use proptest::prelude::*;
use rand::Rng;
use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope};

use crate::sim::Sim;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time limit for all replicas to agree after the faults end.
const CONVERGENCE_TIMEOUT_MS: u64 = 25_000;

/// Returns the number of runs from `PROPTEST_CASES`, or 24.
fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), ..ProptestConfig::default() })]

    #[test]
    fn replicas_converge_after_faults_without_regressing(seed in any::<u64>()) {
        let mut sim = Sim::new(seed, &[("a", 7), ("b", 6), ("c", 3)]);
        sim.loss_rate = if seed % 3 == 0 { 0.05 } else { 0.0 };
        if seed % 2 == 0 {
            sim.seeds = vec![0, 1, 7, 13];
        }
        sim.publish_service();
        sim.start_all();
        sim.run_for(15_000);
        let mut orders = 0;
        for _ in 0..40 {
            inject_fault(&mut sim, &mut orders);
            let span = sim.rng.random_range(50..3_000);
            sim.run_for(span);
        }
        heal(&mut sim);
        let notes = sim.platform.notes.len() as u64;
        sim.run_until(CONVERGENCE_TIMEOUT_MS, |sim| sim.all_serve() && sim.all_have(notes));
        sim.run_for(5_000);
        let first = sim.running().next().unwrap();
        for replica in sim.running() {
            prop_assert_eq!(replica.config(), first.config());
            prop_assert_eq!(replica.drains(), first.drains());
        }
        let refused: Vec<_> = (1..=notes).filter(|n| n % 5 == 0).collect();
        for node in &sim.nodes {
            prop_assert!(node.refused.iter().all(|note| refused.contains(&note.0)));
        }
    }
}

fn inject_fault(sim: &mut Sim, orders: &mut u64) {
    let number = sim.rng.random_range(0..sim.nodes.len());
    let domain = |sim: &mut Sim| DOMAINS[sim.rng.random_range(0..3)];
    match sim.rng.random_range(0..12) {
        0..=2 => publish(sim),
        3 => sim.kill(number),
        4 => restart(sim, number),
        5 => {
            let (from, to) = (domain(sim), domain(sim));
            if from != to {
                sim.block(from, to);
            }
        }
        6 => sim.blocked.clear(),
        7 => sim.platform.is_down = !sim.platform.is_down,
        8 => {
            let domain = domain(sim).into();
            if !sim.platform.blocked.remove(&domain) {
                sim.platform.blocked.insert(domain);
            }
        }
        9 => sim.nodes[number].paused_until = sim.now_ms() + sim.rng.random_range(500..6_000),
        10 => issue_drain_order(sim, number, orders),
        _ => restart_half(sim, domain),
    }
}

/// Publishes a note; every fifth one is invalid.
fn publish(sim: &mut Sim) {
    sim.publish(|n| {
        if n % 5 == 0 {
            return format!("note: {n}\nservices: {{withdraw: [missing]}}\n");
        }
        format!("note: {n}\nservices: {{add: [{{name: s{n}}}]}}\n")
    });
}

fn restart(sim: &mut Sim, number: usize) {
    sim.kill(number);
    sim.start(number);
}

fn issue_drain_order(sim: &mut Sim, number: usize, orders: &mut u64) {
    *orders += 1;
    let domain = DOMAINS[sim.rng.random_range(0..3)];
    let action = if sim.rng.random_bool(0.5) {
        DrainAction::Drain
    } else {
        DrainAction::Restore
    };
    let order = DrainOrder {
        number: *orders,
        scope: DrainScope::Domain(domain.into()),
        action,
    };
    sim.apply_order(number, &order);
}

/// Restarts every second node of a failure domain at the same time.
fn restart_half(sim: &mut Sim, domain: impl Fn(&mut Sim) -> &'static str) {
    let domain = domain(sim);
    let nodes = sim.by_position(domain);
    for number in nodes.iter().step_by(2) {
        restart(sim, *number);
    }
}

fn heal(sim: &mut Sim) {
    sim.blocked.clear();
    sim.loss_rate = 0.0;
    sim.platform.is_down = false;
    sim.platform.blocked.clear();
    for number in 0..sim.nodes.len() {
        sim.nodes[number].paused_until = 0;
        if sim.nodes[number].replica.is_none() {
            sim.start(number);
        }
    }
}
