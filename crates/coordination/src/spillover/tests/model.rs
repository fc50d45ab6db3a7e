//! Closed queueing model: clients that wait for an answer and think, nodes with one balancer each, and
//! upstreams with slots and a bounded queue.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet, VecDeque},
    f64::consts::TAU,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    Balancer, BalancerPolicy, Candidate, Constraints, Evidence, LeavingUpstreams, Quality,
    ReportedLoad, SpilloverSettings, Ticket, UpstreamName, config::Upstream,
};

/// Failure domains and the mean service times in milliseconds of their upstreams.
const DOMAINS: [(&str, &[f64]); 3] = [
    ("a", &[20.0, 20.0, 30.0, 40.0, 50.0]),
    ("b", &[30.0, 40.0, 50.0]),
    ("c", &[20.0, 30.0, 50.0, 50.0]),
];
/// One-way times in milliseconds between the domains.
const ONE_WAY_MS: [[f64; 3]; 3] = [[0.1, 0.5, 1.4], [0.5, 0.1, 0.9], [1.4, 0.9, 0.1]];
const NODES: usize = 20;
const SLOTS: u32 = 4;
const THINK_S: f64 = 0.5;
const TARGET: Duration = Duration::from_millis(150);
/// Waves of demand of +-55% with a period of 17 s.
const WAVE: f64 = 0.55;
const PERIOD_S: f64 = 17.0;
/// Calls that end before this time aren't counted.
const WARM_UP_S: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    Share,
    EachCall,
    Never,
    Nearest,
    Equal,
}

/// Load pattern: clients by domain, and what happens to the last domain after 8 s.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pattern {
    pub(super) clients: [usize; 3],
    pub(super) is_wave: bool,
    pub(super) is_lost: bool,
    pub(super) is_drained: bool,
    pub(super) report_delay_s: f64,
}

/// Shares of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Score {
    calls: f64,
    in_time: f64,
    crossed: f64,
    /// Calls sent to the last domain more than a second after it was lost or drained.
    pub(super) misdirected: u32,
}

impl Score {
    pub(super) fn in_time(&self) -> f64 {
        self.in_time / self.calls
    }

    pub(super) fn crossed(&self) -> f64 {
        self.crossed / self.calls
    }
}

const EVENT_S: f64 = 8.0;
const END_S: f64 = WARM_UP_S + PERIOD_S;

struct Call {
    client: usize,
    node: usize,
    begun: f64,
    arrived: f64,
    upstream: usize,
    ticket: Rc<Ticket>,
    tried: Vec<UpstreamName>,
}

enum Event {
    Begin(usize),
    Arrive(Call),
    Finish(Call),
    Reply(Call, Option<Evidence>),
    Report(usize, Rc<Ticket>, ReportedLoad, bool),
}

struct Queue {
    domain: usize,
    mean_s: f64,
    active: u32,
    waiting: VecDeque<Call>,
    quality: Quality,
}

pub(super) struct Model {
    rule: Rule,
    pattern: Pattern,
    rng: SmallRng,
    start: Instant,
    now: f64,
    events: BinaryHeap<(Reverse<u64>, usize)>,
    bodies: Vec<Option<Event>>,
    balancers: Vec<Balancer>,
    candidates: Vec<Candidate>,
    queues: Vec<Queue>,
    score: Score,
}

