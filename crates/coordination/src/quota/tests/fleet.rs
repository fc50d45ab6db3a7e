//! Simulated nodes that exchange quota messages, with one fault in each run.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    organisation::{Organisation, QuotaRate},
    quota::{
        QuotaAnswer, QuotaBounds, QuotaClient, QuotaLedger, QuotaReply, QuotaRequest, QuotaTable,
        ShardOwners, quota_shard,
    },
    sequence::Sequence,
    vm::{VmEntry, VmList, VmState},
};

const STEP_MS: u64 = 10;
const WAIT_MS: u64 = 150;
/// Time at which demand begins, when the first owners' buckets are no longer empty.
const BEGIN_MS: u64 = 2_000;
const FAULT_MS: std::ops::Range<u64> = 8_000..30_000;
/// Times after the begin of a fault at which the store no longer lists a VM, and at which it is gone
/// from the list.
const UNLISTED_MS: u64 = 3_000;
const GONE_MS: u64 = 18_000;
const CONFIG_APPLY_MS: u64 = 2_500;
const DOMAINS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub(super) enum Spread {
    One,
    Even,
    Moving { period_ms: u64 },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) spread: Spread,
    /// Demand relative to the rate.
    pub(super) factor: f64,
    /// Whether demand pauses for 3 of 7 s, so that the burst is full when it returns.
    pub(super) pauses: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Fault {
    None,
    Partition { domain: usize, with_store: bool },
    OwnerCutOff,
    RepliesLost { domain: usize },
    OwnerKilled { is_replaced: bool },
    OwnerStalls { ms: u64 },
    Stall { node: usize, ms: u64 },
    Leave { node: usize },
    Start,
    Loss { share: f64 },
    Delay { ms: u64 },
    LowerLimit { part: f64 },
}

#[derive(Debug, Default)]
pub(super) struct Outcome {
    pub(super) served: u32,
    pub(super) refused: u32,
    /// Largest number of requests in a window beyond the allowed ones; negative if there are none.
    pub(super) excess: f64,
    pub(super) excess_at_ms: u64,
}

impl Outcome {
    pub(super) fn refused_share(&self) -> f64 {
        f64::from(self.refused) / f64::from((self.served + self.refused).max(1))
    }
}

struct Node {
    client: QuotaClient,
    ledger: QuotaLedger,
    waiting: VecDeque<u64>,
    is_up: bool,
    stalled_until: u64,
}

enum Packet {
    Request(usize, QuotaRequest),
    Reply(u8, QuotaReply),
}

pub(super) struct Fleet {
    rng: SmallRng,
    base: Instant,
    limit: QuotaRate,
    demand: Demand,
    begin_ms: u64,
    fault: Fault,
    nodes: Vec<Node>,
    first_owner: usize,
    /// Packets with the time and the node of arrival.
    packets: Vec<(u64, usize, Packet)>,
    served: Vec<u32>,
    refused: u32,
}

pub(super) fn table(sequence: u64, limit: QuotaRate) -> QuotaTable {
    let organisation = Organisation {
        name: "o".into(),
        digests: Vec::new(),
        priority: None,
        quota: Some(limit),
    };
    QuotaTable::new(Sequence(sequence), [&organisation])
}

