//! Changes are in force in time at every node that can reach the platform, whoever reads it.

use std::time::Duration;

use rand::{Rng, seq::SliceRandom};
use wagtaillever_coordination::{ApplyTiming, PlatformMode, Replica};

use crate::sim::Sim;

/// Time after publication within which a change has to be in force, the shortest one that users
/// require.
const APPLY_BOUND_MS: u64 = 2_000;
/// Time without disruption after which a node has to keep the bound.
const CALM_MS: u64 = 3_000;
/// Scale of the time between two changes, which is drawn from 0.5 to 6 times it.
const CHANGE_INTERVAL_MS: u64 = 300;
/// Time that a read of a platform that does not answer takes.
const SILENT_READ_MS: u64 = 1_500;
/// Mean time after which a refused read is repeated.
const REFUSED_READ_MS: u64 = 500;
/// Duration of a disruption.
const TROUBLE_MS: u64 = 8_000;
/// Number of nodes of a failure domain that share the platform's read rate.
const MAX_DOMAIN_READERS: usize = 8;

const SMALL_FLEET: &[(&str, usize)] = &[("a", 4), ("b", 4), ("c", 4)];
const LARGE_FLEET: &[(&str, usize)] = &[("a", 59), ("b", 59), ("c", 59), ("d", 59), ("e", 58)];

/// Disruption of the readers of the platform or of the path to it.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Most nodes get no answer from the platform.
    MostSilent,
    /// Most nodes are refused by the platform at once.
    MostRefused,
    /// All nodes but one get no answer from the platform.
    AllSilentButOne,
    /// The readers of the platform get no answer.
    ReadersSilent,
    /// The readers of the platform are paused.
    ReadersPaused,
    /// The processes of the readers of the platform end and start again.
    ReadersRestarted,
    /// All processes end and start again, and the readers then get no answer from the platform.
    AllRestarted,
    /// The readers of one failure domain get no answer, and its links to all others are cut.
    DomainIsolated,
}

/// A fleet in which changes of each kind are published, and the changes that are late.
struct Play {
    sim: Sim,
    domains: Vec<String>,
    /// Time since which each node has not been disrupted.
    calm_since: Vec<u64>,
    /// Publication times of the notes, orders and lists of VMs.
    published: [Vec<u64>; 3],
    next_change: u64,
    late: Vec<String>,
}

impl Play {
    fn new(seed: u64, fleet: &[(&str, usize)]) -> Self {
        let mut sim = Sim::new(seed, fleet);
        sim.policy.consistent_reads = true;
        sim.policy.timing = ApplyTiming::new(Duration::from_millis(APPLY_BOUND_MS));
        let wait = sim.policy.timing.watch_wait().as_millis();
        sim.watch_wait = Some(u64::try_from(wait).unwrap());
        sim.publish_service();
        sim.start_all();
        sim.run_until(20_000, |sim| sim.all_serve() && sim.all_have(1));
        sim.run_for(5_000);
        let now = sim.now_ms();
        Self {
            calm_since: vec![now - CALM_MS; sim.nodes.len()],
            domains: fleet.iter().map(|(name, _)| (*name).into()).collect(),
            sim,
            published: [vec![0], Vec::new(), vec![0]],
            next_change: now,
            late: Vec::new(),
        }
    }

    /// Runs while changes are published, and checks after each step that none is late.
    fn run_for(&mut self, ms: u64) {
        let end = self.sim.now_ms() + ms;
        while self.sim.now_ms() < end {
            if self.sim.now_ms() >= self.next_change {
                self.publish();
            }
            self.sim.run_for(50);
            self.check();
        }
    }

    fn publish(&mut self) {
        let now = self.sim.now_ms();
        let kind = self.sim.rng.random_range(0..3);
        match kind {
            0 => self.sim.publish_service(),
            1 => self.sim.publish_order("a"),
            _ => self.sim.publish_vms(),
        }
        self.published[kind].push(now);
        let pause = self
            .sim
            .rng
            .random_range(CHANGE_INTERVAL_MS / 2..CHANGE_INTERVAL_MS * 6);
        self.next_change = now + pause;
    }

    fn check(&mut self) {
        let now = self.sim.now_ms();
        let due = self.published.each_ref().map(|times| {
            let due = times.iter().filter(|at| **at + APPLY_BOUND_MS < now);
            due.count() as u64
        });
        for (number, node) in self.sim.nodes.iter().enumerate() {
            let Some(replica) = &node.replica else {
                continue;
            };
            if self.calm_since[number] + CALM_MS > now {
                continue;
            }
            let known = known_changes(replica);
            if (0..3).any(|kind| known[kind] < due[kind]) {
                let vm = &node.entry.vm;
                self.late
                    .push(format!("{now} ms: {vm} has {known:?} of {due:?}"));
            }
        }
    }

