use std::cell::Cell;

use assert_matches::assert_matches;
use proptest::prelude::*;

use super::*;

/// Wall clock at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_700_000_000_000;

fn id(created_ms: u64) -> RequestId {
    let uuid = uuid::Builder::from_unix_timestamp_millis(created_ms, &[1; 10]).into_uuid();
    RequestId {
        service: ServiceName::from("invoicing"),
        key: IdempotencyKey::parse(&uuid.to_string()).unwrap(),
    }
}

/// A ledger whose process has been running for a minute, with its clocks.
#[derive(Clone)]
struct Fixture {
    ledger: Ledger,
    now: Instant,
    wall_ms: u64,
}

impl Fixture {
    fn new(settings: LedgerSettings) -> Self {
        let now = Instant::now();
        let mut fixture = Self {
            ledger: Ledger::new(settings, now, START_MS),
            now,
            wall_ms: START_MS,
        };
        fixture.advance(60_000);
        fixture
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.wall_ms += millis;
    }

    fn claim(&mut self, id: &RequestId) -> Claim {
        self.ledger.claim(id, 0, self.now, self.wall_ms)
    }

    fn restart(&mut self) {
        self.ledger = Ledger::new(self.ledger.settings, self.now, self.wall_ms);
    }
}

fn answer(bytes: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: Vec::new(),
        body: vec![7; bytes],
    }
}

#[test]
fn a_key_is_claimed_once() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let id = id(fixture.wall_ms);
    assert_eq!(fixture.claim(&id), Claim::Run);
    assert_eq!(fixture.claim(&id), Claim::InProgress);
    fixture
        .ledger
        .finish(&id, ExecutionOutcome::Ran(Some(answer(3))));
    assert_matches!(fixture.claim(&id), Claim::Replay(kept) if *kept == answer(3));
}

#[test]
fn keys_of_different_services_are_independent() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let first = id(fixture.wall_ms);
    let second = RequestId {
        service: ServiceName::from("receipts"),
        ..first.clone()
    };
    assert_eq!(fixture.claim(&first), Claim::Run);
    assert_eq!(fixture.claim(&second), Claim::Run);
}

#[test]
fn a_large_answer_is_not_recorded_but_its_execution_is() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let id = id(fixture.wall_ms);
    fixture.claim(&id);
    fixture
        .ledger
        .finish(&id, ExecutionOutcome::Ran(Some(answer(1 << 20))));
    assert_eq!(fixture.claim(&id), Claim::Ran);
}

#[test]
fn an_unknown_key_is_claimed_or_rejected_by_its_age() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    fixture.advance(3_600_000);
    assert_eq!(fixture.claim(&id(fixture.wall_ms + 2_001)), Claim::TooNew);
    assert_eq!(fixture.claim(&id(fixture.wall_ms + 1_999)), Claim::Run);
    assert_eq!(fixture.claim(&id(fixture.wall_ms - 598_001)), Claim::TooOld);
    assert_eq!(fixture.claim(&id(fixture.wall_ms - 597_999)), Claim::Run);
    fixture.restart();
    assert_eq!(fixture.claim(&id(fixture.wall_ms + 1_998)), Claim::Stale);
    let floor_ms = fixture.wall_ms + 60_000;
    fixture.advance(30_000);
    let stale = fixture
        .ledger
        .claim(&id(fixture.wall_ms), floor_ms, fixture.now, fixture.wall_ms);
    assert_eq!(stale, Claim::Stale);
}

#[test]
fn a_full_ledger_rejects_new_keys_until_entries_expire() {
    let mut fixture = Fixture::new(LedgerSettings {
        max_entries: 1,
        ..LedgerSettings::default()
    });
    let first = id(fixture.wall_ms);
    assert_eq!(fixture.claim(&first), Claim::Run);
    fixture.ledger.finish(&first, ExecutionOutcome::Unknown);
    assert_eq!(fixture.claim(&id(fixture.wall_ms + 1)), Claim::Full);
    assert_eq!(fixture.claim(&first), Claim::Unknown);
    fixture.advance(604_001);
    assert_eq!(fixture.claim(&id(fixture.wall_ms)), Claim::Run);
    assert_eq!(fixture.ledger.len(), 1);
}

#[test]
fn the_size_of_recorded_answers_is_bounded() {
    let mut fixture = Fixture::new(LedgerSettings {
        max_bytes: 100,
        ..LedgerSettings::default()
    });
    let (first, second) = (id(fixture.wall_ms), id(fixture.wall_ms + 1));
    for id in [&first, &second] {
        fixture.claim(id);
        fixture
            .ledger
            .finish(id, ExecutionOutcome::Ran(Some(answer(60))));
    }
    assert_matches!(fixture.claim(&first), Claim::Replay(_));
    assert_eq!(fixture.claim(&second), Claim::Ran);
}

#[test]
fn a_backward_clock_step_does_not_make_an_expired_key_acceptable() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let id = id(fixture.wall_ms);
    fixture.claim(&id);
    fixture.ledger.finish(&id, ExecutionOutcome::Ran(None));
    fixture.advance(604_001);
    fixture.wall_ms -= 500_000;
    assert_eq!(fixture.claim(&id), Claim::TooOld);
}

/// Events that can affect a request, in any order.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send,
    FinishRan,
    FinishUnknown,
    FinishNotRun,
    Wait,
    Restart,
}

const STEPS: [Step; 6] = [
    Step::Send,
    Step::FinishRan,
    Step::FinishUnknown,
    Step::FinishNotRun,
    Step::Wait,
    Step::Restart,
];

/// One request, with the number of executions that may have completed.
#[derive(Clone)]
struct Simulation {
    fixture: Fixture,
    id: RequestId,
    running: bool,
    executions: u32,
}

impl Simulation {
    fn new() -> Self {
        let fixture = Fixture::new(LedgerSettings::default());
        let id = id(fixture.wall_ms);
        Self {
            fixture,
            id,
            running: false,
            executions: 0,
        }
    }

    /// Applies a step and returns whether it was possible.
    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Send => {
                if self.fixture.claim(&self.id) == Claim::Run {
                    assert!(!self.running, "two executions at once");
                    assert_eq!(
                        self.executions, 0,
                        "an execution after one that may have run"
                    );
                    self.running = true;
                }
            }
            Step::FinishRan => return self.finish(ExecutionOutcome::Ran(Some(answer(1))), 1),
            Step::FinishUnknown => return self.finish(ExecutionOutcome::Unknown, 1),
            Step::FinishNotRun => return self.finish(ExecutionOutcome::DidNotRun, 0),
            Step::Wait => self.fixture.advance(299_500),
            Step::Restart => {
                self.executions += u32::from(self.running);
                self.running = false;
                self.fixture.restart();
            }
        }
        true
    }

    fn finish(&mut self, outcome: ExecutionOutcome, executions: u32) -> bool {
        if !self.running {
            return false;
        }
        self.running = false;
        self.executions += executions;
        self.fixture.ledger.finish(&self.id, outcome);
        true
    }
}

/// Length of the interleavings that are explored exhaustively.
const DEPTH: usize = 9;

#[test]
fn no_interleaving_runs_a_request_twice() {
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

proptest! {
    #[test]
    fn no_long_sequence_runs_a_request_twice(steps in prop::collection::vec(0..STEPS.len(), 0..200)) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.step(STEPS[step]);
        }
    }
}