impl Fleet {
    pub(super) fn new(
        seed: u64,
        count: usize,
        limit: QuotaRate,
        demand: Demand,
        fault: Fault,
    ) -> Self {
        let base = Instant::now();
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(seed),
            base,
            limit,
            demand,
            begin_ms: BEGIN_MS,
            fault,
            nodes: Vec::new(),
            first_owner: 0,
            packets: Vec::new(),
            served: Vec::new(),
            refused: 0,
        };
        fleet.nodes = (0..count).map(|index| fleet.node(index, 0)).collect();
        if fault == Fault::Start {
            fleet.nodes[0].is_up = false;
        }
        let owners = ShardOwners::new(&fleet.list(|_| Some(VmState::Live)));
        let owner = owners.owner(quota_shard(&"o".into())).unwrap();
        fleet.first_owner = (0..count)
            .find(|index| name(*index) == owner.as_str())
            .unwrap();
        if fault == Fault::OwnerCutOff {
            fleet.fault = Fault::Partition {
                domain: fleet.first_owner % DOMAINS,
                with_store: false,
            };
        }
        fleet.follow_list(0);
        fleet
    }

    /// Begins demand at `ms` instead of [`BEGIN_MS`].
    pub(super) fn demand_from(mut self, ms: u64) -> Self {
        self.begin_ms = ms;
        self
    }

    pub(super) fn run(mut self, until_ms: u64) -> Outcome {
        for ms in (0..until_ms).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.served.push(0);
            self.inject(ms);
            self.follow_list(ms);
            self.deliver(ms);
            for index in 0..self.nodes.len() {
                if self.runs(index, ms) {
                    self.serve(index, ms);
                }
            }
        }
        self.outcome()
    }

    fn at(&self, ms: u64) -> Instant {
        self.base + Duration::from_millis(ms)
    }

    fn node(&self, index: usize, ms: u64) -> Node {
        let bounds = QuotaBounds::default();
        let mut node = Node {
            client: QuotaClient::new(name(index).as_str().into(), bounds, ms * 1_000),
            ledger: QuotaLedger::new(bounds, self.at(ms)),
            waiting: VecDeque::new(),
            is_up: true,
            stalled_until: 0,
        };
        node.client.set_table(table(1, self.limit));
        node.ledger.set_table(table(1, self.limit));
        node
    }

    fn runs(&self, index: usize, ms: u64) -> bool {
        self.nodes[index].is_up && self.nodes[index].stalled_until <= ms
    }

    /// Begins the fault, and ends it.
    fn inject(&mut self, ms: u64) {
        let owner = self.first_owner;
        let count = self.nodes.len();
        match self.fault {
            Fault::OwnerKilled { .. } if ms == FAULT_MS.start => self.nodes[owner].is_up = false,
            Fault::OwnerKilled { is_replaced: true } if ms == FAULT_MS.start + 500 => {
                self.nodes[owner] = self.node(owner, ms);
            }
            Fault::OwnerStalls { ms: span } if ms == FAULT_MS.start => {
                self.nodes[owner].stalled_until = ms + span;
            }
            Fault::Stall { node, ms: span } if ms == FAULT_MS.start => {
                self.nodes[node % count].stalled_until = ms + span;
            }
            Fault::Leave { node } if ms == FAULT_MS.start => {
                let now = self.at(ms);
                let requests = self.nodes[node % count].client.release(now);
                self.send_requests(node % count, requests, ms);
                self.nodes[node % count].is_up = false;
            }
            Fault::Start if ms == FAULT_MS.start => self.nodes[0] = self.node(0, ms),
            Fault::LowerLimit { part } => {
                // Nodes apply a configuration within the bound, one after the other.
                for index in 0..count {
                    let spread = CONFIG_APPLY_MS * index as u64 / count as u64;
                    if ms == (FAULT_MS.start + spread) / STEP_MS * STEP_MS {
                        let limit = lowered(self.limit, part);
                        self.nodes[index].client.set_table(table(2, limit));
                        self.nodes[index].ledger.set_table(table(2, limit));
                    }
                }
            }
            _ => {}
        }
    }

    fn list(&self, state: impl Fn(usize) -> Option<VmState>) -> VmList {
        let entry = |index| {
            Some(VmEntry {
                vm: name(index).as_str().into(),
                domain: "d".into(),
                region: "r".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                state: state(index)?,
                upstreams: Vec::new(),
            })
        };
        let vms = (0..self.nodes.len()).filter_map(entry).map(Into::into);
        VmList {
            number: 1,
            vms: vms.collect(),
        }
    }

    /// Gives nodes the list that the store has; those without the store keep theirs.
    fn follow_list(&mut self, ms: u64) {
        if !ms.is_multiple_of(500) {
            return;
        }
        let state = |index: usize| {
            let span = self.absence(index, ms)?;
            match span {
                _ if span >= GONE_MS => None,
                _ if span >= UNLISTED_MS => Some(VmState::Unlisted),
                _ => Some(VmState::Live),
            }
        };
        let owners = ShardOwners::new(&self.list(state));
        let now = self.at(ms);
        for index in 0..self.nodes.len() {
            if self.has_store(index, ms) && self.runs(index, ms) {
                let node = &mut self.nodes[index];
                node.client.set_owners(owners.clone());
                node.ledger
                    .set_owners(&owners, &name(index).as_str().into(), now);
                node.ledger.record_platform(now);
            }
        }
    }

    /// Returns how long a VM has been without contact to the store; `None` if it never had any.
    fn absence(&self, index: usize, ms: u64) -> Option<u64> {
        if self.fault == Fault::Start && index == 0 && ms < FAULT_MS.start {
            return None;
        }
        let is_absent = !self.nodes[index].is_up || !self.has_store(index, ms);
        Some(if is_absent {
            ms.saturating_sub(FAULT_MS.start)
        } else {
            0
        })
    }

    fn has_store(&self, index: usize, ms: u64) -> bool {
        match self.fault {
            Fault::Partition { domain, with_store } if FAULT_MS.contains(&ms) => {
                with_store || index % DOMAINS != domain
            }
            _ => true,
        }
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet, ms: u64) {
        let is_lost = match self.fault {
            _ if !FAULT_MS.contains(&ms) => false,
            Fault::Partition { domain, .. } => {
                (from % DOMAINS == domain) != (to % DOMAINS == domain)
            }
            Fault::RepliesLost { domain } => {
                matches!(packet, Packet::Reply(..)) && to % DOMAINS == domain
            }
            Fault::Loss { share } => self.rng.random_bool(share),
            _ => false,
        };
        let slow = match self.fault {
            Fault::Delay { ms: span } if FAULT_MS.contains(&ms) => self.rng.random_range(0..span),
            _ => 0,
        };
        if !is_lost {
            let delay = slow + self.rng.random_range(1..STEP_MS);
            self.packets.push((ms + delay, to, packet));
        }
    }

    fn send_requests(&mut self, index: usize, requests: Vec<QuotaRequest>, ms: u64) {
        for request in requests {
            let owner = self.nodes[index]
                .client
                .owner(request.shard)
                .cloned()
                .unwrap();
            let owner = (0..self.nodes.len()).find(|other| name(*other) == owner.as_str());
            self.send(index, owner.unwrap(), Packet::Request(index, request), ms);
        }
    }

    fn deliver(&mut self, ms: u64) {
        let packets = std::mem::take(&mut self.packets);
        for (at, to, packet) in packets {
            if self.nodes[to].is_up && (at > ms || !self.runs(to, ms)) {
                // A stalled process reads what has arrived when it resumes.
                self.packets.push((at, to, packet));
                continue;
            }
            let now = self.at(ms);
            let node = &mut self.nodes[to];
            match packet {
                _ if !node.is_up => {}
                Packet::Request(from, request) => {
                    if let Some(reply) = node.ledger.handle(&request, now) {
                        self.send(to, from, Packet::Reply(request.shard, reply), ms);
                    }
                }
                Packet::Reply(shard, reply) => {
                    node.client.apply(shard, &reply, now);
                }
            }
        }
    }

    fn serve(&mut self, index: usize, ms: u64) {
        let now = self.at(ms);
        for _ in 0..self.waiting_and_new(index, ms) {
            let node = &mut self.nodes[index];
            let answer = node.client.acquire(&"o".into(), now);
            if answer == QuotaAnswer::Wait {
                node.client.begin_wait(&"o".into());
                node.waiting.push_back(ms);
            }
            self.record(answer);
        }
        let requests = self.nodes[index].client.due_requests(now);
        self.send_requests(index, requests, ms);
    }

    /// Decides again on waiting requests, and returns the number of new ones.
    fn waiting_and_new(&mut self, index: usize, ms: u64) -> u32 {
        let now = self.at(ms);
        for since in std::mem::take(&mut self.nodes[index].waiting) {
            let node = &mut self.nodes[index];
            let is_last = ms >= since + WAIT_MS;
            let answer = node.client.retry(&"o".into(), is_last, now);
            if answer == QuotaAnswer::Wait {
                node.waiting.push_back(since);
            } else {
                node.client.end_wait(&"o".into());
            }
            self.record(answer);
        }
        let count = self.nodes.len();
        let is_paused = self.demand.pauses && ms % 7_000 < 3_000;
        let share = match self.demand.spread {
            _ if is_paused || ms < self.begin_ms => 0.0,
            Spread::One => f64::from(index == 1),
            Spread::Even => 1.0 / count as f64,
            Spread::Moving { period_ms } => f64::from((ms / period_ms) as usize % count == index),
        };
        let expected = self.demand.factor * self.limit.per_second * share * STEP_MS as f64 / 1e3;
        let part = u32::from(self.rng.random_bool(expected.fract()));
        expected as u32 + part
    }

    fn record(&mut self, answer: QuotaAnswer) {
        match answer {
            QuotaAnswer::Granted => *self.served.last_mut().unwrap() += 1,
            QuotaAnswer::Wait => {}
            QuotaAnswer::Refused { .. } => self.refused += 1,
        }
    }

    fn outcome(&self) -> Outcome {
        let bounds = QuotaBounds::default();
        let window = usize::try_from(bounds.window.as_millis() as u64 / STEP_MS).unwrap();
        let mut outcome = Outcome {
            served: self.served.iter().sum(),
            refused: self.refused,
            excess: f64::NEG_INFINITY,
            excess_at_ms: 0,
        };
        let binding = FAULT_MS.start + CONFIG_APPLY_MS + bounds.window.as_millis() as u64;
        for (start, part) in self.served.windows(window).enumerate() {
            let start_ms = start as u64 * STEP_MS;
            let limit = match self.fault {
                Fault::LowerLimit { part } if start_ms >= binding => lowered(self.limit, part),
                _ => self.limit,
            };
            let excess = f64::from(part.iter().sum::<u32>()) - bounds.max_requests(limit);
            if excess > outcome.excess {
                outcome.excess = excess;
                outcome.excess_at_ms = start_ms;
            }
        }
        outcome
    }
}

fn name(index: usize) -> String {
    format!("vm-{index}")
}

fn lowered(limit: QuotaRate, part: f64) -> QuotaRate {
    QuotaRate {
        per_second: limit.per_second * part,
        burst: limit.burst * part,
    }
}
