//! Large answers on a small link.

use super::*;

/// Bytes a second on the link.
const RATE: u64 = 3_500_000;
/// Bytes of a large and of a short answer.
const BYTES: [u64; 2] = [280_000, 1_500];
/// Time that the upstream works on them, in milliseconds.
const WORK_MS: [u64; 2] = [180, 55];
/// Time within which their callers want them, in milliseconds.
const TARGET_MS: [u64; 2] = [1_000, 200];

/// A request that runs, or whose answer is on the link.
struct Running {
    kind: usize,
    started: Instant,
    arrived: Instant,
    expected: u64,
    length: u64,
    left: f64,
}

/// Upstream whose answers share a link evenly.
struct Uplink {
    fixture: Fixture,
    waiting: std::collections::BTreeMap<QueueTicket, (usize, Instant)>,
    running: Vec<Running>,
    in_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

impl Uplink {
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

    /// Plays milliseconds with a request of each kind every so many of them.
    fn play(mut self, millis: u64, every: [u64; 2]) -> Self {
        for step in 0..millis {
            for (kind, every) in every.into_iter().enumerate() {
                if step % every == 0 {
                    self.arrive(kind);
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

    fn arrive(&mut self, kind: usize) {
        self.arrive_after(kind, 0);
    }

    /// Lets a request arrive whose caller has waited before; returns whether it was let in.
    fn arrive_after(&mut self, kind: usize, waited_ms: u64) -> bool {
        let now = self.fixture.now;
        let ask = AdmissionRequest {
            caller: 1,
            deadline: now + ms(2_500),
            target: Some(now + ms(TARGET_MS[kind] - waited_ms)),
            expires_at: None,
            rank: Self::rank(kind),
            alone: false,
        };
        match self.fixture.admission.submit(ask, now) {
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
        let length = BYTES[kind] / 2 + BYTES[kind] * (self.in_time[0] as u64 % 11) / 10;
        self.running.push(Running {
            kind,
            started: self.fixture.now,
            arrived,
            expected: self.fixture.admission.expect_response(Self::rank(kind)),
            length,
            left: length as f64,
        });
    }

    fn step(&mut self) {
        self.fixture.now += ms(1);
        let now = self.fixture.now;
        let is_ready = |run: &Running| now >= run.started + ms(WORK_MS[run.kind]);
        let sending = self.running.iter().filter(|run| is_ready(run)).count();
        let share = RATE as f64 / 1_000.0 / sending.max(1) as f64;
        for run in self.running.iter_mut().filter(|run| is_ready(run)) {
            run.left -= share;
            let left = run.left.max(0.0) as u64;
            self.fixture.admission.update_response(run.expected, left);
            run.expected = left;
        }
        let (ended, running): (Vec<_>, _) = self.running.drain(..).partition(|run| run.left <= 0.0);
        self.running = running;
        ended.iter().for_each(|run| self.end(run));
        while let Some(turn) = self.fixture.admission.next_decision(now) {
            match turn {
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

/// Load pattern: downloads of a third more bytes than the link carries, beside short calls that
/// other upstreams wait for.
#[test]
fn downloads_come_in_time_though_the_link_can_not_carry_all() {
    let carried = RATE / BYTES[0] * 20;
    let ours = Uplink::new(Some(RATE)).play(20_000, [60, 15]);
    let [downloads, short] = ours.in_time;
    assert!(
        u64::from(downloads) * 100 >= carried * 85,
        "{downloads} of {carried}"
    );
    assert!(
        short * 100 >= 20_000 / 15 * 98,
        "{short} of {}",
        20_000 / 15
    );
    assert!(ours.late[0] * 20 <= downloads, "{} late", ours.late[0]);

    let blind = Uplink::new(None).play(20_000, [60, 15]);
    assert!(
        blind.in_time[0] < downloads / 2,
        "{} without",
        blind.in_time[0]
    );
}

/// Load pattern: downloads of nine tenths of what the link carries.
#[test]
fn no_download_is_refused_while_the_link_carries_all() {
    let ours = Uplink::new(Some(RATE)).play(20_000, [89, 30]);
    let [downloads, _] = ours.in_time;
    let offered = 20_000 / 89;
    assert!(downloads * 100 >= offered * 95, "{downloads} of {offered}");
    assert_eq!(ours.refused[1], 0);
}

/// Load pattern: beside downloads of three quarters of what the link carries, callers that were
/// refused come back with less time than an answer takes.
#[test]
fn downloads_that_will_be_late_take_room_that_nobody_else_wants() {
    let mut ours = Uplink::new(Some(RATE)).play(5_000, [107, 30]);
    let mut served = 0;
    for _ in 0..100 {
        ours = ours.play(500, [107, 30]);
        served += u32::from(ours.arrive_after(0, 850));
    }
    assert!(served >= 90, "{served} of 100");
}
