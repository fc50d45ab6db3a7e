//! Event-driven simulation of an upstream under load, with a simulated clock.

use std::{cmp::Reverse, collections::BinaryHeap};

use super::*;

/// Simulation of an upstream that serves up to `capacity` requests at once in `service_time` each;
/// more requests share this capacity and take longer.
struct LoadSimulation {
    capacity: u32,
    service_time: Duration,
    arrival_interval: Duration,
    timeout: Duration,
    duration: Duration,
}

impl LoadSimulation {
    /// Returns how many responses per second met their deadline.
    fn goodput(&self, settings: AdmissionSettings) -> f64 {
        let mut fixture = Fixture::new(settings);
        let started_at = fixture.now;
        let mut next_arrival = started_at;
        let mut ends = BinaryHeap::new();
        let mut deadlines = std::collections::BTreeMap::new();
        let mut on_time = 0;
        while fixture.now < started_at + self.duration {
            let end = ends.peek().map(|&Reverse((at, _, _))| at);
            if end.is_some_and(|end| end <= next_arrival) {
                let Some(Reverse((at, started, deadline))) = ends.pop() else {
                    break;
                };
                fixture.now = at;
                on_time += u32::from(at <= deadline && at > started_at + self.duration / 2);
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
                fixture.now = next_arrival;
                next_arrival += self.arrival_interval;
                let deadline = fixture.now + self.timeout;
                match fixture.submit(1, self.timeout) {
                    AdmissionDecision::Start => ends.push(self.completion(&fixture, deadline)),
                    AdmissionDecision::Wait(ticket) => {
                        deadlines.insert(ticket, deadline);
                    }
                    AdmissionDecision::Refuse(_) => {}
                }
            }
            for decision in fixture.take_decisions() {
                if let QueueDecision::Start(ticket) = decision {
                    ends.push(self.completion(&fixture, deadlines[&ticket]));
                }
            }
        }
        f64::from(on_time) / (self.duration / 2).as_secs_f64()
    }

    fn completion(
        &self,
        fixture: &Fixture,
        deadline: Instant,
    ) -> Reverse<(Instant, Instant, Instant)> {
        let active = fixture.admission.active();
        let share = f64::from(active.max(self.capacity)) / f64::from(self.capacity);
        Reverse((
            fixture.now + self.service_time.mul_f64(share),
            fixture.now,
            deadline,
        ))
    }
}

#[test]
fn goodput_stays_near_the_peak_at_three_times_the_load() {
    let load = |times: f64| LoadSimulation {
        capacity: SLOTS,
        service_time: ms(10),
        arrival_interval: ms(10).div_f64(f64::from(SLOTS) * times),
        timeout: ms(500),
        duration: ms(20_000),
    };
    let peak = load(1.0).goodput(settings());
    let overload = load(3.0).goodput(settings());
    assert!(peak > 1100.0, "{peak}");
    assert!(overload >= 0.95 * peak, "{overload} of {peak}");
}

#[test]
fn the_adaptive_limit_finds_a_capacity_below_the_slots() {
    let load = LoadSimulation {
        capacity: 3,
        service_time: ms(10),
        arrival_interval: ms(1),
        timeout: ms(60),
        duration: ms(20_000),
    };
    let adaptive = load.goodput(settings());
    let fixed = load.goodput(AdmissionSettings {
        adaptive: false,
        ..settings()
    });
    assert!(adaptive > 270.0, "{adaptive} adaptive, {fixed} fixed");
}
