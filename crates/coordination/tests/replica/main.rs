//! Simulation tests of many replicas with failing links and a failing platform.

#![allow(clippy::unwrap_used)]

mod apply_bound;
mod chaos;
mod event;
mod model;
mod sim;

use std::sync::Arc;

use wagtaillever_coordination::{
    DrainAction, DrainOrder, DrainScope, JoinRule, PlatformMode, Replica, parent_positions,
};

use crate::sim::Sim;

const THREE_DOMAINS: [(&str, usize); 3] = [("a", 12), ("b", 12), ("c", 12)];

fn started_sim(seed: u64, domains: &[(&str, usize)]) -> Sim {
    let mut sim = Sim::new(seed, domains);
    sim.publish_service();
    sim.start_all();
    sim.run_until(20_000, |sim| sim.all_serve() && sim.all_have(1));
    sim.run_for(5_000);
    sim
}

fn drain_order(number: u64, domain: &str) -> DrainOrder {
    DrainOrder {
        number,
        scope: DrainScope::Domain(domain.into()),
        action: DrainAction::Drain,
    }
}

#[test]
fn parent_order_is_ancestors_then_siblings_then_rest() {
    assert!(parent_positions(0).is_empty());
    assert_eq!(parent_positions(1), [0]);
    assert_eq!(parent_positions(9)[..2], [1, 0]);
    let order = parent_positions(80);
    assert_eq!(order[..3], [9, 1, 0]);
    let siblings: std::collections::BTreeSet<_> = order[3..10].iter().copied().collect();
    assert_eq!(siblings, (10..17).collect());
    assert_eq!(order.len(), 80);
}

#[test]
fn each_note_reaches_each_node_about_once() {
    let mut sim = started_sim(1, &THREE_DOMAINS);
    sim.notes_sent = 0;
    for sequence in 2..12 {
        sim.publish_service();
        sim.run_until(2_000, |sim| sim.all_have(sequence));
        sim.run_for(500);
    }
    assert!(sim.notes_sent <= 10 * 36 * 11 / 10, "{}", sim.notes_sent);
}

#[test]
fn note_reaches_all_nodes_when_relays_are_killed() {
    for seed in 0..10 {
        let mut sim = started_sim(seed, &THREE_DOMAINS);
        sim.publish_service();
        for relay in sim.by_position("a").into_iter().take(2) {
            sim.kill(relay);
        }
        sim.run_until(4_000, |sim| sim.all_have(2));
    }
}

#[test]
fn note_reaches_all_nodes_when_half_of_a_domain_is_killed() {
    for seed in 0..10 {
        let mut sim = started_sim(seed, &THREE_DOMAINS);
        let nodes = sim.by_position("a");
        for node in &nodes[..6] {
            sim.kill(*node);
        }
        sim.publish_service();
        sim.run_until(4_000, |sim| sim.all_have(2));
        for node in &nodes[..6] {
            sim.start(*node);
        }
        sim.run_until(15_000, |sim| sim.all_serve() && sim.all_have(2));
    }
}

#[test]
fn domain_without_platform_access_receives_notes_from_others() {
    let mut sim = started_sim(2, &THREE_DOMAINS);
    sim.platform.blocked.insert("a".into());
    sim.run_for(20_000);
    sim.publish_service();
    sim.run_until(2_000, |sim| sim.all_have(2));
}

#[test]
fn healed_partition_catches_up_in_three_seconds() {
    for seed in 0..5 {
        let mut sim = started_sim(seed, &THREE_DOMAINS);
        sim.platform.blocked.insert("a".into());
        for other in ["b", "c"] {
            sim.block("a", other);
            sim.block(other, "a");
        }
        sim.run_for(30_000);
        sim.publish_service();
        sim.run_for(10_000);
        assert!(!sim.all_have(2));
        sim.blocked.clear();
        sim.run_until(3_000 + 8_000, |sim| sim.all_have(2));
    }
}

#[test]
fn notes_reach_all_nodes_in_a_one_way_partition() {
    let mut sim = started_sim(4, &THREE_DOMAINS);
    sim.platform.blocked.insert("a".into());
    sim.block("b", "a");
    sim.run_for(10_000);
    sim.publish_service();
    sim.run_until(8_000, |sim| sim.all_have(2));
}

#[test]
fn drain_orders_reach_all_nodes_without_the_platform_and_survive_a_restart() {
    let mut sim = started_sim(5, &THREE_DOMAINS);
    sim.platform.is_down = true;
    sim.run_for(20_000);
    sim.apply_order(3, &drain_order(1, "b"));
    let has_order = |replica: &Replica| replica.drains().highest_number() == 1;
    sim.run_until(3_000, |sim| sim.running().all(has_order));
    sim.kill(3);
    sim.start(3);
    sim.run_until(15_000, |sim| sim.running().all(has_order));
}

#[test]
fn reordered_and_repeated_drain_orders_converge() {
    let mut sim = started_sim(6, &THREE_DOMAINS);
    let restore = DrainOrder {
        action: DrainAction::Restore,
        ..drain_order(2, "a")
    };
    sim.apply_order(0, &restore);
    sim.apply_order(30, &drain_order(1, "a"));
    sim.apply_order(15, &restore);
    sim.run_for(3_000);
    let lists: Vec<_> = sim.running().map(|r| r.drains().clone()).collect();
    assert!(lists.iter().all(|list| *list == lists[0]));
    assert!(!lists[0].is_drained(&"x".into(), &"a".into()));
}

