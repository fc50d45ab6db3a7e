mod cold;
mod link;
mod load;
mod rank;
mod slowdown;
mod stated;

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::*;

const SLOTS: u32 = 12;

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        slots: SLOTS,
        adaptive: true,
        has_limit: true,
        has_ramp: true,
        cold_per_second: None,
        cold_burst: None,
        link_rate: None,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An admission control with a simulated clock and the requests that it queued and started.
struct Fixture {
    admission: Admission,
    now: Instant,
    waiting: BTreeSet<QueueTicket>,
    running: Vec<(Instant, bool)>,
    alone: BTreeSet<QueueTicket>,
}

impl Fixture {
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

    fn submit(&mut self, caller: u64, timeout: Duration) -> AdmissionDecision {
        self.submit_as(caller, timeout, false)
    }

    fn submit_as(&mut self, caller: u64, timeout: Duration, alone: bool) -> AdmissionDecision {
        let deadline = self.now + timeout;
        let request = AdmissionRequest {
            caller,
            deadline,
            target: None,
            expires_at: None,
            rank: Rank::default(),
            alone,
        };
        let decision = self.admission.submit(request, self.now);
        match decision {
            AdmissionDecision::Start => self.running.push((self.now, alone)),
            AdmissionDecision::Wait(ticket) => {
                assert!(self.waiting.insert(ticket));
                if alone {
                    self.alone.insert(ticket);
                }
            }
            AdmissionDecision::Refuse(_) => {}
        }
        decision
    }

    /// Takes all decisions that are due and checks that each ticket gets one.
    fn take_decisions(&mut self) -> Vec<QueueDecision> {
        let mut decisions = Vec::new();
        while let Some(decision) = self.admission.next_decision(self.now) {
            let ticket = match decision {
                QueueDecision::Start(ticket) => {
                    assert!(self.admission.active() <= self.admission.limit());
                    self.running.push((self.now, self.alone.contains(&ticket)));
                    ticket
                }
                QueueDecision::Refuse(ticket, _) => ticket,
            };
            assert!(self.waiting.remove(&ticket), "a ticket gets one decision");
            decisions.push(decision);
        }
        decisions
    }

    /// Finishes the oldest running request.
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

    /// Runs batches of as many parallel requests as the limit allows, each with the given latency.
    fn run_for(&mut self, time: Duration, latency: Duration) {
        let end = self.now + time;
        while self.now < end {
            while self.running.len() < self.admission.limit() as usize {
                assert_eq!(self.submit(1, ms(10_000)), AdmissionDecision::Start);
            }
            self.now += latency;
            while !self.running.is_empty() {
                self.finish(SampleResult::Answered);
            }
        }
    }
}

#[test]
fn a_new_upstream_starts_with_one_request() {
    let mut fixture = Fixture::new(settings());
    assert_eq!(fixture.submit(1, ms(1000)), AdmissionDecision::Start);
    assert!(matches!(
        fixture.submit(1, ms(1000)),
        AdmissionDecision::Wait(_)
    ));
    assert_eq!(fixture.admission.active(), 1);
}

#[test]
fn the_ramp_reaches_all_slots_while_requests_succeed() {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(1000), ms(5));
    assert!(
        (3..=8).contains(&fixture.admission.limit()),
        "{}",
        fixture.admission.limit()
    );
    fixture.run_for(ms(4000), ms(5));
    assert_eq!(
        (
            fixture.admission.limit(),
            fixture.admission.is_cold(fixture.now)
        ),
        (SLOTS, false)
    );
}

#[test]
fn failures_within_a_step_halve_the_ramp_limit_once() {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(1500), ms(5));
    let before = fixture.admission.limit();
    for _ in 0..before {
        fixture.submit(1, ms(1000));
    }
    fixture.now += ms(5);
    for _ in 0..before {
        fixture.finish(SampleResult::Shed);
    }
    assert_eq!(fixture.admission.limit(), before / 2);
}

