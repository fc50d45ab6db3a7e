use std::cell::Cell;

use super::*;
use crate::{
    Claim, DomainName, ExecutionOutcome, IdempotencyKey, Ledger, LedgerSettings, UpstreamName,
    UpstreamSpec, VmEntry,
};

/// Wall clock at the start, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;
/// Largest difference of clocks in milliseconds.
const SKEW_MS: u64 = 2_000;

fn vm(index: usize) -> VmName {
    VmName::from(format!("vm-{index}"))
}

/// Returns a configuration whose service has an upstream on each of the VMs.
fn config(sequence: u64, vms: &[usize]) -> Arc<Config> {
    let mut config = Config {
        sequence: Sequence(sequence),
        ..Config::default()
    };
    for &index in vms {
        let upstream = UpstreamSpec {
            name: UpstreamName::from(format!("u{index}")),
            service: "s".into(),
            vm: vm(index),
            domain: DomainName::from("modica"),
            address: "127.0.0.1:9".parse().unwrap(),
            slots: 1,
            connections: 1,
            start: None,
        };
        config
            .upstreams
            .insert(upstream.name.clone(), Arc::new(upstream));
    }
    Arc::new(config)
}

/// Returns a key minted at a time whose owner among VMs 0 and 1 is `owner`.
fn request(minted: u64, owner: usize) -> RequestId {
    let both = config(1, &[0, 1]);
    for number in 0..=255 {
        let uuid = uuid::Builder::from_unix_timestamp_millis(minted, &[number; 10]).into_uuid();
        let id = RequestId {
            service: "s".into(),
            key: IdempotencyKey::parse(&uuid.to_string()).unwrap(),
        };
        if key_owner(&both, &id.service, &id.key).unwrap().vm == vm(owner) {
            return id;
        }
    }
    panic!("no key is owned by VM {owner}");
}

#[test]
fn a_moved_key_waits_for_its_earlier_owner() {
    let now = Instant::now();
    let id = request(START_MS, 1);
    let mut handover = KeyHandover::new(vm(1));
    handover.update(&config(1, &[0]), now);
    assert_eq!(handover.ownership(&id), Ownership::Other);
    handover.update(&config(2, &[0, 1]), now);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    assert_eq!(handover.awaited(), BTreeMap::from([(vm(0), Sequence(2))]));
    handover.confirm(&vm(0), Sequence(1), 77);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    handover.confirm(&vm(0), Sequence(2), 88);
    assert_eq!(handover.ownership(&id), Ownership::Owned { floor_ms: 88 });
    assert!(handover.awaited().is_empty());
}

#[test]
fn a_vm_that_is_new_to_a_service_waits_for_all_of_it() {
    let now = Instant::now();
    let id = request(START_MS, 1);
    let mut handover = KeyHandover::new(vm(1));
    handover.update(&config(1, &[0]), now);
    handover.update(&config(2, &[0, 2]), now);
    handover.update(&config(3, &[0, 1, 2]), now);
    let awaited: Vec<_> = handover.awaited().into_keys().collect();
    assert_eq!(awaited, [vm(0), vm(2)]);
    handover.confirm(&vm(0), Sequence(3), 5);
    let ownership = handover.ownership(&id);
    assert!(matches!(ownership, Ownership::Pending | Ownership::Other));
    handover.confirm(&vm(2), Sequence(3), 6);
    assert_ne!(handover.ownership(&id), Ownership::Pending);
}

#[test]
fn a_key_that_does_not_move_is_not_held_up() {
    let now = Instant::now();
    let id = request(START_MS, 0);
    let mut handover = KeyHandover::new(vm(0));
    handover.update(&config(1, &[0]), now);
    handover.update(&config(2, &[0, 1]), now);
    assert_eq!(handover.ownership(&id), Ownership::Owned { floor_ms: 0 });
}

#[test]
fn a_vm_that_leaves_the_list_needs_no_confirmation() {
    let now = Instant::now();
    let id = request(START_MS, 1);
    let mut handover = KeyHandover::new(vm(1));
    handover.update(&config(1, &[0, 1]), now);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    handover.observe_vms(&list(1, &[0, 1]), 5);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    handover.observe_vms(&list(2, &[1]), 6);
    assert_eq!(handover.ownership(&id), Ownership::Owned { floor_ms: 6 });
}