    fn disturb(&mut self, number: usize) {
        self.calm_since[number] = u64::MAX - CALM_MS;
    }

    fn readers(&self) -> Vec<usize> {
        let domains = self.domains.iter();
        domains
            .flat_map(|domain| self.sim.by_position(domain).into_iter().take(2))
            .collect()
    }

    fn restart(&mut self, numbers: Vec<usize>) {
        for number in numbers {
            self.sim.kill(number);
            self.sim.start(number);
            self.calm_since[number] = self.sim.now_ms();
        }
    }

    fn cut_off(&mut self, numbers: Vec<usize>, read_ms: u64) {
        for number in numbers {
            self.sim.platform.unreachable.insert(number, read_ms);
            self.disturb(number);
        }
    }

    fn random_nodes(&mut self, count: usize) -> Vec<usize> {
        let mut numbers: Vec<_> = (0..self.sim.nodes.len()).collect();
        numbers.shuffle(&mut self.sim.rng);
        numbers.truncate(count);
        numbers
    }

    fn begin(&mut self, trouble: Trouble) {
        let count = self.sim.nodes.len();
        match trouble {
            Trouble::MostSilent => {
                let numbers = self.random_nodes(count * 4 / 5);
                self.cut_off(numbers, SILENT_READ_MS);
            }
            Trouble::MostRefused => {
                let numbers = self.random_nodes(count * 4 / 5);
                self.cut_off(numbers, REFUSED_READ_MS);
            }
            Trouble::AllSilentButOne => {
                let numbers = self.random_nodes(count - 1);
                self.cut_off(numbers, SILENT_READ_MS);
            }
            Trouble::ReadersSilent => self.cut_off(self.readers(), SILENT_READ_MS),
            Trouble::ReadersPaused => {
                for number in self.readers() {
                    self.sim.nodes[number].paused_until = self.sim.now_ms() + TROUBLE_MS;
                    self.disturb(number);
                }
            }
            Trouble::ReadersRestarted => {
                // What only the ending processes know is not known to their successors.
                let newest = self.sim.platform.notes.len() as u64;
                self.sim
                    .run_until(APPLY_BOUND_MS, |sim| sim.all_have(newest));
                self.restart(self.readers());
            }
            Trouble::AllRestarted => {
                self.restart((0..count).collect());
                self.cut_off(self.readers(), SILENT_READ_MS);
            }
            Trouble::DomainIsolated => {
                let readers = self.sim.by_position("a").into_iter().take(2);
                self.cut_off(readers.collect(), SILENT_READ_MS);
                for other in self.domains.clone().iter().filter(|name| *name != "a") {
                    self.sim.block("a", other);
                    self.sim.block(other, "a");
                }
            }
        }
    }

    /// Cuts all nodes off from the platform.
    fn cut_off_all(&mut self, read_ms: u64) {
        self.cut_off((0..self.sim.nodes.len()).collect(), read_ms);
    }

    /// Forgets which nodes have read the platform, except for those that read it now.
    fn forget_readers(&mut self) {
        for node in &mut self.sim.nodes {
            node.has_watched = node.mode == PlatformMode::Watch;
        }
    }

    fn readers_so_far(&self) -> usize {
        let nodes = self.sim.nodes.iter();
        nodes.filter(|node| node.has_watched).count()
    }

    fn end_trouble(&mut self) {
        self.sim.platform.unreachable.clear();
        self.sim.blocked.clear();
        let now = self.sim.now_ms();
        for since in &mut self.calm_since {
            *since = (*since).min(now);
        }
    }
}

/// Returns the number of notes, orders and lists of VMs that a node knows.
fn known_changes(replica: &Replica) -> [u64; 3] {
    [
        replica.config().sequence.0,
        replica.drains().highest_number(),
        replica.vms().number,
    ]
}

/// Plays `seeds` seeds, or as many times that number as `APPLY_BOUND_FACTOR` says.
fn play(fleet: &[(&str, usize)], trouble: Trouble, seeds: u64) {
    let factor = std::env::var("APPLY_BOUND_FACTOR").ok();
    let factor: u64 = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    for seed in 0..seeds * factor {
        let mut play = Play::new(seed, fleet);
        for _ in 0..2 {
            let span = play.sim.rng.random_range(2_000..5_000);
            play.run_for(span);
            play.begin(trouble);
            play.run_for(TROUBLE_MS);
            play.end_trouble();
        }
        play.run_for(6_000);
        let first = play.late.first();
        assert!(
            first.is_none(),
            "{trouble:?}, seed {seed}: {} late, first at {}",
            play.late.len(),
            first.map_or("", String::as_str)
        );
    }
}

