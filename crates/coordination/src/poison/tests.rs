use proptest::prelude::*;

use super::*;

fn concurrent(fingerprint: u64) -> InFlight {
    InFlight {
        fingerprint,
        alone: false,
        is_trial: false,
    }
}

fn alone(fingerprint: u64) -> InFlight {
    InFlight {
        alone: true,
        ..concurrent(fingerprint)
    }
}

/// Request that was suspected when it started and ran alone.
fn trial(fingerprint: u64) -> InFlight {
    InFlight {
        is_trial: true,
        ..alone(fingerprint)
    }
}

/// Request that was suspected when it started and ran beside others, because it had waited for long.
fn crowded_trial(fingerprint: u64) -> InFlight {
    InFlight {
        is_trial: true,
        ..concurrent(fingerprint)
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the suspicion at the upstream that tries refused requests first.
fn suspicion(poison: &PoisonTracker, fingerprint: u64, now: Instant) -> Suspicion {
    poison.suspicion(fingerprint, now, || 0)
}

/// Records the crashes in order and returns the suspicion of requests 1 to 3 at an upstream that is not
/// the first to try them again.
fn suspicions(crashes: &[&[InFlight]]) -> [Suspicion; 3] {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for (crash, requests) in crashes.iter().enumerate() {
        poison.record_crash(crash as u64, requests, now);
    }
    [1, 2, 3].map(|fingerprint| poison.suspicion(fingerprint, now, || 1))
}

#[test]
fn requests_in_flight_at_crashes_are_blamed() {
    use Suspicion::{Clear, Refused, Suspect};
    assert_eq!(suspicions(&[]), [Clear, Clear, Clear]);
    assert_eq!(
        suspicions(&[&[concurrent(1), concurrent(2)]]),
        [Suspect, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[
            &[concurrent(1), concurrent(2)],
            &[concurrent(1), concurrent(3)]
        ]),
        [Refused, Suspect, Clear]
    );
    assert_eq!(
        suspicions(&[&[concurrent(1), concurrent(2)], &[alone(1)]]),
        [Refused, Suspect, Clear]
    );
    for second in [trial(1), crowded_trial(1)] {
        assert_eq!(
            suspicions(&[&[concurrent(1), concurrent(2)], &[second, concurrent(3)]]),
            [Refused, Suspect, Clear]
        );
    }
}

/// A request that many callers send was refused by all nodes for ten minutes after the upstreams that
/// ran it had crashed together.
#[test]
fn a_request_on_upstreams_that_crash_together_is_not_refused() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let mut other = PoisonTracker::default();
    poison.record_completion(1, now);
    other.record_completion(1, now);
    let copies = [concurrent(1), concurrent(1)];
    for report in poison.record_crash(1, &copies, now) {
        other.merge(&report, now);
    }
    for report in other.record_crash(2, &[alone(1)], now) {
        poison.merge(&report, now);
    }
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Suspect);
    assert_eq!(suspicion(&other, 1, now), Suspicion::Suspect);
    let cleared = poison.record_completion(1, now).unwrap();
    other.merge(&cleared, now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Clear);
    assert_eq!(suspicion(&other, 1, now), Suspicion::Clear);
}

/// A refused request could never clear itself, as only a request that runs can complete.
#[test]
fn a_refused_request_is_tried_again() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[concurrent(1)], now);
    let mut at = now;
    for (crash, refused_s) in [(2, 30), (3, 60), (4, 120), (5, 240)] {
        poison.record_crash(crash, &[trial(1)], at);
        let due = at + seconds(refused_s);
        assert_eq!(suspicion(&poison, 1, due - seconds(1)), Suspicion::Refused);
        assert_eq!(suspicion(&poison, 1, due), Suspicion::Suspect);
        at = due;
    }
    poison.record_completion(1, at);
    assert_eq!(suspicion(&poison, 1, at), Suspicion::Clear);
}

/// Reports are repeated for as long as they are valid. They must not make the suspicion last longer.
#[test]
fn repeated_reports_do_not_prolong_the_suspicion() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[concurrent(1)], now);
    let report = poison.record_crash(2, &[trial(1)], now).remove(0);
    assert!(!poison.merge(&report, now + seconds(29)));
    assert_eq!(suspicion(&poison, 1, now + seconds(30)), Suspicion::Suspect);
    poison.merge(&report, now + RETENTION);
    let end = now + RETENTION + seconds(1);
    assert_eq!(suspicion(&poison, 1, end), Suspicion::Clear);
}

#[test]
fn upstreams_try_a_refused_request_one_after_the_other() {
    let names: Vec<UpstreamName> = (0..9)
        .map(|n| UpstreamName::from(format!("i-{n}")))
        .collect();
    for fingerprint in 0..20 {
        let rank = |name| trial_rank(fingerprint, name, names.iter());
        let ranks: BTreeSet<u32> = names.iter().map(rank).collect();
        assert_eq!(ranks, (0..9).collect());
    }
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[concurrent(1)], now);
    poison.record_crash(2, &[trial(1)], now);
    for rank in 0..9 {
        let due = now + seconds(30 + 5 * u64::from(rank));
        let before = poison.suspicion(1, due - seconds(1), || rank);
        assert_eq!(before, Suspicion::Refused);
        assert_eq!(poison.suspicion(1, due, || rank), Suspicion::Suspect);
    }
}