#[test]
fn a_vm_that_was_never_listed_is_given_up_after_the_lag() {
    let now = Instant::now();
    let id = request(START_MS, 1);
    let mut handover = KeyHandover::new(vm(1));
    handover.update(&config(1, &[0, 1]), now);
    handover.observe_vms(&list(1, &[1]), 5);
    handover.confirm_unlisted(5, now + LIST_LAG);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    handover.confirm_unlisted(6, now + LIST_LAG * 2);
    assert_eq!(handover.ownership(&id), Ownership::Owned { floor_ms: 6 });
}

fn list(number: u64, vms: &[usize]) -> VmList {
    let entry = |&index: &usize| VmEntry {
        vm: vm(index),
        domain: "modica".into(),
        region: "sicily".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        state: crate::VmState::Live,
        upstreams: Vec::new(),
    };
    VmList {
        number,
        vms: vms.iter().map(|index| Arc::new(entry(index))).collect(),
    }
}

/// Two VMs that apply notes at their own pace, and one request that is sent to both.
#[derive(Clone)]
struct World {
    nodes: Vec<Node>,
    history: &'static [&'static [usize]],
    now: Instant,
    wall: u64,
    id: RequestId,
    ran: u32,
}

#[derive(Clone)]
struct Node {
    vm: VmName,
    handover: KeyHandover,
    ledger: Ledger,
    applied: usize,
}

/// Members of the service from one note to the next.
const HISTORY: [&[usize]; 4] = [&[0], &[0, 1], &[0], &[0, 1]];

#[derive(Clone, Copy, Debug)]
enum Step {
    Apply(usize),
    Skip(usize),
    Send(usize),
    Confirm(usize),
    Wait,
    Restart(usize),
}

const STEPS: [Step; 11] = [
    Step::Apply(0),
    Step::Apply(1),
    Step::Skip(0),
    Step::Skip(1),
    Step::Send(0),
    Step::Send(1),
    Step::Confirm(0),
    Step::Confirm(1),
    Step::Wait,
    Step::Restart(0),
    Step::Restart(1),
];

impl World {
    fn new() -> Self {
        Self::with(2, &HISTORY)
    }

    fn with(nodes: usize, history: &'static [&'static [usize]]) -> Self {
        let now = Instant::now();
        let node = |index| {
            let mut handover = KeyHandover::new(vm(index));
            handover.update(&config(1, history[0]), now);
            for &other in history[0] {
                handover.confirm(&vm(other), Sequence(1), START_MS);
            }
            Node {
                vm: vm(index),
                handover,
                ledger: Ledger::new(LedgerSettings::default(), now, START_MS),
                applied: 0,
            }
        };
        let wall = START_MS + 60_000;
        Self {
            nodes: (0..nodes).map(node).collect(),
            history,
            now: now + Duration::from_secs(60),
            wall,
            id: request(wall, 1),
            ran: 0,
        }
    }

    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Apply(at) => return self.apply(at, 1),
            Step::Skip(at) => return self.apply(at, 2),
            Step::Send(at) => self.send(at),
            Step::Confirm(at) => return self.confirm(at, 1 - at),
            Step::Wait => {
                self.now += Duration::from_secs(3);
                self.wall += 3_000;
            }
            Step::Restart(at) => self.restart(at),
        }
        true
    }

    fn apply(&mut self, at: usize, notes: usize) -> bool {
        let node = &mut self.nodes[at];
        let next = node.applied + notes;
        if next >= self.history.len() {
            return false;
        }
        node.applied = next;
        let config = config(next as u64 + 1, self.history[next]);
        node.handover.update(&config, self.now);
        true
    }

    fn send(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Ownership::Owned { floor_ms } = node.handover.ownership(&self.id) else {
            return;
        };
        if node.ledger.claim(&self.id, floor_ms, self.now, self.wall) == Claim::Run {
            node.ledger.finish(&self.id, ExecutionOutcome::Ran(None));
            self.ran += 1;
            assert_eq!(self.ran, 1, "the request ran twice");
        }
    }

    /// Lets a node ask the other one for its confirmation.
    fn confirm(&mut self, at: usize, other: usize) -> bool {
        let other = &self.nodes[other];
        let applied = Sequence(other.applied as u64 + 1);
        let (vm, floor_ms) = (other.vm.clone(), self.wall + SKEW_MS);
        let known = other
            .handover
            .keys_for(&other.ledger, &self.nodes[at].vm, 10);
        let node = &mut self.nodes[at];
        let is_awaited = node.handover.awaited().contains_key(&vm);
        let known = known.filter(|_| applied == node.handover.sequence());
        let floor_ms = known.as_ref().map_or(floor_ms, |known| known.floor_ms);
        for id in known.iter().flat_map(|known| &known.requests) {
            node.ledger.import(id, self.now);
        }
        node.handover.confirm(&vm, applied, floor_ms);
        is_awaited
    }

    fn restart(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.ledger = Ledger::new(LedgerSettings::default(), self.now, self.wall);
        node.handover = KeyHandover::new(node.vm.clone());
        let applied = node.applied;
        let config = config(applied as u64 + 1, self.history[applied]);
        node.handover.update(&config, self.now);
    }
}

