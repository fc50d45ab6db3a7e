//! Who waits and who is refused under overload.

use super::*;

/// One upstream's admission with requests of two kinds, each of its own route.
struct Kinds {
    fixture: Fixture,
    kinds: std::collections::BTreeMap<QueueTicket, usize>,
    started: [u32; 2],
    refused: [u32; 2],
    running: Vec<(Instant, Rank)>,
}

impl Kinds {
    fn new() -> Self {
        Self {
            fixture: Fixture::new(AdmissionSettings {
                adaptive: false,
                has_ramp: false,
                ..settings()
            }),
            kinds: Default::default(),
            started: [0; 2],
            refused: [0; 2],
            running: Vec::new(),
        }
    }

    fn ask(&self, kind: usize, age_ms: u64) -> AdmissionRequest {
        let target_ms = [100, 400][kind];
        let target = ms(target_ms.into()).checked_sub(ms(age_ms));
        AdmissionRequest {
            caller: 1,
            deadline: self.fixture.now + ms(1_000),
            target: Some(self.fixture.now + target.unwrap_or_default()),
            expires_at: None,
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
        match self.fixture.admission.submit(ask, self.fixture.now) {
            AdmissionDecision::Start => self.start(kind),
            AdmissionDecision::Wait(ticket) => {
                self.kinds.insert(ticket, kind);
            }
            AdmissionDecision::Refuse(_) => self.refused[kind] += 1,
        }
    }

    fn start(&mut self, kind: usize) {
        self.started[kind] += 1;
        let rank = self.ask(kind, 0).rank;
        let held = ms([22, 140][kind]);
        self.running.push((self.fixture.now + held, rank));
    }

    fn step(&mut self) {
        self.fixture.now += ms(1);
        let now = self.fixture.now;
        let (ended, running): (Vec<_>, _) =
            self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        for (_, rank) in ended {
            let held = if rank.target_ms == 100 { 22 } else { 140 };
            self.fixture.admission.release(ms(held), false, rank);
            let sample = Sample {
                started: now - ms(held),
                latency: ms(held),
                result: SampleResult::Answered,
                rank,
            };
            self.fixture.admission.observe(sample, now);
        }
        while let Some(turn) = self.fixture.admission.next_decision(now) {
            match turn {
                QueueDecision::Start(ticket) => self.start(self.kinds[&ticket]),
                QueueDecision::Refuse(ticket, _) => self.refused[self.kinds[&ticket]] += 1,
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
    let waiting = kinds.fixture.admission.queued();
    for _ in 0..200 {
        kinds.arrive(1, 0);
    }
    let most = 400 / 140 * SLOTS as usize;
    assert!(kinds.fixture.admission.queued() <= most, "{waiting}");
}