// Guards against changes that are late because nodes that can reach the platform wait for readers
// that can't.
#[test]
fn changes_are_in_force_in_time_while_most_nodes_lose_the_platform() {
    play(SMALL_FLEET, Trouble::MostSilent, 10);
    play(LARGE_FLEET, Trouble::MostSilent, 1);
}

// Guards against the same delay with readers that get an error at once.
#[test]
fn changes_are_in_force_in_time_while_the_platform_refuses_most_nodes() {
    play(SMALL_FLEET, Trouble::MostRefused, 10);
    play(LARGE_FLEET, Trouble::MostRefused, 1);
}

// Guards against a fixed set of nodes that may replace the readers.
#[test]
fn changes_are_in_force_in_time_while_one_node_reaches_the_platform() {
    play(SMALL_FLEET, Trouble::AllSilentButOne, 10);
    play(LARGE_FLEET, Trouble::AllSilentButOne, 1);
}

// Guards against readers that are replaced only long after the platform stopped to answer them.
#[test]
fn changes_are_in_force_in_time_while_all_readers_lose_the_platform() {
    play(SMALL_FLEET, Trouble::ReadersSilent, 10);
    play(LARGE_FLEET, Trouble::ReadersSilent, 1);
}

// Guards against links to paused readers that count as sources of changes until they time out.
#[test]
fn changes_are_in_force_in_time_while_all_readers_are_paused() {
    play(SMALL_FLEET, Trouble::ReadersPaused, 10);
    play(LARGE_FLEET, Trouble::ReadersPaused, 1);
}

// Guards against nodes that wait for readers whose processes just started.
#[test]
fn changes_are_in_force_in_time_after_all_readers_restart() {
    play(SMALL_FLEET, Trouble::ReadersRestarted, 10);
    play(LARGE_FLEET, Trouble::ReadersRestarted, 1);
}

// Guards against fresh processes that wait for the answer to a reader that gets none.
#[test]
fn changes_are_in_force_in_time_after_all_processes_restart() {
    play(SMALL_FLEET, Trouble::AllRestarted, 10);
    play(LARGE_FLEET, Trouble::AllRestarted, 1);
}

// Guards against a failure domain that waits for readers elsewhere that it can't reach.
#[test]
fn changes_are_in_force_in_time_in_an_isolated_domain_without_readers() {
    play(SMALL_FLEET, Trouble::DomainIsolated, 10);
    play(LARGE_FLEET, Trouble::DomainIsolated, 1);
}

// Guards against a fleet of which all nodes begin to read when a few readers get no answer.
#[test]
fn few_nodes_replace_all_readers_that_lose_the_platform() {
    for read_ms in [SILENT_READ_MS, REFUSED_READ_MS] {
        let mut play = Play::new(1, LARGE_FLEET);
        play.forget_readers();
        let readers = play.readers();
        play.cut_off(readers, read_ms);
        play.run_for(TROUBLE_MS);
        let count = play.readers_so_far();
        let limit = LARGE_FLEET.len() * MAX_DOMAIN_READERS;
        assert!(count <= limit, "{count} readers");
    }
}

// Guards against calls that grow with the fleet while the platform answers nobody, and when it
// answers again.
#[test]
fn calls_stay_bounded_while_the_platform_answers_nobody() {
    for read_ms in [SILENT_READ_MS, REFUSED_READ_MS] {
        let mut play = Play::new(2, LARGE_FLEET);
        play.forget_readers();
        let begin = play.sim.now_ms() / 1_000 + 1;
        play.cut_off_all(read_ms);
        play.run_for(TROUBLE_MS);
        play.end_trouble();
        play.run_for(6_000);
        let end = play.sim.now_ms() / 1_000;
        let limit = LARGE_FLEET.len() * MAX_DOMAIN_READERS;
        for second in begin..end {
            let platform = &play.sim.platform;
            let reads = platform.reads.get(&second).copied().unwrap_or(0);
            let probes = platform.probes.get(&second).copied().unwrap_or(0);
            assert!(
                reads <= 2 * limit as u64,
                "{reads} reads in second {second}"
            );
            assert!(probes <= play.sim.nodes.len() as u64, "{probes} probes");
        }
        assert!(play.readers_so_far() <= limit, "{}", play.readers_so_far());
        assert_eq!(play.late.first(), None);
    }
}
