//! Deterministic simulation of replicas over links that drop, delay and block messages.

mod operations;
mod queries;

use std::{
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use wagtaillever_coordination::{
    DomainName, FoldEvent, Identity, Incarnation, LinkId, Message, Output, PlatformMode,
    PlatformValue, Replica, ReplicaEvent, ReplicaPolicy, Sequence, VmEntry, VmList,
};

use crate::{
    event::{Event, EventKind, LinkEnd},
    model::{Node, Platform},
};

/// Time after which a dial to a blocked failure domain fails.
const DIAL_TIMEOUT_MS: u64 = 1_000;
/// Time between two reads of the platform by one node.
const POLL_MS: u64 = 100;

/// Simulated fleet of replicas, its links and the platform.
pub(crate) struct Sim {
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    /// Fraction of messages that is lost.
    pub(crate) loss_rate: f64,
    pub(crate) policy: ReplicaPolicy,
    /// Nodes that are configured as seeds on all others.
    pub(crate) seeds: Vec<usize>,
    /// Pairs of failure domains (from, to) between which messages are dropped.
    pub(crate) blocked: BTreeSet<(DomainName, DomainName)>,
    /// Time in milliseconds for which a read of the platform waits for a change. Without it, reads
    /// answer at once.
    pub(crate) watch_wait: Option<u64>,
    /// Number of notes delivered over links.
    pub(crate) notes_sent: usize,
    epoch: Instant,
    now_ms: u64,
    queue: BinaryHeap<Event>,
    event_count: u64,
    links: BTreeMap<LinkId, LinkEnd>,
    next_link: u64,
    last_process: u64,
}

impl Sim {
    /// Returns a fleet without running nodes.
    pub(crate) fn new(seed: u64, domains: &[(&str, usize)]) -> Self {
        let mut vms = Vec::new();
        for (domain, count) in domains {
            for number in 0..*count {
                let port = u16::try_from(vms.len() + 1).unwrap();
                vms.push(Arc::new(VmEntry {
                    vm: format!("{domain}-{number}").into(),
                    domain: (*domain).into(),
                    region: "r".into(),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    state: Default::default(),
                    upstreams: Vec::new(),
                }));
            }
        }
        let nodes = vms.iter().map(Node::new).collect();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            nodes,
            platform: Platform {
                vms: VmList { number: 1, vms },
                ..Platform::default()
            },
            loss_rate: 0.0,
            policy: ReplicaPolicy::default(),
            seeds: Vec::new(),
            blocked: BTreeSet::new(),
            watch_wait: None,
            notes_sent: 0,
            epoch: Instant::now(),
            now_ms: 0,
            queue: BinaryHeap::new(),
            event_count: 0,
            links: BTreeMap::new(),
            next_link: 0,
            last_process: 0,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub(crate) fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub(crate) fn start(&mut self, number: usize) {
        self.last_process += 1;
        let process = self.last_process;
        let now = self.now();
        let seeds = self.seeds.iter().filter(|seed| **seed != number);
        let seeds = seeds.map(|seed| self.nodes[*seed].entry.address).collect();
        let node = &mut self.nodes[number];
        let me = Identity {
            vm: node.entry.vm.clone(),
            domain: node.entry.domain.clone(),
            incarnation: Incarnation(process * 1_000_000),
            seeds,
        };
        node.replica = Some(Replica::new(me, self.policy, now, &mut self.rng));
        node.process = process;
        node.mode = PlatformMode::Off;
        node.has_watched = false;
        node.answered_at = None;
        node.retry_at = 0;
        node.rule = None;
        node.in_force.clear();
        let first = self.rng.random_range(0..100);
        self.schedule(first, EventKind::Tick(number, process));
        self.schedule(first, EventKind::Poll(number, process));
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.queue.peek().is_some_and(|event| event.at <= end) {
            let Some(event) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(event.at);
            self.handle_event(event.kind);
        }
        self.now_ms = end;
    }

    /// Runs until a condition holds and returns the elapsed time in milliseconds.
    pub(crate) fn run_until(&mut self, limit_ms: u64, check: impl Fn(&Self) -> bool) -> u64 {
        let begin = self.now_ms;
        while !check(self) {
            let elapsed = self.now_ms - begin;
            assert!(
                elapsed < limit_ms,
                "condition not met within {limit_ms} ms: {}",
                self.describe()
            );
            self.run_for(10);
        }
        self.now_ms - begin
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms)
    }

    fn schedule(&mut self, delay_ms: u64, kind: EventKind) {
        self.event_count += 1;
        self.queue.push(Event {
            at: self.now_ms + delay_ms,
            order: self.event_count,
            kind,
        });
    }

    fn handle_event(&mut self, kind: EventKind) {
        let paused_until = self.node_of(&kind).map(|n| self.nodes[n].paused_until);
        if let Some(until) = paused_until.filter(|until| *until > self.now_ms) {
            self.schedule(until - self.now_ms, kind);
            return;
        }
        match kind {
            EventKind::Accepted(id) => self.accept_link(id),
            EventKind::Tick(node, process) => self.tick(node, process),
            EventKind::Poll(node, process) => self.poll_platform(node, process),
            EventKind::Deliver(id, message) => self.deliver(id, message),
            EventKind::LinkDown(id) => self.close_link(id),
            EventKind::Dialed(node, process, address) => self.finish_dial(node, process, address),
            EventKind::DialTimeout(node, process, address) => {
                if self.is_current_process(node, process) {
                    self.fail_dial(node, address);
                }
            }
        }
    }

    /// Returns the node that handles an event.
    fn node_of(&self, kind: &EventKind) -> Option<usize> {
        match kind {
            EventKind::Tick(number, _)
            | EventKind::Poll(number, _)
            | EventKind::Dialed(number, _, _)
            | EventKind::DialTimeout(number, _, _) => Some(*number),
            EventKind::Deliver(id, _) | EventKind::LinkDown(id) | EventKind::Accepted(id) => {
                self.links.get(id).map(|end| end.node)
            }
        }
    }

    fn is_current_process(&self, number: usize, process: u64) -> bool {
        let node = &self.nodes[number];
        node.replica.is_some() && node.process == process
    }

    fn tick(&mut self, number: usize, process: u64) {
        if !self.is_current_process(number, process) {
            return;
        }
        let now = self.now();
        let mut wait = 100;
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.tick(now, &mut self.rng);
            wait = u64::try_from(replica.next_tick_delay(now).as_millis())
                .unwrap()
                .max(5);
        }
        self.process_outputs(number);
        self.schedule(wait, EventKind::Tick(number, process));
    }

    fn poll_platform(&mut self, number: usize, process: u64) {
        if !self.is_current_process(number, process) {
            return;
        }
        self.schedule(POLL_MS, EventKind::Poll(number, process));
        let failed_read_ms = self.platform.unreachable.get(&number).copied();
        let node = &self.nodes[number];
        let is_reachable = !self.platform.is_down
            && !self.platform.blocked.contains(&node.entry.domain)
            && failed_read_ms.is_none();
        let mode = node.mode;
        if mode == PlatformMode::Off || self.now_ms < node.retry_at {
            return;
        }
        if mode == PlatformMode::Probe {
            self.probe_platform(number, is_reachable);
            return;
        }
        if is_reachable && self.is_watch_pending(number) {
            return;
        }
        *self.platform.reads.entry(self.now_ms / 1000).or_default() += 1;
        if !is_reachable {
            self.nodes[number].retry_at = self.now_ms + failed_read_ms.unwrap_or(0);
            return;
        }
        self.nodes[number].answered_at = Some(self.now_ms);
        let now = self.now();
        let platform = &self.platform;
        let Some(replica) = &mut self.nodes[number].replica else {
            return;
        };
        replica.apply_platform_value(PlatformValue::Vms(platform.vms.clone()), now);
        if mode == PlatformMode::Watch {
            replica.apply_platform_value(PlatformValue::Drains(platform.drains.clone()), now);
            let have = usize::try_from(replica.config().sequence.0).unwrap();
            let visible = platform.stale_notes.unwrap_or(platform.notes.len());
            let notes = platform.notes.iter().enumerate().take(visible).skip(have);
            // Notes are passed in reverse order to test out-of-order delivery.
            for (index, text) in notes.collect::<Vec<_>>().into_iter().rev() {
                let sequence = Sequence(index as u64 + 1);
                replica.apply_platform_value(PlatformValue::Note(sequence, Arc::clone(text)), now);
            }
            replica.record_platform_answer(now);
        }
        self.process_outputs(number);
    }

    fn probe_platform(&mut self, number: usize, is_reachable: bool) {
        *self.platform.probes.entry(self.now_ms / 1000).or_default() += 1;
        let interval = self.policy.timing.probe_interval().as_millis();
        self.nodes[number].retry_at = self.now_ms + u64::try_from(interval).unwrap();
        let now = self.now();
        if let Some(replica) = self.nodes[number].replica.as_mut().filter(|_| is_reachable) {
            replica.record_platform_probe(now);
        }
        self.process_outputs(number);
    }

    /// Returns whether a watch of the platform by a node waits because nothing has changed.
    fn is_watch_pending(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        let (Some(wait), Some(answered_at)) = (self.watch_wait, node.answered_at) else {
            return false;
        };
        let Some(replica) = &node.replica else {
            return false;
        };
        let is_current = replica.config().sequence.0 >= self.platform.notes.len() as u64
            && replica.vms().number >= self.platform.vms.number
            && self.platform.drains.iter().all(|order| {
                let mut known = replica.drains().iter();
                known.any(|known| known.number >= order.number)
            });
        is_current && self.now_ms < answered_at + wait
    }

    fn deliver(&mut self, id: LinkId, message: Message) {
        let Some(end) = self.links.get(&id) else {
            return;
        };
        let number = end.node;
        if let Message::Notes(notes) = &message {
            self.notes_sent += notes.len();
        }
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.receive(id, message, now, &mut self.rng);
        }
        self.process_outputs(number);
    }

    fn close_link(&mut self, id: LinkId) {
        let Some(end) = self.links.remove(&id) else {
            return;
        };
        let now = self.now();
        if let Some(replica) = &mut self.nodes[end.node].replica {
            replica.handle_link_down(id, now, &mut self.rng);
        }
        self.process_outputs(end.node);
    }

    fn finish_dial(&mut self, number: usize, process: u64, address: SocketAddr) {
        if !self.is_current_process(number, process) {
            return;
        }
        let mut nodes = self.nodes.iter();
        let target = nodes.position(|node| node.entry.address == address);
        let target = target.filter(|target| self.nodes[*target].replica.is_some());
        let Some(target) = target else {
            self.fail_dial(number, address);
            return;
        };
        if self.is_blocked(number, target) || self.is_blocked(target, number) {
            let kind = EventKind::DialTimeout(number, process, address);
            self.schedule(DIAL_TIMEOUT_MS, kind);
            return;
        }
        let (near, far) = (LinkId(self.next_link), LinkId(self.next_link + 1));
        self.next_link += 2;
        for (id, node, other) in [(near, number, far), (far, target, near)] {
            let process = self.nodes[node].process;
            self.links.insert(
                id,
                LinkEnd {
                    node,
                    process,
                    other,
                },
            );
        }
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_link_up(near, Some(address), now);
        }
        self.process_outputs(number);
        self.schedule(1, EventKind::Accepted(far));
    }

    fn accept_link(&mut self, id: LinkId) {
        let Some(end) = self.links.get(&id) else {
            return;
        };
        let number = end.node;
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_link_up(id, None, now);
        }
        self.process_outputs(number);
    }

    fn fail_dial(&mut self, number: usize, address: SocketAddr) {
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_dial_failure(address, now, &mut self.rng);
        }
        self.process_outputs(number);
    }

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        let from = self.nodes[from].entry.domain.clone();
        let to = self.nodes[to].entry.domain.clone();
        self.blocked.contains(&(from, to))
    }

    fn process_outputs(&mut self, number: usize) {
        let Some(replica) = &mut self.nodes[number].replica else {
            return;
        };
        for output in replica.take_outputs() {
            match output {
                Output::Send(id, message) => self.transmit(id, message),
                Output::Dial(address) => {
                    let process = self.nodes[number].process;
                    let delay = self.rng.random_range(1..4);
                    self.schedule(delay, EventKind::Dialed(number, process, address));
                }
                Output::Close(id) => {
                    if let Some(end) = self.links.remove(&id) {
                        self.schedule(2, EventKind::LinkDown(end.other));
                    }
                }
                Output::Event(event) => self.record_event(number, event),
            }
        }
        self.assert_no_rollback(number);
    }

    fn transmit(&mut self, id: LinkId, message: Message) {
        let Some(end) = self.links.get(&id) else {
            return;
        };
        let Some(far) = self.links.get(&end.other) else {
            return;
        };
        assert_eq!(self.nodes[end.node].process, end.process);
        let other = end.other;
        if self.is_blocked(end.node, far.node) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let is_delayed = self.loss_rate > 0.0 && self.rng.random_bool(0.05);
        let extra_ms = if is_delayed { 200 } else { 0 };
        let delay = self.rng.random_range(2..5) + extra_ms;
        self.schedule(delay, EventKind::Deliver(other, message));
    }

    fn record_event(&mut self, number: usize, event: ReplicaEvent) {
        let node = &mut self.nodes[number];
        match event {
            ReplicaEvent::PlatformMode(mode) => {
                if node.mode == PlatformMode::Probe {
                    node.retry_at = self.now_ms;
                }
                node.mode = mode;
                node.has_watched |= mode == PlatformMode::Watch;
            }
            ReplicaEvent::SplitVerdict(vm) => panic!("{vm} has a different configuration"),
            ReplicaEvent::Joined(rule) => node.rule = Some(rule),
            ReplicaEvent::Fold(FoldEvent::Refused(note, _), _) => {
                node.refused.push(note);
                node.in_force.insert(note, self.now_ms);
            }
            ReplicaEvent::Fold(FoldEvent::Accepted(note) | FoldEvent::Installed(note), _) => {
                node.in_force.insert(note, self.now_ms);
            }
            _ => {}
        }
    }

    /// Asserts that no VM serves an older configuration than it served before.
    fn assert_no_rollback(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(replica) = &node.replica else { return };
        if !replica.is_serving() {
            return;
        }
        let sequence = replica.config().sequence;
        assert!(
            sequence >= node.highest_served,
            "{} went back from {} to {sequence}",
            node.entry.vm,
            node.highest_served
        );
        node.highest_served = sequence;
    }
}