#[test]
fn completion_clears_a_request_of_earlier_crashes() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    let old = poison.record_crash(9, &[concurrent(1)], now).remove(0);
    assert!(poison.record_completion(1, now).is_some());
    poison.merge(&old, now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Clear);
    poison.record_crash(10, &[concurrent(1)], now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Suspect);
}

#[test]
fn completed_requests_are_not_suspected() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    for crash in 0..3 {
        let reports = poison.record_crash(crash, &[concurrent(1), concurrent(100 + crash)], now);
        assert_eq!(reports.len(), 1);
        assert_eq!(suspicion(&poison, 1, now), Suspicion::Clear);
        poison.record_completion(1, now);
    }
}

#[test]
fn request_that_completed_once_and_then_crashes_is_detected() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_completion(1, now);
    poison.record_crash(0, &[concurrent(1), concurrent(2)], now);
    poison.record_crash(1, &[concurrent(1)], now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Suspect);
    poison.record_crash(2, &[trial(1)], now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Refused);
}

#[test]
fn suspicion_ends_after_the_retention_time() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    poison.record_crash(1, &[alone(1)], now);
    poison.record_crash(2, &[trial(1)], now);
    assert_eq!(suspicion(&poison, 1, now), Suspicion::Refused);
    assert_eq!(
        suspicion(&poison, 1, now + RETENTION + Duration::from_secs(1)),
        Suspicion::Clear
    );
}

#[test]
fn number_of_suspects_is_bounded() {
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for fingerprint in 0..MAX_SUSPECTS as u64 + 100 {
        poison.record_crash(1, &[concurrent(fingerprint)], now);
    }
    assert_eq!(poison.len(), MAX_SUSPECTS);
}

/// Guards against a popular request that is refused with the one that causes the crashes at which both are in
/// flight.
#[test]
fn a_popular_request_is_cleared_beside_one_that_crashes_upstreams() {
    const POPULAR: u64 = 1;
    const CRASHING: u64 = 2;
    let now = Instant::now();
    let mut poison = PoisonTracker::default();
    for crash in 0..2 {
        poison.record_crash(crash, &[concurrent(POPULAR), concurrent(CRASHING)], now);
    }
    // A trial runs alone, so its crash is evidence against one request only.
    poison.record_crash(2, &[trial(CRASHING)], now);
    assert_eq!(suspicion(&poison, CRASHING, now), Suspicion::Refused);
    assert_eq!(suspicion(&poison, POPULAR, now), Suspicion::Suspect);
    poison.record_completion(POPULAR, now);
    for crash in 3..8 {
        poison.record_crash(crash, &[trial(CRASHING), concurrent(POPULAR)], now);
        assert_ne!(suspicion(&poison, POPULAR, now), Suspicion::Refused);
        poison.record_completion(POPULAR, now);
    }
    assert_eq!(suspicion(&poison, POPULAR, now), Suspicion::Clear);
}

/// Guards against a request that is refused by reports of crashes of which it was cleared while nodes were cut
/// off from each other.
#[test]
fn reports_exchanged_after_a_cut_refuse_no_request_that_completed() {
    let now = Instant::now();
    let mut nodes = [PoisonTracker::default(), PoisonTracker::default()];
    let mut reports = Vec::new();
    for (crash, node) in nodes.iter_mut().enumerate() {
        reports.extend(node.record_crash(crash as u64, &[concurrent(1)], now));
        assert_eq!(
            suspicion(node, 1, now),
            Suspicion::Suspect,
            "one crash is seen"
        );
        reports.extend(node.record_completion(1, now));
    }
    for node in &mut nodes {
        for report in &reports {
            node.merge(report, now);
            assert_ne!(suspicion(node, 1, now), Suspicion::Refused);
        }
        assert_eq!(suspicion(node, 1, now), Suspicion::Clear);
    }
}

/// Guards against a service with a single upstream that waits for another one to try a request.
#[test]
fn a_single_upstream_tries_a_request_as_soon_as_it_is_back() {
    let now = Instant::now();
    let names = [UpstreamName::from("i-0")];
    let mut poison = PoisonTracker::default();
    for crash in 0..2 {
        poison.record_crash(crash, &[concurrent(1), concurrent(2)], now);
    }
    let rank = || trial_rank(1, &names[0], names.iter());
    assert_eq!(poison.suspicion(1, now, rank), Suspicion::Suspect);
    poison.record_completion(1, now);
    assert_eq!(poison.suspicion(1, now, rank), Suspicion::Clear);
}

