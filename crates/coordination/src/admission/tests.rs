mod load;

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

const SLOTS: u32 = 12;

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        slots: SLOTS,
        adaptive: true,
        limit: true,
        ramp: true,
        cold_per_second: None,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An admission with a clock and the requests that it started.
struct Bed {
    admission: Admission,
    now: Instant,
    waiting: BTreeSet<QueueTicket>,
    running: Vec<(Instant, bool)>,
    alone: BTreeSet<QueueTicket>,
}

impl Bed {
    fn new(settings: AdmissionSettings) -> Self {
        let now = Instant::now();
        Self {
            admission: Admission::new(settings, now),
            now,
            waiting: BTreeSet::new(),
            running: Vec::new(),
            alone: BTreeSet::new(),
        }
    }

    fn arrive(&mut self, caller: u64, left: Duration) -> Arrival {
        self.arrive_as(caller, left, false)
    }

    fn arrive_as(&mut self, caller: u64, left: Duration, alone: bool) -> Arrival {
        let deadline = self.now + left;
        let ask = Ask {
            caller,
            deadline,
            target: None,
            patience: None,
            rank: Rank::default(),
            alone,
        };
        let arrival = self.admission.arrive(ask, self.now);
        match arrival {
            Arrival::Start => self.running.push((self.now, alone)),
            Arrival::Wait(ticket) => {
                assert!(self.waiting.insert(ticket));
                if alone {
                    self.alone.insert(ticket);
                }
            }
            Arrival::Refuse(_) => {}
        }
        arrival
    }

    /// Gives all their turn and checks that each ticket gets one.
    fn turns(&mut self) -> Vec<Turn> {
        let mut turns = Vec::new();
        while let Some(turn) = self.admission.next(self.now) {
            let ticket = match turn {
                Turn::Start(ticket) => {
                    assert!(self.admission.active() <= self.admission.limit());
                    self.running.push((self.now, self.alone.contains(&ticket)));
                    ticket
                }
                Turn::Refuse(ticket, _) => ticket,
            };
            assert!(self.waiting.remove(&ticket), "a ticket has one turn");
            turns.push(turn);
        }
        turns
    }

    /// Ends the oldest running request.
    fn finish(&mut self, result: SampleResult) {
        if self.running.is_empty() {
            return;
        }
        let (started, alone) = self.running.remove(0);
        let latency = self.now - started;
        let sample = Sample {
            started,
            latency,
            result,
            rank: Rank::default(),
        };
        self.admission.release(latency, alone, Rank::default());
        self.admission.observe(sample, self.now);
    }

    /// Runs one request after the other, each for a time, as many at once as the limit allows.
    fn run_for(&mut self, time: Duration, each: Duration) {
        let end = self.now + time;
        while self.now < end {
            while self.running.len() < self.admission.limit() as usize {
                assert_eq!(self.arrive(1, ms(10_000)), Arrival::Start);
            }
            self.now += each;
            while !self.running.is_empty() {
                self.finish(SampleResult::Answered);
            }
        }
    }
}

#[test]
fn a_first_contact_gets_a_trickle() {
    let mut bed = Bed::new(settings());
    assert_eq!(bed.arrive(1, ms(1000)), Arrival::Start);
    assert!(matches!(bed.arrive(1, ms(1000)), Arrival::Wait(_)));
    assert_eq!(bed.admission.active(), 1);
}

#[test]
fn success_warms_an_upstream_up() {
    let mut bed = Bed::new(settings());
    bed.run_for(ms(1000), ms(5));
    assert!(
        (3..=8).contains(&bed.admission.limit()),
        "{}",
        bed.admission.limit()
    );
    bed.run_for(ms(4000), ms(5));
    assert_eq!(
        (bed.admission.limit(), bed.admission.is_cold(bed.now)),
        (SLOTS, false)
    );
}

#[test]
fn a_failure_in_the_ramp_falls_back_once_a_step() {
    let mut bed = Bed::new(settings());
    bed.run_for(ms(1500), ms(5));
    let before = bed.admission.limit();
    for _ in 0..before {
        bed.arrive(1, ms(1000));
    }
    bed.now += ms(5);
    for _ in 0..before {
        bed.finish(SampleResult::Shed);
    }
    assert_eq!(bed.admission.limit(), before / 2);
}

#[test]
fn slower_answers_hold_the_ramp() {
    let mut bed = Bed::new(AdmissionSettings {
        adaptive: false,
        ..settings()
    });
    bed.run_for(ms(1000), ms(5));
    let before = bed.admission.limit();
    bed.run_for(ms(400), ms(60));
    assert_eq!(bed.admission.limit(), before);
}

