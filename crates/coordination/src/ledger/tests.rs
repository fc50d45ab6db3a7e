use std::cell::Cell;

use assert_matches::assert_matches;
use proptest::prelude::*;

use super::*;

/// Wall clock at the start, in milliseconds.
const START_MS: u64 = 1_700_000_000_000;

fn id(minted: u64) -> RequestId {
    let uuid = uuid::Builder::from_unix_timestamp_millis(minted, &[1; 10]).into_uuid();
    RequestId {
        service: ServiceName::from("invoicing"),
        key: IdempotencyKey::parse(&uuid.to_string()).unwrap(),
    }
}

/// A ledger whose process runs for a minute.
#[derive(Clone)]
struct Fixture {
    ledger: Ledger,
    now: Instant,
    wall: u64,
}

impl Fixture {
    fn new(settings: LedgerSettings) -> Self {
        let now = Instant::now();
        let mut fixture = Self {
            ledger: Ledger::new(settings, now, START_MS),
            now,
            wall: START_MS,
        };
        fixture.advance(60_000);
        fixture
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.wall += millis;
    }

    fn claim(&mut self, id: &RequestId) -> Claim {
        self.ledger.claim(id, 0, self.now, self.wall)
    }

    fn restart(&mut self) {
        self.ledger = Ledger::new(self.ledger.settings, self.now, self.wall);
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
    let id = id(fixture.wall);
    assert_eq!(fixture.claim(&id), Claim::Run);
    assert_eq!(fixture.claim(&id), Claim::InProgress);
    fixture
        .ledger
        .finish(&id, ExecutionOutcome::Ran(Some(answer(3))));
    assert_matches!(fixture.claim(&id), Claim::Replay(kept) if *kept == answer(3));
}

#[test]
fn other_services_have_other_keys() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let one = id(fixture.wall);
    let other = RequestId {
        service: ServiceName::from("receipts"),
        ..one.clone()
    };
    assert_eq!(fixture.claim(&one), Claim::Run);
    assert_eq!(fixture.claim(&other), Claim::Run);
}

#[test]
fn a_large_answer_is_not_kept_but_that_it_ran_is() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let id = id(fixture.wall);
    fixture.claim(&id);
    fixture
        .ledger
        .finish(&id, ExecutionOutcome::Ran(Some(answer(1 << 20))));
    assert_eq!(fixture.claim(&id), Claim::Ran);
}

#[test]
fn the_age_of_a_key_decides_what_an_unknown_one_means() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    fixture.advance(3_600_000);
    assert_eq!(fixture.claim(&id(fixture.wall + 2_001)), Claim::TooNew);
    assert_eq!(fixture.claim(&id(fixture.wall + 1_999)), Claim::Run);
    assert_eq!(fixture.claim(&id(fixture.wall - 598_001)), Claim::TooOld);
    assert_eq!(fixture.claim(&id(fixture.wall - 597_999)), Claim::Run);
    fixture.restart();
    assert_eq!(fixture.claim(&id(fixture.wall + 1_998)), Claim::Stale);
    let floor = fixture.wall + 60_000;
    fixture.advance(30_000);
    let stale = fixture
        .ledger
        .claim(&id(fixture.wall), floor, fixture.now, fixture.wall);
    assert_eq!(stale, Claim::Stale);
}

#[test]
fn a_full_ledger_forgets_nothing_early() {
    let mut fixture = Fixture::new(LedgerSettings {
        max_entries: 1,
        ..LedgerSettings::default()
    });
    let first = id(fixture.wall);
    assert_eq!(fixture.claim(&first), Claim::Run);
    fixture.ledger.finish(&first, ExecutionOutcome::Unknown);
    assert_eq!(fixture.claim(&id(fixture.wall + 1)), Claim::Full);
    assert_eq!(fixture.claim(&first), Claim::Unknown);
    fixture.advance(604_001);
    assert_eq!(fixture.claim(&id(fixture.wall)), Claim::Run);
    assert_eq!(fixture.ledger.len(), 1);
}

#[test]
fn kept_answers_are_bounded() {
    let mut fixture = Fixture::new(LedgerSettings {
        max_bytes: 100,
        ..LedgerSettings::default()
    });
    let (one, two) = (id(fixture.wall), id(fixture.wall + 1));
    for id in [&one, &two] {
        fixture.claim(id);
        fixture
            .ledger
            .finish(id, ExecutionOutcome::Ran(Some(answer(60))));
    }
    assert_matches!(fixture.claim(&one), Claim::Replay(_));
    assert_eq!(fixture.claim(&two), Claim::Ran);
}

#[test]
fn a_clock_that_steps_back_revives_no_key() {
    let mut fixture = Fixture::new(LedgerSettings::default());
    let id = id(fixture.wall);
    fixture.claim(&id);
    fixture.ledger.finish(&id, ExecutionOutcome::Ran(None));
    fixture.advance(604_001);
    fixture.wall -= 500_000;
    assert_eq!(fixture.claim(&id), Claim::TooOld);
}

/// What can happen to one request, in any order.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send,
    EndRan,
    EndUnknown,
    EndNotRun,
    Wait,
    Restart,
}

const STEPS: [Step; 6] = [
    Step::Send,
    Step::EndRan,
    Step::EndUnknown,
    Step::EndNotRun,
    Step::Wait,
    Step::Restart,
];

/// One request, with the number of its executions that may have run.
#[derive(Clone)]
struct World {
    fixture: Fixture,
    id: RequestId,
    running: bool,
    ran: u32,
}

impl World {
    fn new() -> Self {
        let fixture = Fixture::new(LedgerSettings::default());
        let id = id(fixture.wall);
        Self {
            fixture,
            id,
            running: false,
            ran: 0,
        }
    }

    /// Returns whether the step was possible.
    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Send => {
                if self.fixture.claim(&self.id) == Claim::Run {
                    assert!(!self.running, "two executions at once");
                    assert_eq!(self.ran, 0, "an execution after one that may have run");
                    self.running = true;
                }
            }
            Step::EndRan => return self.end(ExecutionOutcome::Ran(Some(answer(1))), 1),
            Step::EndUnknown => return self.end(ExecutionOutcome::Unknown, 1),
            Step::EndNotRun => return self.end(ExecutionOutcome::DidNotRun, 0),
            Step::Wait => self.fixture.advance(299_500),
            Step::Restart => {
                self.ran += u32::from(self.running);
                self.running = false;
                self.fixture.restart();
            }
        }
        true
    }

    fn end(&mut self, ending: ExecutionOutcome, ran: u32) -> bool {
        if !self.running {
            return false;
        }
        self.running = false;
        self.ran += ran;
        self.fixture.ledger.finish(&self.id, ending);
        true
    }
}

/// Longest interleaving that is tried.
const DEPTH: usize = 9;

#[test]
fn no_interleaving_runs_a_request_twice() {
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

proptest! {
    #[test]
    fn no_long_run_runs_a_request_twice(steps in prop::collection::vec(0..STEPS.len(), 0..200)) {
        let mut world = World::new();
        for step in steps {
            world.step(STEPS[step]);
        }
    }
}