proptest! {
    /// Nodes agree whatever the order in which they exchange reports.
    #[test]
    fn reports_merge_in_any_order(
        mut events in prop::collection::vec((0..3_u64, 0..4_u64, any::<bool>(), any::<bool>()), 0..12),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut origin = PoisonTracker::default();
        let mut reports = Vec::new();
        for (fingerprint, crash, is_completed, is_trial) in events.drain(..) {
            if is_completed {
                reports.extend(origin.record_completion(fingerprint, now));
            } else {
                let request = InFlight { is_trial, ..concurrent(fingerprint) };
                reports.extend(origin.record_crash(crash, &[request], now));
            }
        }
        let mut other = PoisonTracker::default();
        let len = reports.len().max(1);
        reports.rotate_left(seed as usize % len);
        for report in reports.iter().chain(reports.iter().rev()) {
            other.merge(report, now);
        }
        for fingerprint in 0..3 {
            prop_assert_eq!(suspicion(&origin, fingerprint, now), suspicion(&other, fingerprint, now));
        }
    }

    /// A poison request that runs alone after its first crash crashes at most two upstreams, and no
    /// other request is refused.
    #[test]
    fn one_poison_request_crashes_at_most_two_upstreams_and_no_other_is_refused(
        others in prop::collection::btree_set(1..40_u64, 0..12),
        resends in 1..20_u64,
    ) {
        let now = Instant::now();
        let mut poison = PoisonTracker::default();
        let mut crashes = 0;
        for _ in 0..resends {
            let requests = match suspicion(&poison, 0, now) {
                Suspicion::Refused => break,
                Suspicion::Suspect => vec![trial(0)],
                Suspicion::Clear => others.iter().map(|&f| concurrent(f)).chain([concurrent(0)]).collect(),
            };
            crashes += 1;
            poison.record_crash(crashes, &requests, now);
        }
        prop_assert!(crashes <= 2);
        for &other in &others {
            prop_assert_ne!(suspicion(&poison, other, now), Suspicion::Refused);
        }
    }
}

/// Time until all nodes know a crash.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Time until an upstream that crashed serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time from which on the users' rules count the runs of a request that has crashed three upstreams
/// (`contact_s` of the large deployment).
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Number of runs that the users' rules allow from then on.
const MAX_LATE_RUNS: usize = 3;
/// Length of the simulated day.
const DAY: Duration = Duration::from_secs(180);

/// Nodes with an upstream each that share their reports.
struct FleetOfTrackers {
    names: Vec<UpstreamName>,
    nodes: Vec<PoisonTracker>,
    down_until: Vec<Instant>,
    reports: VecDeque<(Instant, PoisonReport)>,
    /// When the request was run at an upstream, each time with a crash.
    runs: Vec<Instant>,
}

impl FleetOfTrackers {
    fn new(size: usize, now: Instant) -> Self {
        Self {
            names: (0..size)
                .map(|n| UpstreamName::from(format!("i-{n}")))
                .collect(),
            nodes: vec![PoisonTracker::default(); size],
            down_until: vec![now; size],
            reports: VecDeque::new(),
            runs: Vec::new(),
        }
    }

    /// Sends the request to a node, whose upstream crashes if it runs it.
    fn send(&mut self, fingerprint: u64, node: usize, now: Instant) {
        while let Some((_, report)) = self.reports.pop_front_if(|(due, _)| *due <= now) {
            for node in &mut self.nodes {
                node.merge(&report, now);
            }
        }
        let rank = || trial_rank(fingerprint, &self.names[node], self.names.iter());
        let suspicion = self.nodes[node].suspicion(fingerprint, now, rank);
        if self.down_until[node] > now || suspicion == Suspicion::Refused {
            return;
        }
        let request = InFlight {
            is_trial: suspicion == Suspicion::Suspect,
            ..alone(fingerprint)
        };
        let crash = self.runs.len() as u64;
        let reports = self.nodes[node].record_crash(crash, &[request], now);
        let due = now + REPORT_TIME;
        self.reports
            .extend(reports.into_iter().map(|report| (due, report)));
        self.down_until[node] = now + RESTART_TIME;
        self.runs.push(now);
    }
}

/// A request that many clients send all the time must not take upstreams down again and again.
#[test]
fn a_request_that_crashes_upstreams_rarely_runs_once_it_is_known() {
    for (size, seed) in [(3, 1), (12, 2), (12, 3), (149, 4), (149, 5), (290, 6)] {
        let start = Instant::now();
        let mut fleet = FleetOfTrackers::new(size, start);
        let mut now = start;
        let mut node = seed;
        while now < start + DAY {
            node = (node * 31 + 7) % 1_000_003;
            fleet.send(seed as u64, node % size, now);
            now += Duration::from_millis(10);
        }
        let known = fleet.runs[2] + CONTACT_TIME;
        let late = fleet.runs.iter().filter(|run| **run > known).count();
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} late runs with {size} upstreams"
        );
        assert!(late > 0, "the request was never tried again");
    }
}
