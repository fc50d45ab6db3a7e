//! Order of service and refusals under overload.

use super::*;

/// Simulation of an upstream with requests of two routes: 0 has short calls, 1 has long calls.
struct TwoRoutes {
    fixture: Fixture,
    queued: std::collections::BTreeMap<QueueTicket, usize>,
    started: [u32; 2],
    refused: [u32; 2],
    running: Vec<(Instant, Rank)>,
}

impl TwoRoutes {
    fn new() -> Self {
        Self {
            fixture: Fixture::new(AdmissionSettings {
                adaptive: false,
                has_ramp: false,
                ..settings()
            }),
            queued: Default::default(),
            started: [0; 2],
            refused: [0; 2],
            running: Vec::new(),
        }
    }

    fn request(&self, route: usize, age_ms: u64) -> AdmissionRequest {
        let target_ms = [100, 400][route];
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

    fn submit(&mut self, route: usize, age_ms: u64) {
        let request = self.request(route, age_ms);
        match self.fixture.admission.submit(request, self.fixture.now) {
            AdmissionDecision::Start => self.start(route),
            AdmissionDecision::Wait(ticket) => {
                self.queued.insert(ticket, route);
            }
            AdmissionDecision::Refuse(_) => self.refused[route] += 1,
        }
    }

    fn start(&mut self, route: usize) {
        self.started[route] += 1;
        let rank = self.request(route, 0).rank;
        let held = ms([22, 140][route]);
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
        while let Some(decision) = self.fixture.admission.next_decision(now) {
            match decision {
                QueueDecision::Start(ticket) => self.start(self.queued[&ticket]),
                QueueDecision::Refuse(ticket, _) => self.refused[self.queued[&ticket]] += 1,
            }
        }
    }
}

/// Load pattern: three times the load that the upstream can handle, of which a third are short
/// calls that other upstreams wait for.
#[test]
fn short_calls_are_served_under_overload() {
    let mut routes = TwoRoutes::new();
    for step in 0..4_000 {
        if step % 5 == 0 {
            routes.submit(0, 0);
        }
        if step % 6 == 0 {
            routes.submit(1, 0);
        }
        routes.step();
    }
    let [short, long] = routes.started;
    assert!(short > 790, "{short} of 800 short calls");
    assert!(long > 150, "{long} long calls keep the rest of the slots");
}

/// Load pattern: callers that were refused retry while other requests can still meet their target.
#[test]
fn on_time_requests_are_served_before_late_ones() {
    let mut routes = TwoRoutes::new();
    let mut late = 0;
    for step in 0..4_000 {
        if step % 14 == 0 {
            routes.submit(1, 0);
        }
        if step % 14 == 7 {
            let before = routes.started[1] + routes.refused[1];
            routes.submit(1, 700);
            late += u32::from(routes.started[1] + routes.refused[1] > before);
        }
        routes.step();
    }
    let on_time = 4_000 / 14;
    assert!(routes.started[1] > on_time, "{}", routes.started[1]);
    assert!(late > 50, "late requests are decided at once: {late}");
}

#[test]
fn requests_that_would_miss_their_target_are_not_queued() {
    let mut routes = TwoRoutes::new();
    for _ in 0..200 {
        routes.submit(1, 0);
        if routes.started[1] == SLOTS {
            routes.step();
        }
    }
    for _ in 0..200 {
        routes.step();
    }
    let queued = routes.fixture.admission.queued();
    for _ in 0..200 {
        routes.submit(1, 0);
    }
    let max_queued = 400 / 140 * SLOTS as usize;
    assert!(routes.fixture.admission.queued() <= max_queued, "{queued}");
}