#[test]
fn replaced_process_never_serves_an_older_configuration() {
    for seed in 0..10 {
        let mut sim = started_sim(seed, &THREE_DOMAINS);
        sim.publish_service();
        sim.run_until(4_000, |sim| sim.all_have(2));
        sim.platform.stale_notes = Some(1);
        for number in sim.by_position("a").into_iter().take(3) {
            sim.kill(number);
            sim.start(number);
        }
        sim.run_until(15_000, Sim::all_serve);
        assert!(sim.all_have(2));
    }
}

#[test]
fn restart_of_all_nodes_joins_by_all_joining_and_serving_peer() {
    let mut sim = started_sim(7, &THREE_DOMAINS);
    for number in 0..36 {
        sim.kill(number);
    }
    sim.start_all();
    sim.run_until(15_000, |sim| sim.all_serve() && sim.all_have(1));
    let rules: Vec<_> = sim.nodes.iter().filter_map(|node| node.rule).collect();
    assert!(rules.contains(&JoinRule::AllJoining));
    assert!(rules.contains(&JoinRule::ServingPeer));
}

#[test]
fn start_with_seeds_in_all_domains_joins() {
    for seed in 0..5 {
        let mut sim = Sim::new(seed, &THREE_DOMAINS);
        sim.seeds = vec![0, 1, 12, 13, 24, 25];
        sim.publish_service();
        sim.start_all();
        sim.run_until(15_000, |sim| sim.all_serve() && sim.all_have(1));
    }
}

#[test]
fn late_relays_become_the_only_platform_readers() {
    let mut sim = Sim::new(13, &THREE_DOMAINS);
    sim.publish_service();
    let order = sim.by_position("a");
    for number in (0..36).filter(|number| !order[..2].contains(number)) {
        sim.start(number);
    }
    sim.run_for(5_000);
    sim.start(order[0]);
    sim.start(order[1]);
    sim.run_for(40_000);
    let is_reader = |replica: &&Replica| replica.platform_mode() == PlatformMode::Watch;
    assert_eq!(
        sim.running().filter(is_reader).count(),
        6,
        "{}",
        sim.describe()
    );
}

/// Load pattern: all VMs start at once, and the platform lists them one after the other, the first
/// ones later than a node waits for an expected reader.
#[test]
fn few_nodes_read_the_platform_while_all_vms_start() {
    for seed in 0..5 {
        let mut sim = Sim::new(seed, &[("a", 40), ("b", 40), ("c", 40)]);
        sim.policy.consistent_reads = true;
        sim.publish_service();
        let all = std::mem::take(&mut sim.platform.vms.vms);
        sim.platform.is_down = true;
        sim.start_all();
        sim.run_for(1_800);
        sim.platform.is_down = false;
        for i in 0..5 {
            let listed = all.iter().enumerate().filter(|(at, _)| at % 5 <= i);
            sim.platform.vms.vms = listed.map(|(_, entry)| Arc::clone(entry)).collect();
            sim.platform.vms.number += 1;
            sim.run_for(300);
        }
        sim.run_until(3_000, |sim| sim.all_serve() && sim.all_have(1));
        let readers = sim.nodes.iter().filter(|node| node.has_watched).count();
        assert!(
            readers <= 12,
            "seed {seed}: {readers} readers, 6 are needed"
        );
    }
}

#[test]
fn node_without_peers_does_not_serve() {
    let mut sim = Sim::new(8, &THREE_DOMAINS);
    sim.publish_service();
    sim.start(0);
    sim.run_for(60_000);
    assert!(!sim.all_serve());
    sim.kill(0);
    sim.platform.is_down = true;
    sim.start(1);
    sim.run_for(60_000);
    assert!(!sim.nodes[1].replica.as_ref().unwrap().is_serving());
}

#[test]
fn only_listed_node_serves() {
    let mut sim = Sim::new(9, &[("a", 1)]);
    sim.publish_service();
    sim.start(0);
    sim.run_until(5_000, |sim| sim.all_serve() && sim.all_have(1));
    assert_eq!(sim.nodes[0].rule, Some(JoinRule::OnlyNode));
}

#[test]
fn paused_relay_does_not_delay_notes() {
    let mut sim = started_sim(10, &THREE_DOMAINS);
    let relay = sim.by_position("a")[0];
    sim.nodes[relay].paused_until = sim.now_ms() + 20_000;
    sim.publish_service();
    let others = move |sim: &Sim| {
        let mut nodes = sim.nodes.iter().enumerate();
        nodes.all(|(n, node)| n == relay || node.replica.as_ref().unwrap().config().sequence.0 == 2)
    };
    sim.run_until(4_000, others);
    sim.run_until(25_000, |sim| sim.all_have(2));
}

#[test]
fn fleet_summary_counts_all_nodes() {
    let mut sim = started_sim(11, &THREE_DOMAINS);
    sim.publish_service();
    sim.run_for(15_000);
    for replica in sim.running() {
        let fleet = replica.fleet();
        for domain in ["a", "b", "c"] {
            let summary = &fleet.domains[domain];
            assert_eq!(summary.nodes, 12, "{fleet:?}");
            assert_eq!(
                summary.nodes_at_least(wagtaillever_coordination::Sequence(2)),
                12
            );
        }
    }
}

#[test]
fn simultaneous_start_ends_with_few_platform_readers() {
    let mut sim = Sim::new(12, &[("a", 100), ("b", 100), ("c", 100)]);
    sim.publish_service();
    sim.start_all();
    sim.run_until(30_000, |sim| sim.all_serve() && sim.all_have(1));
    sim.run_for(10_000);
    sim.platform.reads.clear();
    sim.run_for(10_000);
    let peak = sim.platform.reads.values().max().copied().unwrap_or(0);
    // Two relays in each of three domains, each reading ten times a second.
    assert!(peak <= 60, "{peak}");
}
