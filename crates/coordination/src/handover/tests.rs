use std::cell::Cell;

use super::*;
use crate::{
    Claim, DomainName, ExecutionOutcome, IdempotencyKey, Ledger, LedgerSettings, UpstreamName,
    UpstreamSpec, VmEntry,
};

/// Wall clock at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;
/// Maximum clock skew in milliseconds.
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

/// Returns a request with a key created at `created_ms` whose owner among VMs 0 and 1 is `owner`.
fn request(created_ms: u64, owner: usize) -> RequestId {
    let both = config(1, &[0, 1]);
    for number in 0..=255 {
        let uuid = uuid::Builder::from_unix_timestamp_millis(created_ms, &[number; 10]).into_uuid();
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
fn a_moved_key_is_pending_until_its_previous_owner_confirms() {
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
fn a_vm_new_to_a_service_awaits_all_other_vms_of_the_service() {
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
fn a_key_that_keeps_its_owner_is_not_pending() {
    let now = Instant::now();
    let id = request(START_MS, 0);
    let mut handover = KeyHandover::new(vm(0));
    handover.update(&config(1, &[0]), now);
    handover.update(&config(2, &[0, 1]), now);
    assert_eq!(handover.ownership(&id), Ownership::Owned { floor_ms: 0 });
}

#[test]
fn a_vm_removed_from_the_list_counts_as_confirmed() {
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
fn an_unlisted_vm_counts_as_confirmed_after_the_list_lag() {
    let now = Instant::now();
    let id = request(START_MS, 1);
    let mut handover = KeyHandover::new(vm(1));
    handover.update(&config(1, &[0, 1]), now);
    handover.observe_vms(&list(1, &[1]), 5);
    handover.confirm_unlisted(5, now + MAX_LIST_LAG);
    assert_eq!(handover.ownership(&id), Ownership::Pending);
    handover.confirm_unlisted(6, now + MAX_LIST_LAG * 2);
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

/// VMs that apply notes independently, and one request that is sent to all of them.
#[derive(Clone)]
struct Simulation {
    nodes: Vec<Node>,
    history: &'static [&'static [usize]],
    now: Instant,
    wall_ms: u64,
    id: RequestId,
    executions: u32,
}

#[derive(Clone)]
struct Node {
    vm: VmName,
    handover: KeyHandover,
    ledger: Ledger,
    applied: usize,
}

/// VMs of the service after each note.
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

impl Simulation {
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
        let wall_ms = START_MS + 60_000;
        Self {
            nodes: (0..nodes).map(node).collect(),
            history,
            now: now + Duration::from_secs(60),
            wall_ms,
            id: request(wall_ms, 1),
            executions: 0,
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
                self.wall_ms += 3_000;
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
        if node
            .ledger
            .claim(&self.id, floor_ms, self.now, self.wall_ms)
            == Claim::Run
        {
            node.ledger.finish(&self.id, ExecutionOutcome::Ran(None));
            self.executions += 1;
            assert_eq!(self.executions, 1, "the request ran twice");
        }
    }

    /// Requests a confirmation from another node and returns whether it was awaited.
    fn confirm(&mut self, at: usize, other: usize) -> bool {
        let other = &self.nodes[other];
        let applied = Sequence(other.applied as u64 + 1);
        let (vm, floor_ms) = (other.vm.clone(), self.wall_ms + SKEW_MS);
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
        node.ledger = Ledger::new(LedgerSettings::default(), self.now, self.wall_ms);
        node.handover = KeyHandover::new(node.vm.clone());
        let applied = node.applied;
        let config = config(applied as u64 + 1, self.history[applied]);
        node.handover.update(&config, self.now);
    }
}

/// Length of the interleavings that are explored exhaustively.
const DEPTH: usize = 6;

#[test]
fn a_previous_owner_hands_over_the_keys_that_it_knows() {
    let mut simulation = Simulation::new();
    simulation.id = request(simulation.wall_ms, 1);
    simulation.send(0);
    assert_eq!(simulation.executions, 1);
    simulation.apply(0, 1);
    simulation.apply(1, 1);
    simulation.confirm(1, 0);
    simulation.send(1);
    assert_eq!(simulation.executions, 1);
    let other = RequestId {
        service: "s".into(),
        ..request(simulation.wall_ms + 1, 1)
    };
    let node = &mut simulation.nodes[1];
    let Ownership::Owned { floor_ms } = node.handover.ownership(&other) else {
        panic!("the key must be owned after the handover");
    };
    let claim = node
        .ledger
        .claim(&other, floor_ms, simulation.now, simulation.wall_ms);
    assert_eq!(claim, Claim::Run);
}

#[test]
fn no_interleaving_of_handovers_runs_a_request_twice() {
    let explored = Cell::new(0_u32);
    explore(&Simulation::new(), DEPTH, &explored);
    assert!(explored.get() > 50_000, "{}", explored.get());
}

fn explore(simulation: &Simulation, depth: usize, explored: &Cell<u32>) {
    explored.set(explored.get() + 1);
    if depth == 0 {
        return;
    }
    for step in STEPS {
        let mut next = simulation.clone();
        if next.step(step) {
            explore(&next, depth - 1, explored);
        }
    }
}

proptest::proptest! {
    #[test]
    fn no_long_sequence_of_handovers_runs_a_request_twice(
        steps in proptest::collection::vec(0..STEPS.len(), 0..60),
    ) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(STEPS[step]);
        }
    }

    #[test]
    fn no_sequence_on_three_vms_runs_a_request_twice(
        steps in proptest::collection::vec((0..40_u8, 0..3_usize, 1..3_usize), 0..120),
        number in 0..=255_u8,
    ) {
        let mut simulation = Simulation::with(3, &LONG_HISTORY);
        let uuid = uuid::Builder::from_unix_timestamp_millis(simulation.wall_ms, &[number; 10]);
        simulation.id.key = IdempotencyKey::parse(&uuid.into_uuid().to_string()).unwrap();
        for (step, at, offset) in steps {
            match step {
                0..8 => {
                    simulation.apply(at, 1);
                }
                8..22 => simulation.send(at),
                22..39 => {
                    simulation.confirm(at, (at + offset) % 3);
                }
                _ if offset == 1 => {
                    simulation.step(Step::Wait);
                }
                _ => simulation.restart(at),
            }
        }
    }
}

/// VMs of the service after each note, among three VMs.
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