impl Model {
    pub(super) fn run(rule: Rule, pattern: Pattern, seed: u64) -> Score {
        let policy = BalancerPolicy {
            balance: rule != Rule::Equal,
            ejection: true,
            spillover: (rule == Rule::Share).then(SpilloverSettings::default),
        };
        let nodes = (0..3 * NODES).map(|node| Balancer::new(DOMAINS[node % 3].0.into(), policy));
        let all = (0..3).flat_map(|d| DOMAINS[d].1.iter().map(move |ms| (d, ms / 1e3)));
        let queues = all.map(|(domain, mean_s)| Queue {
            domain,
            mean_s,
            active: 0,
            waiting: VecDeque::new(),
            quality: Quality::default(),
        });
        let queues: Vec<_> = queues.collect();
        let candidates = queues
            .iter()
            .enumerate()
            .map(|(i, q)| candidate(i, q.domain));
        let mut model = Self {
            rule,
            pattern,
            rng: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0.0,
            events: BinaryHeap::new(),
            bodies: Vec::new(),
            balancers: nodes.collect(),
            candidates: candidates.collect(),
            queues,
            score: Score::default(),
        };
        for client in 0..3 * 1_000 {
            if client / 3 < pattern.clients[client % 3] {
                model.think(client);
            }
        }
        while let Some((Reverse(at), body)) = model.events.pop() {
            model.now = Duration::from_nanos(at).as_secs_f64();
            if model.now > END_S {
                break;
            }
            let event = model.bodies[body].take().unwrap();
            model.handle(event);
        }
        model.score
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin(client) => self.send(client, self.now, Vec::new()),
            Event::Arrive(call) => self.arrive(call),
            Event::Finish(call) => self.finish(call),
            Event::Reply(call, evidence) => self.reply(call, evidence),
            Event::Report(node, ticket, load, is_shed) => {
                let now = self.instant();
                let balancer = &mut self.balancers[node];
                balancer.record_load(&ticket, load, now);
                if is_shed {
                    let until = now + Duration::from_millis(100);
                    balancer.back_off(&ticket, target_ms(), until, now);
                }
            }
        }
    }

    fn schedule(&mut self, delay_s: f64, event: Event) {
        let at = Duration::from_secs_f64(self.now + delay_s).as_nanos();
        self.bodies.push(Some(event));
        let at = u64::try_from(at).unwrap();
        self.events.push((Reverse(at), self.bodies.len() - 1));
    }

    fn think(&mut self, client: usize) {
        let phase = f64::from(u8::try_from(client % 3).unwrap()) / 3.0;
        let wave = f64::from(u8::from(self.pattern.is_wave)) * WAVE;
        let demand = 1.0 + wave * (TAU * (self.now / PERIOD_S + phase)).sin();
        let delay = -self.rng.random::<f64>().max(1e-9).ln() * THINK_S / demand;
        self.schedule(delay, Event::Begin(client));
    }

    /// Clients of a lost domain use the nodes of the others.
    fn domain_of(&self, client: usize) -> usize {
        if client % 3 == 2 && self.is_lost() {
            client / 3 % 2
        } else {
            client % 3
        }
    }

    fn is_lost(&self) -> bool {
        self.pattern.is_lost && self.now >= EVENT_S
    }

    fn is_drained(&self) -> bool {
        self.pattern.is_drained && self.now >= EVENT_S
    }

    fn send(&mut self, client: usize, begun: f64, tried: Vec<UpstreamName>) {
        let domain = self.domain_of(client);
        let node = client / 3 % NODES * 3 + domain;
        let is_drained = self.is_drained();
        let is_open = |d: usize| !(is_drained && d == 2);
        let mut near = [0, 1, 2];
        near.sort_by(|a, b| ONE_WAY_MS[domain][*a].total_cmp(&ONE_WAY_MS[domain][*b]));
        let nearest = near
            .into_iter()
            .find(|d| is_open(*d) && !(self.is_lost() && *d == 2));
        let rule = self.rule;
        let is_allowed = |d: usize| match rule {
            Rule::Never => d == domain,
            Rule::Nearest => Some(d) == nearest,
            _ => true,
        };
        let open = self.candidates.iter().zip(&self.queues);
        let open = open.filter(|(_, q)| is_open(q.domain) && is_allowed(q.domain));
        let open: Vec<_> = open.map(|(candidate, _)| candidate.clone()).collect();
        let unreachable: HashSet<SocketAddr> = if self.is_lost() && self.now > EVENT_S + 0.25 {
            let lost = self
                .candidates
                .iter()
                .filter(|c| c.upstream.domain.as_str() == "c");
            lost.map(|c| c.address).collect()
        } else {
            HashSet::new()
        };
        let constraints = Constraints {
            excluded: &tried,
            unreachable: &unreachable,
            leaving: &LeavingUpstreams::default(),
            idempotent: true,
            target_ms: target_ms(),
        };
        let now = self.instant();
        let chosen = self.balancers[node].choose(&open, constraints, now, &mut self.rng);
        let Ok((candidate, ticket)) = chosen else {
            return self.end(client, begun, false);
        };
        let upstream = self.candidates.iter().position(|c| c == candidate).unwrap();
        let to = self.queues[upstream].domain;
        let is_late_event = self.now > EVENT_S + 1.0;
        if to == 2 && is_late_event && (is_drained || self.is_lost()) {
            self.score.misdirected += 1;
        }
        if tried.is_empty() && self.now > WARM_UP_S {
            self.score.crossed += f64::from(u8::from(to != domain));
        }
        let ticket = Rc::new(ticket);
        let (arrived, one_way_s) = (0.0, ONE_WAY_MS[domain][to] / 1e3);
        let round_trip = Duration::from_secs_f64(2.0 * one_way_s);
        self.balancers[node].record_round_trip(&DOMAINS[to].0.into(), round_trip);
        let call = Call {
            client,
            node,
            begun,
            arrived,
            upstream,
            ticket,
            tried,
        };
        self.schedule(one_way_s, Event::Arrive(call));
    }

    fn arrive(&mut self, mut call: Call) {
        call.arrived = self.now;
        if self.is_lost() && self.queues[call.upstream].domain == 2 {
            return self.schedule(0.01, Event::Reply(call, Some(Evidence::Unreachable)));
        }
        let queue = &mut self.queues[call.upstream];
        if queue.active < SLOTS {
            queue.active += 1;
            self.run_call(call);
        } else if queue.waiting.len() < 8 {
            queue.waiting.push_back(call);
        } else {
            queue.quality.record_failure();
            self.answer(call, true);
        }
    }

    fn run_call(&mut self, call: Call) {
        let mean_s = self.queues[call.upstream].mean_s;
        let variable = -self.rng.random::<f64>().max(1e-9).ln();
        self.schedule(mean_s * (0.5 + 0.5 * variable), Event::Finish(call));
    }

    fn finish(&mut self, call: Call) {
        let held = Duration::from_secs_f64(self.now - call.arrived);
        let queue = &mut self.queues[call.upstream];
        queue.active -= 1;
        queue.quality.record_response(held, TARGET, true);
        if let Some(next) = queue.waiting.pop_front() {
            queue.active += 1;
            self.run_call(next);
        }
        self.answer(call, false);
    }

    fn answer(&mut self, call: Call, is_shed: bool) {
        let queue = &self.queues[call.upstream];
        let load = ReportedLoad {
            active: queue.active,
            limit: SLOTS,
            queued: u32::try_from(queue.waiting.len()).unwrap(),
            cost: queue.quality.cost(),
        };
        let one_way_s = ONE_WAY_MS[call.node % 3][queue.domain] / 1e3;
        let report = Event::Report(call.node, Rc::clone(&call.ticket), load, is_shed);
        self.schedule(one_way_s + self.pattern.report_delay_s, report);
        let evidence = (!is_shed).then_some(Evidence::Answered);
        self.schedule(one_way_s, Event::Reply(call, evidence));
    }

    fn reply(&mut self, mut call: Call, evidence: Option<Evidence>) {
        let now = self.instant();
        let balancer = &mut self.balancers[call.node];
        if let Some(evidence) = evidence {
            balancer.observe(&call.ticket, evidence, now, &mut self.rng);
        }
        balancer.release(&call.ticket, now);
        let is_answered = evidence == Some(Evidence::Answered);
        if is_answered || call.tried.len() == 2 {
            return self.end(call.client, call.begun, is_answered);
        }
        let name = &self.candidates[call.upstream].upstream.name;
        call.tried.push(name.clone());
        self.send(call.client, call.begun, call.tried);
    }

    fn end(&mut self, client: usize, begun: f64, is_answered: bool) {
        if self.now > WARM_UP_S {
            let is_in_time = is_answered && self.now - begun <= TARGET.as_secs_f64();
            self.score.calls += 1.0;
            self.score.in_time += f64::from(u8::from(is_in_time));
        }
        self.think(client);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.now)
    }
}

fn target_ms() -> Option<u64> {
    u64::try_from(TARGET.as_millis()).ok()
}

pub(super) fn candidate(index: usize, domain: usize) -> Candidate {
    let name = format!("u{index}");
    let address = SocketAddr::from(([10, 0, 0, 1], u16::try_from(index + 1).unwrap()));
    Candidate {
        upstream: Arc::new(Upstream {
            name: name.as_str().into(),
            service: "s".into(),
            vm: name.as_str().into(),
            domain: DOMAINS[domain].0.into(),
            address,
            slots: SLOTS,
            connections: 8,
            start: None,
        }),
        address,
        is_listed: true,
    }
}
