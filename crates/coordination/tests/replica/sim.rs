//! Replicas in memory, over links that lose, delay and cut messages, from one seed.

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
    event::{End, Event, Kind},
    parts::{Node, Platform},
};

/// Time for which a dial into a partition hangs.
const DIAL_TIMEOUT_MS: u64 = 1_000;
/// Time between two reads of a node that watches the platform.
const POLL_MS: u64 = 100;

/// A fleet of replicas, a platform and the links between them.
pub(crate) struct Sim {
    pub(crate) rng: SmallRng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) platform: Platform,
    /// Part of the messages that is lost.
    pub(crate) loss: f64,
    pub(crate) policy: ReplicaPolicy,
    /// Nodes that all others know from their settings.
    pub(crate) seeds: Vec<usize>,
    /// Failure domains whose messages to others do not arrive.
    pub(crate) cuts: BTreeSet<(DomainName, DomainName)>,
    /// Note texts that were delivered over links.
    pub(crate) notes_sent: usize,
    base: Instant,
    now_ms: u64,
    queue: BinaryHeap<Event>,
    order: u64,
    links: BTreeMap<LinkId, End>,
    next_link: u64,
    starts: u64,
}

impl Sim {
    /// Returns a fleet of which no node runs yet.
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
            loss: 0.0,
            policy: ReplicaPolicy::default(),
            seeds: Vec::new(),
            cuts: BTreeSet::new(),
            notes_sent: 0,
            base: Instant::now(),
            now_ms: 0,
            queue: BinaryHeap::new(),
            order: 0,
            links: BTreeMap::new(),
            next_link: 0,
            starts: 0,
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
        self.starts += 1;
        let start = self.starts;
        let now = self.now();
        let seeds = self.seeds.iter().filter(|seed| **seed != number);
        let seeds = seeds.map(|seed| self.nodes[*seed].entry.address).collect();
        let node = &mut self.nodes[number];
        let me = Identity {
            vm: node.entry.vm.clone(),
            domain: node.entry.domain.clone(),
            incarnation: Incarnation(start * 1_000_000),
            seeds,
        };
        node.replica = Some(Replica::new(me, self.policy, now, &mut self.rng));
        node.start = start;
        node.mode = PlatformMode::Off;
        node.rule = None;
        node.in_force.clear();
        let first = self.rng.random_range(0..100);
        self.push(first, Kind::Tick(number, start));
        self.push(first, Kind::Poll(number, start));
    }

    pub(crate) fn run_for(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.queue.peek().is_some_and(|event| event.at <= end) {
            let Some(event) = self.queue.pop() else { break };
            self.now_ms = self.now_ms.max(event.at);
            self.handle(event.kind);
        }
        self.now_ms = end;
    }

    /// Runs until a condition holds and returns how long it took.
    pub(crate) fn run_until(&mut self, limit_ms: u64, check: impl Fn(&Self) -> bool) -> u64 {
        let begin = self.now_ms;
        while !check(self) {
            let elapsed = self.now_ms - begin;
            assert!(
                elapsed < limit_ms,
                "not within {limit_ms} ms: {}",
                self.describe()
            );
            self.run_for(10);
        }
        self.now_ms - begin
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn push(&mut self, delay_ms: u64, kind: Kind) {
        self.order += 1;
        self.queue.push(Event {
            at: self.now_ms + delay_ms,
            order: self.order,
            kind,
        });
    }

    fn handle(&mut self, kind: Kind) {
        let paused_until = self.node_of(&kind).map(|n| self.nodes[n].paused_until);
        if let Some(until) = paused_until.filter(|until| *until > self.now_ms) {
            self.push(until - self.now_ms, kind);
            return;
        }
        match kind {
            Kind::Accepted(id) => self.accepted(id),
            Kind::Tick(number, start) => self.tick(number, start),
            Kind::Poll(number, start) => self.poll(number, start),
            Kind::Deliver(id, message) => self.deliver(id, message),
            Kind::Down(id) => self.down(id),
            Kind::Dialed(number, start, address) => self.dialed(number, start, address),
            Kind::DialTimeout(number, start, address) => {
                if self.is_process(number, start) {
                    self.dial_failed(number, address);
                }
            }
        }
    }

    /// Returns the node that handles an event.
    fn node_of(&self, kind: &Kind) -> Option<usize> {
        match kind {
            Kind::Tick(number, _)
            | Kind::Poll(number, _)
            | Kind::Dialed(number, _, _)
            | Kind::DialTimeout(number, _, _) => Some(*number),
            Kind::Deliver(id, _) | Kind::Down(id) | Kind::Accepted(id) => {
                self.links.get(id).map(|end| end.node)
            }
        }
    }

    fn is_process(&self, number: usize, start: u64) -> bool {
        let node = &self.nodes[number];
        node.replica.is_some() && node.start == start
    }

    fn tick(&mut self, number: usize, start: u64) {
        if !self.is_process(number, start) {
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
        self.act(number);
        self.push(wait, Kind::Tick(number, start));
    }

    fn poll(&mut self, number: usize, start: u64) {
        if !self.is_process(number, start) {
            return;
        }
        self.push(POLL_MS, Kind::Poll(number, start));
        let node = &self.nodes[number];
        let is_reachable = !self.platform.is_out && !self.platform.cut.contains(&node.entry.domain);
        if node.mode == PlatformMode::Off {
            return;
        }
        *self.platform.reads.entry(self.now_ms / 1000).or_default() += 1;
        if !is_reachable {
            return;
        }
        let now = self.now();
        let mode = node.mode;
        let platform = &self.platform;
        let Some(replica) = &mut self.nodes[number].replica else {
            return;
        };
        replica.apply_platform_value(PlatformValue::Vms(platform.vms.clone()), now);
        if mode == PlatformMode::Watch {
            replica.apply_platform_value(PlatformValue::Drains(platform.drains.clone()), now);
            let have = usize::try_from(replica.config().sequence.0).unwrap();
            let shown = platform.stale.unwrap_or(platform.notes.len());
            let notes = platform.notes.iter().enumerate().take(shown).skip(have);
            // Updates arrive crossed.
            for (index, text) in notes.collect::<Vec<_>>().into_iter().rev() {
                let sequence = Sequence(index as u64 + 1);
                replica.apply_platform_value(PlatformValue::Note(sequence, Arc::clone(text)), now);
            }
            replica.record_platform_answer(now);
        }
        self.act(number);
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
        self.act(number);
    }

    fn down(&mut self, id: LinkId) {
        let Some(end) = self.links.remove(&id) else {
            return;
        };
        let now = self.now();
        if let Some(replica) = &mut self.nodes[end.node].replica {
            replica.handle_link_down(id, now, &mut self.rng);
        }
        self.act(end.node);
    }

    fn dialed(&mut self, number: usize, start: u64, address: SocketAddr) {
        if !self.is_process(number, start) {
            return;
        }
        let mut nodes = self.nodes.iter();
        let target = nodes.position(|node| node.entry.address == address);
        let target = target.filter(|target| self.nodes[*target].replica.is_some());
        let Some(target) = target else {
            self.dial_failed(number, address);
            return;
        };
        if self.is_cut(number, target) || self.is_cut(target, number) {
            let kind = Kind::DialTimeout(number, start, address);
            self.push(DIAL_TIMEOUT_MS, kind);
            return;
        }
        let (near, far) = (LinkId(self.next_link), LinkId(self.next_link + 1));
        self.next_link += 2;
        for (id, node, other) in [(near, number, far), (far, target, near)] {
            let start = self.nodes[node].start;
            self.links.insert(id, End { node, start, other });
        }
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_link_up(near, Some(address), now);
        }
        self.act(number);
        self.push(1, Kind::Accepted(far));
    }

    fn accepted(&mut self, id: LinkId) {
        let Some(end) = self.links.get(&id) else {
            return;
        };
        let number = end.node;
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_link_up(id, None, now);
        }
        self.act(number);
    }

    fn dial_failed(&mut self, number: usize, address: SocketAddr) {
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.handle_dial_failure(address, now, &mut self.rng);
        }
        self.act(number);
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let from = self.nodes[from].entry.domain.clone();
        let to = self.nodes[to].entry.domain.clone();
        self.cuts.contains(&(from, to))
    }

    fn act(&mut self, number: usize) {
        let Some(replica) = &mut self.nodes[number].replica else {
            return;
        };
        for output in replica.take_outputs() {
            match output {
                Output::Send(id, message) => self.transmit(id, message),
                Output::Dial(address) => {
                    let start = self.nodes[number].start;
                    let delay = self.rng.random_range(1..4);
                    self.push(delay, Kind::Dialed(number, start, address));
                }
                Output::Close(id) => {
                    if let Some(end) = self.links.remove(&id) {
                        self.push(2, Kind::Down(end.other));
                    }
                }
                Output::Event(event) => self.note(number, event),
            }
        }
        self.check(number);
    }

    fn transmit(&mut self, id: LinkId, message: Message) {
        let Some(end) = self.links.get(&id) else {
            return;
        };
        let Some(far) = self.links.get(&end.other) else {
            return;
        };
        assert_eq!(self.nodes[end.node].start, end.start);
        let other = end.other;
        if self.is_cut(end.node, far.node) || self.rng.random_bool(self.loss) {
            return;
        }
        let is_late = self.loss > 0.0 && self.rng.random_bool(0.05);
        let late = if is_late { 200 } else { 0 };
        let delay = self.rng.random_range(2..5) + late;
        self.push(delay, Kind::Deliver(other, message));
    }

    fn note(&mut self, number: usize, event: ReplicaEvent) {
        let node = &mut self.nodes[number];
        match event {
            ReplicaEvent::PlatformMode(mode) => node.mode = mode,
            ReplicaEvent::SplitVerdict(vm) => panic!("{vm} has another configuration"),
            ReplicaEvent::Joined(rule) => node.rule = Some(rule),
            ReplicaEvent::Fold(FoldEvent::Refused(note, _)) => {
                node.refused.push(note);
                node.in_force.insert(note, self.now_ms);
            }
            ReplicaEvent::Fold(FoldEvent::Accepted(note) | FoldEvent::Installed(note)) => {
                node.in_force.insert(note, self.now_ms);
            }
            _ => {}
        }
    }

    /// Checks that no VM ever serves an older configuration than it served before.
    fn check(&mut self, number: usize) {
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
