//! Upstreams that state a limit on their requests.

use super::*;

/// Length of a step of the simulated clock.
const STEP: Duration = Duration::from_millis(10);

struct Load {
    fixture: Fixture,
    starts: Vec<Instant>,
}

impl Load {
    fn new(settings: AdmissionSettings) -> Self {
        Self {
            fixture: Fixture::new(AdmissionSettings {
                has_ramp: false,
                ..settings
            }),
            starts: Vec::new(),
        }
    }

    fn state(&mut self, rate: f64) -> bool {
        let limit = StatedLimit::Rate(RequestRate::new(rate).unwrap());
        self.record(limit, self.fixture.now)
    }

    fn record(&mut self, limit: StatedLimit, sent_at: Instant) -> bool {
        let now = self.fixture.now;
        let admission = &mut self.fixture.admission;
        admission.record_stated_limit(limit, sent_at, now)
    }

    /// Submits two requests in each step, which end at once.
    fn run(&mut self, time: Duration) {
        let end = self.fixture.now + time;
        while self.fixture.now < end {
            for caller in 0..2 {
                if self.fixture.submit(caller, ms(300)) == AdmissionDecision::Start {
                    self.end_request();
                }
            }
            while let Some(decision) = self.fixture.admission.next_decision(self.fixture.now) {
                let (QueueDecision::Start(ticket) | QueueDecision::Refuse(ticket, _)) = decision;
                self.fixture.waiting.remove(&ticket);
                if matches!(decision, QueueDecision::Start(_)) {
                    self.end_request();
                }
            }
            self.fixture.now += STEP;
        }
    }

    fn end_request(&mut self) {
        self.starts.push(self.fixture.now);
        let admission = &mut self.fixture.admission;
        admission.release(ms(10), false, Rank::default());
        self.fixture.running.pop();
    }