#[test]
fn work_that_takes_longer_does_not_lower_the_limit_for_long() {
    let mut bed = Bed::new(settings());
    bed.run_for(ms(5000), ms(5));
    bed.run_for(ms(10_000), ms(60));
    assert_eq!(bed.admission.limit(), SLOTS);
}

#[test]
fn a_refused_connection_stops_all_for_a_while() {
    let mut bed = Bed::new(settings());
    bed.arrive(1, ms(1000));
    bed.arrive(1, ms(1000));
    bed.finish(SampleResult::Refused);
    assert!(matches!(
        bed.turns()[..],
        [Turn::Refuse(
            _,
            Rejection {
                cause: RejectionCause::Down,
                ..
            }
        )]
    ));
    assert!(matches!(
        bed.arrive(1, ms(1000)),
        Arrival::Refuse(Rejection {
            cause: RejectionCause::Down,
            ..
        })
    ));
    bed.now += ms(25);
    assert_eq!(bed.arrive(1, ms(1000)), Arrival::Start);
}

#[test]
fn a_burst_of_sheds_is_a_sign_of_a_restart() {
    let mut bed = Bed::new(settings());
    bed.run_for(ms(5000), ms(5));
    for _ in 0..SHED_BURST {
        bed.arrive(1, ms(1000));
    }
    for _ in 0..SHED_BURST {
        bed.finish(SampleResult::Shed);
    }
    assert!(bed.admission.is_cold(bed.now));
    assert_eq!(bed.admission.limit(), 1);
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once() {
    let mut bed = Bed::new(settings());
    bed.arrive(1, ms(1000));
    bed.now += ms(50);
    bed.finish(SampleResult::Answered);
    bed.arrive(1, ms(1000));
    bed.arrive(1, ms(1000));
    assert!(matches!(
        bed.arrive(1, ms(60)),
        Arrival::Refuse(Rejection {
            cause: RejectionCause::Late,
            ..
        })
    ));
}

#[test]
fn a_waiting_request_that_is_late_is_not_started() {
    let mut bed = Bed::new(settings());
    bed.arrive(1, ms(1000));
    bed.arrive(1, ms(40));
    bed.now += ms(50);
    bed.finish(SampleResult::Answered);
    assert!(matches!(
        bed.turns()[..],
        [Turn::Refuse(
            _,
            Rejection {
                cause: RejectionCause::Late,
                ..
            }
        )]
    ));
}

#[test]
fn one_caller_cannot_starve_another() {
    let mut bed = Bed::new(settings());
    bed.arrive(1, ms(9000));
    bed.now += ms(20);
    bed.finish(SampleResult::Answered);
    for _ in 0..100 {
        bed.arrive(1, ms(9000));
    }
    let Arrival::Wait(ticket) = bed.arrive(2, ms(9000)) else {
        panic!("the other caller must get a place");
    };
    let evicted = bed.turns();
    assert!(matches!(
        evicted[..],
        [Turn::Refuse(
            _,
            Rejection {
                cause: RejectionCause::Full,
                ..
            }
        )]
    ));
    let mut started = Vec::new();
    for _ in 0..2 {
        bed.now += ms(20);
        bed.finish(SampleResult::Answered);
        started.extend(bed.turns());
    }
    assert!(started.contains(&Turn::Start(ticket)), "{started:?}");
}

#[test]
fn a_suspect_runs_alone_but_holds_others_back_only_for_a_while() {
    let mut bed = Bed::new(settings());
    bed.run_for(ms(5000), ms(5));
    bed.arrive(1, ms(9000));
    assert!(matches!(bed.arrive_as(2, ms(9000), true), Arrival::Wait(_)));
    assert!(matches!(bed.arrive(1, ms(9000)), Arrival::Wait(_)));
    bed.now += ms(5);
    bed.finish(SampleResult::Answered);
    assert!(matches!(bed.turns()[..], [Turn::Start(_)]));
    let mark = bed.admission.mark();
    assert!(bed.admission.ran_alone(mark));
    bed.now += HOLD_OVER;
    assert!(matches!(bed.turns()[..], [Turn::Start(_)]));
    assert!(!bed.admission.ran_alone(mark));
}

/// Longer than others are held back for a suspect.
const HOLD_OVER: Duration = Duration::from_millis(300);

#[test]
fn without_a_limit_all_start() {
    let mut bed = Bed::new(AdmissionSettings {
        limit: false,
        ..settings()
    });
    for _ in 0..100 {
        assert_eq!(bed.arrive(1, ms(1)), Arrival::Start);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(u64, u64, bool),
    Finish(SampleResult),
    Cancel(usize),
    Advance(u64),
    Restart,
    Slots(u32),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let result = prop_oneof![
        8 => Just(SampleResult::Answered),
        1 => Just(SampleResult::Shed),
        1 => Just(SampleResult::Failed),
        1 => Just(SampleResult::Refused),
        1 => Just(SampleResult::Abandoned),
    ];
    let step = prop_oneof![
        6 => (0..4_u64, 0..2000_u64, prop::bool::weighted(0.1))
            .prop_map(|(caller, left, alone)| Step::Arrive(caller, left, alone)),
        5 => result.prop_map(Step::Finish),
        1 => (0..50_usize).prop_map(Step::Cancel),
        3 => (0..200_u64).prop_map(Step::Advance),
        1 => Just(Step::Restart),
        1 => (1..20_u32).prop_map(Step::Slots),
    ];
    prop::collection::vec(step, 0..400)
}

proptest! {
    /// Each request gets exactly one decision, none above the limit, none is
    /// forgotten, and the queue is bounded and moves whenever there is room.
    #[test]
    fn every_request_is_decided_once(steps in steps()) {
        let mut bed = Bed::new(settings());
        for step in steps {
            match step {
                Step::Arrive(caller, left, alone) => {
                    bed.arrive_as(caller, ms(left), alone);
                }
                Step::Finish(result) => bed.finish(result),
                Step::Cancel(nth) => {
                    if let Some(&ticket) = bed.waiting.iter().nth(nth) {
                        bed.waiting.remove(&ticket);
                        bed.admission.cancel(ticket);
                    }
                }
                Step::Advance(millis) => bed.now += ms(millis),
                Step::Restart => bed.admission.restarted(bed.now),
                Step::Slots(slots) => {
                    // Lower slots hold for what starts later.
                    if slots >= bed.admission.active() {
                        bed.admission.reconfigure(AdmissionSettings { slots, ..settings() });
                    }
                }
            }
            bed.turns();
            let admission = &bed.admission;
            prop_assert_eq!(admission.queued(), bed.waiting.len());
            prop_assert_eq!(admission.active() as usize, bed.running.len());
            prop_assert!(admission.queued() <= MAX_QUEUED);
            prop_assert!(bed.running.iter().filter(|&&(_, alone)| alone).count() <= 1);
            let is_busy = admission.active() >= admission.limit();
            let is_held = admission.alone.holds_others(bed.now) && admission.active() > 0;
            let waits_alone = admission.alone.len() > 0 && admission.active() > 0;
            prop_assert!(admission.queued() == 0 || is_busy || is_held || waits_alone);
        }
    }
}

/// Load pattern: full load on an upstream that has just become cold without a sign of a restart.
#[test]
fn a_cold_upstream_gets_no_more_in_any_second_than_its_service_states() {
    const RATE: u32 = 26;
    let mut bed = Bed::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let mut starts = Vec::new();
    for step in 0..400u64 {
        if step == 100 {
            bed.admission.cold_for(ms(2_000), bed.now);
        }
        for _ in 0..2 {
            if bed.arrive(step, ms(5_000)) == Arrival::Start {
                starts.push(step);
                bed.admission.release(ms(10), false, Rank::default());
                bed.running.pop();
            }
        }
        while let Some(turn) = bed.admission.next(bed.now) {
            let (Turn::Start(ticket) | Turn::Refuse(ticket, _)) = turn;
            bed.waiting.remove(&ticket);
            if matches!(turn, Turn::Start(_)) {
                starts.push(step);
                bed.admission.release(ms(10), false, Rank::default());
            }
        }
        bed.now += ms(10);
    }
    let within = |from: u64| {
        starts
            .iter()
            .filter(|&&at| (from..from + 100).contains(&at))
            .count()
    };
    assert!(within(0) > 100, "warm: {}", within(0));
    for from in 100..200 {
        assert!(
            within(from) <= RATE as usize,
            "{} from {from} on",
            within(from)
        );
    }
    assert!(within(300) > 100, "warm again: {}", within(300));
}

/// Load pattern: an upstream loses the answers of half its requests, though it has room.
#[test]
fn failures_take_no_slots_from_an_upstream_whose_slots_are_told() {
    let mut bed = Bed::new(AdmissionSettings {
        adaptive: false,
        ramp: false,
        ..settings()
    });
    for step in 0..200 {
        let sample = Sample {
            started: bed.now,
            latency: ms(90),
            result: if step % 2 == 0 {
                SampleResult::Failed
            } else {
                SampleResult::Answered
            },
            rank: Rank::default(),
        };
        bed.now += ms(20);
        bed.admission.observe(sample, bed.now);
        assert_eq!(bed.admission.limit(), SLOTS);
    }
}

/// One upstream's admission with requests of two kinds, each of its own route.
struct Kinds {
    bed: Bed,
    kinds: std::collections::BTreeMap<QueueTicket, usize>,
    started: [u32; 2],
    refused: [u32; 2],
    running: Vec<(Instant, Rank)>,
}

impl Kinds {
    fn new() -> Self {
        Self {
            bed: Bed::new(AdmissionSettings {
                adaptive: false,
                ramp: false,
                ..settings()
            }),
            kinds: Default::default(),
            started: [0; 2],
            refused: [0; 2],
            running: Vec::new(),
        }
    }

    fn ask(&self, kind: usize, age_ms: u64) -> Ask {
        let target_ms = [100, 400][kind];
        let target = ms(target_ms.into()).checked_sub(ms(age_ms));
        Ask {
            caller: 1,
            deadline: self.bed.now + ms(1_000),
            target: Some(self.bed.now + target.unwrap_or_default()),
            patience: None,
            rank: Rank {
                is_late: target.is_none(),
                priority: 1,
                target_ms,
            },
            alone: false,
        }
    }

    fn arrive(&mut self, kind: usize, age_ms: u64) {
        let ask = self.ask(kind, age_ms);
        match self.bed.admission.arrive(ask, self.bed.now) {
            Arrival::Start => self.start(kind),
            Arrival::Wait(ticket) => {
                self.kinds.insert(ticket, kind);
            }
            Arrival::Refuse(_) => self.refused[kind] += 1,
        }
    }

    fn start(&mut self, kind: usize) {
        self.started[kind] += 1;
        let rank = self.ask(kind, 0).rank;
        let held = ms([22, 140][kind]);
        self.running.push((self.bed.now + held, rank));
    }

    fn step(&mut self) {
        self.bed.now += ms(1);
        let now = self.bed.now;
        let (ended, running): (Vec<_>, _) =
            self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        for (_, rank) in ended {
            let held = if rank.target_ms == 100 { 22 } else { 140 };
            self.bed.admission.release(ms(held), false, rank);
            let sample = Sample {
                started: now - ms(held),
                latency: ms(held),
                result: SampleResult::Answered,
                rank,
            };
            self.bed.admission.observe(sample, now);
        }
        while let Some(turn) = self.bed.admission.next(now) {
            match turn {
                Turn::Start(ticket) => self.start(self.kinds[&ticket]),
                Turn::Refuse(ticket, _) => self.refused[self.kinds[&ticket]] += 1,
            }
        }
    }
}

/// Load pattern: three times what the upstream bears, of which a third are short calls that other
/// upstreams wait for.
#[test]
fn short_calls_are_served_under_overload() {
    let mut kinds = Kinds::new();
    for step in 0..4_000 {
        if step % 5 == 0 {
            kinds.arrive(0, 0);
        }
        if step % 6 == 0 {
            kinds.arrive(1, 0);
        }
        kinds.step();
    }
    let [short, long] = kinds.started;
    assert!(short > 790, "{short} of 800 short calls");
    assert!(long > 150, "{long} long calls keep the rest of the slots");
}

/// Load pattern: callers that were refused come back beside fresh ones that can still be in time.
#[test]
fn fresh_requests_go_before_those_that_are_late_anyway() {
    let mut kinds = Kinds::new();
    let mut late = 0;
    for step in 0..4_000 {
        if step % 14 == 0 {
            kinds.arrive(1, 0);
        }
        if step % 14 == 7 {
            let before = kinds.started[1] + kinds.refused[1];
            kinds.arrive(1, 700);
            late += u32::from(kinds.started[1] + kinds.refused[1] > before);
        }
        kinds.step();
    }
    let fresh = 4_000 / 14;
    assert!(kinds.started[1] > fresh, "{}", kinds.started[1]);
    assert!(late > 50, "late requests are decided at once: {late}");
}

#[test]
fn a_request_that_can_not_be_in_time_is_refused_at_once() {
    let mut kinds = Kinds::new();
    for _ in 0..200 {
        kinds.arrive(1, 0);
        if kinds.started[1] == SLOTS {
            kinds.step();
        }
    }
    for _ in 0..200 {
        kinds.step();
    }
    let waiting = kinds.bed.admission.queued();
    for _ in 0..200 {
        kinds.arrive(1, 0);
    }
    let most = 400 / 140 * SLOTS as usize;
    assert!(kinds.bed.admission.queued() <= most, "{waiting}");
}