/// Longest interleaving that is tried.
const DEPTH: usize = 6;

#[test]
fn an_earlier_owner_tells_the_keys_that_it_knows() {
    let mut world = World::new();
    world.id = request(world.wall, 1);
    world.send(0);
    assert_eq!(world.ran, 1);
    world.apply(0, 1);
    world.apply(1, 1);
    world.confirm(1, 0);
    world.send(1);
    assert_eq!(world.ran, 1);
    let other = RequestId {
        service: "s".into(),
        ..request(world.wall + 1, 1)
    };
    let node = &mut world.nodes[1];
    let Ownership::Owned { floor_ms } = node.handover.ownership(&other) else {
        panic!("the key was handed over");
    };
    let claim = node.ledger.claim(&other, floor_ms, world.now, world.wall);
    assert_eq!(claim, Claim::Run);
}

#[test]
fn no_interleaving_of_hand_overs_runs_a_request_twice() {
    let tried = Cell::new(0_u32);
    explore(&World::new(), DEPTH, &tried);
    assert!(tried.get() > 50_000, "{}", tried.get());
}

fn explore(world: &World, depth: usize, tried: &Cell<u32>) {
    tried.set(tried.get() + 1);
    if depth == 0 {
        return;
    }
    for step in STEPS {
        let mut next = world.clone();
        if next.step(step) {
            explore(&next, depth - 1, tried);
        }
    }
}

proptest::proptest! {
    #[test]
    fn no_long_run_of_hand_overs_runs_a_request_twice(
        steps in proptest::collection::vec(0..STEPS.len(), 0..60),
    ) {
        let mut world = World::new();
        for step in steps {
            world.step(STEPS[step]);
        }
    }

    #[test]
    fn no_run_on_three_vms_runs_a_request_twice(
        steps in proptest::collection::vec((0..40_u8, 0..3_usize, 1..3_usize), 0..120),
        number in 0..=255_u8,
    ) {
        let mut world = World::with(3, &LONG_HISTORY);
        let uuid = uuid::Builder::from_unix_timestamp_millis(world.wall, &[number; 10]);
        world.id.key = IdempotencyKey::parse(&uuid.into_uuid().to_string()).unwrap();
        for (step, at, by) in steps {
            match step {
                0..8 => {
                    world.apply(at, 1);
                }
                8..22 => world.send(at),
                22..39 => {
                    world.confirm(at, (at + by) % 3);
                }
                _ if by == 1 => {
                    world.step(Step::Wait);
                }
                _ => world.restart(at),
            }
        }
    }
}

/// Members of the service from one note to the next, on three VMs.
const LONG_HISTORY: [&[usize]; 8] = [
    &[0, 1],
    &[0, 1, 2],
    &[0, 2],
    &[0, 1, 2],
    &[1, 2],
    &[0, 1, 2],
    &[0, 1],
    &[0, 1, 2],
];