#[test]
fn slower_responses_pause_the_ramp() {
    let mut fixture = Fixture::new(AdmissionSettings {
        adaptive: false,
        ..settings()
    });
    fixture.run_for(ms(1000), ms(5));
    let before = fixture.admission.limit();
    fixture.run_for(ms(400), ms(60));
    assert_eq!(fixture.admission.limit(), before);
}

#[test]
fn a_lasting_latency_increase_does_not_keep_the_limit_low() {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(5000), ms(5));
    fixture.run_for(ms(10_000), ms(60));
    assert_eq!(fixture.admission.limit(), SLOTS);
}

#[test]
fn a_refused_connection_pauses_all_requests() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(1, ms(1000));
    fixture.submit(1, ms(1000));
    fixture.finish(SampleResult::Refused);
    assert!(matches!(
        fixture.take_decisions()[..],
        [QueueDecision::Refuse(
            _,
            Rejection {
                cause: RejectionCause::Down,
                ..
            }
        )]
    ));
    assert!(matches!(
        fixture.submit(1, ms(1000)),
        AdmissionDecision::Refuse(Rejection {
            cause: RejectionCause::Down,
            ..
        })
    ));
    fixture.now += ms(25);
    assert_eq!(fixture.submit(1, ms(1000)), AdmissionDecision::Start);
}

#[test]
fn a_burst_of_shed_requests_restarts_the_ramp() {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(5000), ms(5));
    for _ in 0..SHED_BURST {
        fixture.submit(1, ms(1000));
    }
    for _ in 0..SHED_BURST {
        fixture.finish(SampleResult::Shed);
    }
    assert!(fixture.admission.is_cold(fixture.now));
    assert_eq!(fixture.admission.limit(), 1);
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(1, ms(1000));
    fixture.now += ms(50);
    fixture.finish(SampleResult::Answered);
    fixture.submit(1, ms(1000));
    fixture.submit(1, ms(1000));
    assert!(matches!(
        fixture.submit(1, ms(60)),
        AdmissionDecision::Refuse(Rejection {
            cause: RejectionCause::DeadlineExceeded,
            ..
        })
    ));
}

#[test]
fn a_queued_request_that_would_miss_its_deadline_is_not_started() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(1, ms(1000));
    fixture.submit(1, ms(40));
    fixture.now += ms(50);
    fixture.finish(SampleResult::Answered);
    assert!(matches!(
        fixture.take_decisions()[..],
        [QueueDecision::Refuse(
            _,
            Rejection {
                cause: RejectionCause::DeadlineExceeded,
                ..
            }
        )]
    ));
}

#[test]
fn one_caller_cannot_starve_another() {
    let mut fixture = Fixture::new(settings());
    fixture.submit(1, ms(9000));
    fixture.now += ms(20);
    fixture.finish(SampleResult::Answered);
    for _ in 0..100 {
        fixture.submit(1, ms(9000));
    }
    let AdmissionDecision::Wait(ticket) = fixture.submit(2, ms(9000)) else {
        panic!("the request of the other caller must be queued");
    };
    let evicted = fixture.take_decisions();
    assert!(matches!(
        evicted[..],
        [QueueDecision::Refuse(
            _,
            Rejection {
                cause: RejectionCause::QueueFull,
                ..
            }
        )]
    ));
    let mut started = Vec::new();
    for _ in 0..2 {
        fixture.now += ms(20);
        fixture.finish(SampleResult::Answered);
        started.extend(fixture.take_decisions());
    }
    assert!(
        started.contains(&QueueDecision::Start(ticket)),
        "{started:?}"
    );
}

#[test]
fn a_suspect_runs_alone_and_blocks_others_for_a_limited_time() {
    let mut fixture = Fixture::new(settings());
    fixture.run_for(ms(5000), ms(5));
    fixture.submit(1, ms(9000));
    assert!(matches!(
        fixture.submit_as(2, ms(9000), true),
        AdmissionDecision::Wait(_)
    ));
    assert!(matches!(
        fixture.submit(1, ms(9000)),
        AdmissionDecision::Wait(_)
    ));
    fixture.now += ms(5);
    fixture.finish(SampleResult::Answered);
    assert!(matches!(
        fixture.take_decisions()[..],
        [QueueDecision::Start(_)]
    ));
    let mark = fixture.admission.start_mark();
    assert!(fixture.admission.ran_alone(mark));
    fixture.now += AFTER_MAX_BLOCK;
    assert!(matches!(
        fixture.take_decisions()[..],
        [QueueDecision::Start(_)]
    ));
    assert!(!fixture.admission.ran_alone(mark));
}

