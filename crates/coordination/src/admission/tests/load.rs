//! Simulates an upstream under load, event by event and without a clock of its own.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::*;

/// Upstream that serves `capacity` requests at once in `service` time; more
/// at once share it.
struct Load {
    capacity: u32,
    service: Duration,
    gap: Duration,
    left: Duration,
    total: Duration,
}

impl Load {
    /// Returns how many answers in a second came in time.
    fn goodput(&self, settings: AdmissionSettings) -> f64 {
        let mut fixture = Fixture::new(settings);
        let begin = fixture.now;
        let mut arrival = begin;
        let mut ends = BinaryHeap::new();
        let mut deadlines = std::collections::BTreeMap::new();
        let mut good = 0;
        while fixture.now < begin + self.total {
            let end = ends.peek().map(|&Reverse((at, _, _))| at);
            if end.is_some_and(|end| end <= arrival) {
                let Some(Reverse((at, started, deadline))) = ends.pop() else {
                    break;
                };
                fixture.now = at;
                good += u32::from(at <= deadline && at > begin + self.total / 2);
                fixture
                    .admission
                    .release(at - started, false, Rank::default());
                let sample = Sample {
                    started,
                    latency: at - started,
                    result: SampleResult::Answered,
                    rank: Rank::default(),
                };
                fixture.admission.observe(sample, at);
            } else {
                fixture.now = arrival;
                arrival += self.gap;
                let deadline = fixture.now + self.left;
                match fixture.arrive(1, self.left) {
                    AdmissionDecision::Start => ends.push(self.start(&fixture, deadline)),
                    AdmissionDecision::Wait(ticket) => {
                        deadlines.insert(ticket, deadline);
                    }
                    AdmissionDecision::Refuse(_) => {}
                }
            }
            for turn in fixture.turns() {
                if let QueueDecision::Start(ticket) = turn {
                    ends.push(self.start(&fixture, deadlines[&ticket]));
                }
            }
        }
        f64::from(good) / (self.total / 2).as_secs_f64()
    }

    fn start(&self, fixture: &Fixture, deadline: Instant) -> Reverse<(Instant, Instant, Instant)> {
        let active = fixture.admission.active();
        let share = f64::from(active.max(self.capacity)) / f64::from(self.capacity);
        Reverse((
            fixture.now + self.service.mul_f64(share),
            fixture.now,
            deadline,
        ))
    }
}

#[test]
fn goodput_stays_near_the_peak_at_three_times_the_load() {
    let load = |times: f64| Load {
        capacity: SLOTS,
        service: ms(10),
        gap: ms(10).div_f64(f64::from(SLOTS) * times),
        left: ms(500),
        total: ms(20_000),
    };
    let peak = load(1.0).goodput(settings());
    let overload = load(3.0).goodput(settings());
    assert!(peak > 1100.0, "{peak}");
    assert!(overload >= 0.95 * peak, "{overload} of {peak}");
}

#[test]
fn the_limit_finds_a_capacity_below_the_slots() {
    let load = Load {
        capacity: 3,
        service: ms(10),
        gap: ms(1),
        left: ms(60),
        total: ms(20_000),
    };
    let adaptive = load.goodput(settings());
    let fixed = load.goodput(AdmissionSettings {
        adaptive: false,
        ..settings()
    });
    assert!(adaptive > 270.0, "{adaptive}, {fixed} without");
}
