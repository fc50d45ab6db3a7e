//! Large responses on a slow link.

use super::*;

/// Bandwidth of the link.
const LINK_BYTES_PER_SECOND: u64 = 3_500_000;
/// Mean size of a large and of a small response in bytes.
const RESPONSE_BYTES: [u64; 2] = [280_000, 1_500];
/// Time in milliseconds until the upstream starts to send such a response.
const WORK_MS: [u64; 2] = [180, 55];
/// Target latency of such a request in milliseconds.
const TARGET_MS: [u64; 2] = [1_000, 200];

/// A request that runs, or whose response is being sent.
struct Running {
    kind: usize,
    started: Instant,
    arrived: Instant,
    expected: u64,
    length: u64,
    bytes_left: f64,
}

/// Simulation of an upstream whose responses share the bandwidth of a link equally.
struct LinkSimulation {
    fixture: Fixture,
    waiting: std::collections::BTreeMap<QueueTicket, (usize, Instant)>,
    running: Vec<Running>,
    in_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

impl LinkSimulation {
    fn new(link_rate: Option<u64>) -> Self {
        let fixture = Fixture::new(AdmissionSettings {
            adaptive: false,
            has_ramp: false,
            link_rate,
            ..settings()
        });
        Self {
            fixture,
            waiting: Default::default(),
            running: Vec::new(),
            in_time: [0; 2],
            late: [0; 2],
            refused: [0; 2],
        }
    }

    /// Runs the simulation for `millis` milliseconds; `intervals` are the times in milliseconds
    /// between requests of each kind.
    fn run_for(mut self, millis: u64, intervals: [u64; 2]) -> Self {
        for step in 0..millis {
            for (kind, interval) in intervals.into_iter().enumerate() {
                if step % interval == 0 {
                    self.submit(kind);
                }
            }
            self.step();
        }
        self
    }

    fn rank(kind: usize) -> Rank {
        Rank {
            is_late: false,
            priority: 2,
            target_ms: u32::try_from(TARGET_MS[kind]).unwrap(),
        }
    }

    fn submit(&mut self, kind: usize) {
        self.submit_after(kind, 0);
    }

    /// Submits a request whose caller has already waited; returns whether it was not refused.
    fn submit_after(&mut self, kind: usize, waited_ms: u64) -> bool {
        let now = self.fixture.now;
        let request = AdmissionRequest {
            caller: 1,
            deadline: now + ms(2_500),
            target: Some(now + ms(TARGET_MS[kind] - waited_ms)),
            expires_at: None,
            rank: Self::rank(kind),
            alone: false,
        };
        match self.fixture.admission.submit(request, now) {
            AdmissionDecision::Start => self.start(kind, now),
            AdmissionDecision::Wait(ticket) => {
                self.waiting.insert(ticket, (kind, now));
            }
            AdmissionDecision::Refuse(_) => {
                self.refused[kind] += 1;
                return false;
            }
        }
        true
    }

    fn start(&mut self, kind: usize, arrived: Instant) {
        // Lengths vary by half around the mean.
        let length =
            RESPONSE_BYTES[kind] / 2 + RESPONSE_BYTES[kind] * (self.in_time[0] as u64 % 11) / 10;
        self.running.push(Running {
            kind,
            started: self.fixture.now,
            arrived,
            expected: self.fixture.admission.expect_response(Self::rank(kind)),
            length,
            bytes_left: length as f64,
        });
    }

    fn step(&mut self) {
        self.fixture.now += ms(1);
        let now = self.fixture.now;
        let is_sending = |run: &Running| now >= run.started + ms(WORK_MS[run.kind]);
        let sending = self.running.iter().filter(|run| is_sending(run)).count();
        let share = LINK_BYTES_PER_SECOND as f64 / 1_000.0 / sending.max(1) as f64;
        for run in self.running.iter_mut().filter(|run| is_sending(run)) {
            run.bytes_left -= share;
            let bytes_left = run.bytes_left.max(0.0) as u64;
            self.fixture
                .admission
                .update_response(run.expected, bytes_left);
            run.expected = bytes_left;
        }
        let (ended, running): (Vec<_>, _) = self
            .running
            .drain(..)
            .partition(|run| run.bytes_left <= 0.0);
        self.running = running;
        ended.iter().for_each(|run| self.end(run));
        while let Some(decision) = self.fixture.admission.next_decision(now) {
            match decision {
                QueueDecision::Start(ticket) => {
                    let (kind, arrived) = self.waiting.remove(&ticket).unwrap();
                    self.start(kind, arrived);
                }
                QueueDecision::Refuse(ticket, _) => {
                    let (kind, _) = self.waiting.remove(&ticket).unwrap();
                    self.refused[kind] += 1;
                }
            }
        }
    }

    fn end(&mut self, run: &Running) {
        let now = self.fixture.now;
        let rank = Self::rank(run.kind);
        let admission = &mut self.fixture.admission;
        admission.update_response(run.expected, 0);
        admission.record_length(rank, run.length);
        admission.release(now - run.started, false, rank);
        let sample = Sample {
            started: run.started,
            latency: ms(WORK_MS[run.kind]),
            result: SampleResult::Answered,
            rank,
        };
        admission.observe(sample, now);
        let is_in_time = now <= run.arrived + ms(TARGET_MS[run.kind]);
        let count = if is_in_time {
            &mut self.in_time
        } else {
            &mut self.late
        };
        count[run.kind] += 1;
    }
}

/// Load pattern: downloads need a third more bandwidth than the link has, while other upstreams
/// wait for short calls.
#[test]
fn downloads_meet_their_target_on_an_overloaded_link() {
    let capacity = LINK_BYTES_PER_SECOND / RESPONSE_BYTES[0] * 20;
    let simulation = LinkSimulation::new(Some(LINK_BYTES_PER_SECOND)).run_for(20_000, [60, 15]);
    let [downloads, short] = simulation.in_time;
    assert!(
        u64::from(downloads) * 100 >= capacity * 85,
        "{downloads} of {capacity}"
    );
    assert!(
        short * 100 >= 20_000 / 15 * 98,
        "{short} of {}",
        20_000 / 15
    );
    assert!(
        simulation.late[0] * 20 <= downloads,
        "{} late",
        simulation.late[0]
    );

    let unmanaged = LinkSimulation::new(None).run_for(20_000, [60, 15]);
    assert!(
        unmanaged.in_time[0] < downloads / 2,
        "{} without a link rate",
        unmanaged.in_time[0]
    );
}

/// Load pattern: downloads use nine tenths of the link capacity.
#[test]
fn downloads_are_served_below_the_link_capacity() {
    let simulation = LinkSimulation::new(Some(LINK_BYTES_PER_SECOND)).run_for(20_000, [89, 30]);
    let [downloads, _] = simulation.in_time;
    let offered = 20_000 / 89;
    assert!(downloads * 100 >= offered * 95, "{downloads} of {offered}");
    assert_eq!(simulation.refused[1], 0);
}

/// Load pattern: downloads use three quarters of the link capacity, and callers that were refused
/// retry with less time left than a response takes.
#[test]
fn late_downloads_use_free_link_capacity() {
    let mut simulation = LinkSimulation::new(Some(LINK_BYTES_PER_SECOND)).run_for(5_000, [107, 30]);
    let mut served = 0;
    for _ in 0..100 {
        simulation = simulation.run_for(500, [107, 30]);
        served += u32::from(simulation.submit_after(0, 850));
    }
    assert!(served >= 90, "{served} of 100");
}