    /// Returns the most starts within any period of a length that begins at or after `from`.
    fn most_within(&self, period: Duration, from: Instant) -> usize {
        let firsts = self.starts.iter().filter(|at| **at >= from);
        let counts = firsts.map(|first| {
            let within = |at: &&Instant| **at >= *first && **at < *first + period;
            self.starts.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }

    fn starts_since(&self, from: Instant) -> usize {
        self.starts.iter().filter(|at| **at >= from).count()
    }
}

/// Load pattern: a service at full load, one upstream of which asks for less.
#[test]
fn starts_in_any_second_do_not_exceed_the_stated_limit() {
    for (rate, per_second) in [(15.9, 16), (1.7, 2), (0.4, 1), (100.0, 100)] {
        let mut load = Load::new(settings());
        load.run(ms(2_000));
        assert!(load.starts.len() > 200, "{} starts", load.starts.len());
        load.state(rate);
        let stated_at = load.fixture.now;
        load.run(ms(20_000));
        let most = load.most_within(ms(1_000), stated_at);
        assert!(most <= per_second, "{most} starts in a second at {rate}");
        let starts = load.starts_since(stated_at) as f64;
        assert!(starts >= 0.85 * 20.0 * rate, "{starts} starts at {rate}");
    }
}

/// Load pattern: an upstream takes back more and more of what it accepts, then recovers.
#[test]
fn a_limit_that_falls_covers_the_second_in_which_it_becomes_known() {
    let mut load = Load::new(settings());
    load.state(60.0);
    load.run(ms(3_000));
    for rate in [20.0, 3.0] {
        load.state(rate);
        let from = load.fixture.now;
        load.run(ms(3_000));
        let most = load.most_within(ms(1_000), from);
        assert!(most <= rate as usize, "{most} starts in a second at {rate}");
    }
    load.state(50.0);
    let from = load.fixture.now;
    load.run(ms(1_000));
    assert!(load.starts_since(from) >= 40);
}

/// Load pattern: answers of an upstream overtake each other while its limit changes.
#[test]
fn answers_to_earlier_requests_do_not_raise_the_limit() {
    let mut load = Load::new(settings());
    let sent_at = load.fixture.now;
    load.fixture.now += STEP;
    assert!(load.state(5.0));
    let limit = |load: &Load| load.fixture.admission.stated_limit().unwrap().per_second();
    for late in [
        StatedLimit::None,
        StatedLimit::Rate(RequestRate::new(9.0).unwrap()),
    ] {
        assert!(!load.record(late, sent_at));
        assert_eq!(limit(&load), 5.0);
    }
    let lower = StatedLimit::Rate(RequestRate::new(2.0).unwrap());
    assert!(load.record(lower, sent_at));
    assert_eq!(limit(&load), 2.0);
    load.fixture.now += STEP;
    assert!(load.state(9.0));
    assert!(!load.record(StatedLimit::Unusable, load.fixture.now));
    assert_eq!(limit(&load), 9.0);
    load.fixture.now += STEP;
    assert!(load.record(StatedLimit::None, load.fixture.now));
    assert_eq!(load.fixture.admission.stated_limit(), None);
}

/// Load pattern: an upstream accepts nothing for a time; only an answer can tell that this is over.
#[test]
fn an_upstream_that_accepts_nothing_gets_a_request_every_few_seconds() {
    let mut load = Load::new(settings());
    load.state(0.0);
    load.run(ms(20_000));
    assert!((2..=5).contains(&load.starts.len()), "{:?}", load.starts);
    let refusal = load.fixture.submit(1, ms(300));
    let AdmissionDecision::Refuse(rejection) = refusal else {
        panic!("{refusal:?}");
    };
    assert!(rejection.retry_after > ms(300), "{rejection:?}");
}

/// Load pattern: the sidecar process of an upstream under full load restarts.
#[test]
fn an_upstream_that_was_not_heard_gets_one_request_at_a_time() {
    let mut load = Load::new(settings());
    let fixture = &mut load.fixture;
    fixture.admission.await_first_answer();
    fixture.now += ms(5_000);
    assert_eq!(fixture.submit(1, ms(100)), AdmissionDecision::Start);
    assert_ne!(fixture.submit(1, ms(100)), AdmissionDecision::Start);
    assert_eq!(fixture.admission.next_decision(fixture.now), None);
    assert!(!load.record(StatedLimit::None, load.fixture.now));
    let fixture = &mut load.fixture;
    assert!(fixture.admission.next_decision(fixture.now).is_some());
    assert_eq!(fixture.submit(1, ms(100)), AdmissionDecision::Start);
}

/// Load pattern: an upstream hangs when the sidecar process beside it restarts.
#[test]
fn an_upstream_that_never_answers_holds_its_calls_for_a_second_only() {
    let mut load = Load::new(settings());
    let fixture = &mut load.fixture;
    fixture.admission.await_first_answer();
    assert_eq!(fixture.submit(1, ms(3_000)), AdmissionDecision::Start);
    assert_ne!(fixture.submit(1, ms(3_000)), AdmissionDecision::Start);
    fixture.now += ms(1_000);
    let next = fixture.admission.next_decision(fixture.now);
    assert!(matches!(next, Some(QueueDecision::Start(_))), "{next:?}");
}

/// Load pattern: an upstream with a limit does not answer health checks for a while.
#[test]
fn health_checks_use_up_the_stated_limit() {
    let mut load = Load::new(settings());
    load.state(2.0);
    let now = load.fixture.now;
    for _ in 0..2 {
        let admission = &mut load.fixture.admission;
        assert!(admission.health_check_delay(now).is_zero());
        admission.record_health_check(now);
    }
    assert!(!load.fixture.admission.health_check_delay(now).is_zero());
    assert_ne!(load.fixture.submit(1, ms(500)), AdmissionDecision::Start);
    assert!(load.fixture.admission.is_throttled(now));
}

proptest! {
    /// Whatever is stated and asked for, no second has more starts than the limit allows.
    #[test]
    fn no_sequence_of_limits_is_exceeded(
        rates in prop::collection::vec(0.0f64..40.0, 1..6),
        spans in prop::collection::vec(200u64..3_000, 6),
    ) {
        let mut load = Load::new(settings());
        load.run(ms(1_000));
        for (rate, span) in rates.into_iter().zip(spans) {
            load.fixture.now += STEP;
            load.state(rate);
            let from = load.fixture.now;
            load.run(ms(span));
            let most = load.most_within(ms(1_000), from);
            prop_assert!(most as f64 <= rate.ceil().max(1.0), "{} starts at {}", most, rate);
        }
    }
}