/// Time after which a suspect request no longer blocks others.
const AFTER_MAX_BLOCK: Duration = Duration::from_millis(300);

#[test]
fn every_request_starts_without_a_limit() {
    let mut fixture = Fixture::new(AdmissionSettings {
        has_limit: false,
        ..settings()
    });
    for _ in 0..100 {
        assert_eq!(fixture.submit(1, ms(1)), AdmissionDecision::Start);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u64, u64, bool),
    Finish(SampleResult),
    Cancel(usize),
    Advance(u64),
    Restart,
    SetSlots(u32),
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
            .prop_map(|(caller, timeout, alone)| Step::Submit(caller, timeout, alone)),
        5 => result.prop_map(Step::Finish),
        1 => (0..50_usize).prop_map(Step::Cancel),
        3 => (0..200_u64).prop_map(Step::Advance),
        1 => Just(Step::Restart),
        1 => (1..20_u32).prop_map(Step::SetSlots),
    ];
    prop::collection::vec(step, 0..400)
}

proptest! {
    /// Each request gets exactly one decision, no request starts above the limit, none is lost, and
    /// the queue is bounded and is served whenever there is capacity.
    #[test]
    fn every_request_gets_one_decision(steps in steps()) {
        let mut fixture = Fixture::new(settings());
        for step in steps {
            match step {
                Step::Submit(caller, timeout, alone) => {
                    fixture.submit_as(caller, ms(timeout), alone);
                }
                Step::Finish(result) => fixture.finish(result),
                Step::Cancel(nth) => {
                    if let Some(&ticket) = fixture.waiting.iter().nth(nth) {
                        fixture.waiting.remove(&ticket);
                        fixture.admission.cancel(ticket);
                    }
                }
                Step::Advance(millis) => fixture.now += ms(millis),
                Step::Restart => fixture.admission.record_restart(fixture.now),
                Step::SetSlots(slots) => {
                    // Lower slots only apply to requests that start later.
                    if slots >= fixture.admission.active() {
                        fixture.admission.reconfigure(AdmissionSettings { slots, ..settings() });
                    }
                }
            }
            fixture.take_decisions();
            let admission = &fixture.admission;
            prop_assert_eq!(admission.queued(), fixture.waiting.len());
            prop_assert_eq!(admission.active() as usize, fixture.running.len());
            prop_assert!(admission.queued() <= MAX_QUEUED);
            prop_assert!(fixture.running.iter().filter(|&&(_, alone)| alone).count() <= 1);
            let is_at_limit = admission.active() >= admission.limit();
            let is_blocked = admission.alone_queue.blocks_others(fixture.now) && admission.active() > 0;
            let waits_alone = admission.alone_queue.len() > 0 && admission.active() > 0;
            prop_assert!(admission.queued() == 0 || is_at_limit || is_blocked || waits_alone);
        }
    }
}

/// Load pattern: an upstream fails half of its requests although it has free capacity.
#[test]
fn failures_do_not_lower_the_limit_of_reported_slots() {
    let mut fixture = Fixture::new(AdmissionSettings {
        adaptive: false,
        has_ramp: false,
        ..settings()
    });
    for step in 0..200 {
        let sample = Sample {
            started: fixture.now,
            latency: ms(90),
            result: if step % 2 == 0 {
                SampleResult::Failed
            } else {
                SampleResult::Answered
            },
            rank: Rank::default(),
        };
        fixture.now += ms(20);
        fixture.admission.observe(sample, fixture.now);
        assert_eq!(fixture.admission.limit(), SLOTS);
    }
}
