//! Upstreams whose service configures a cold rate.

use super::*;

/// Load pattern: full load on an upstream that becomes cold without any sign of a restart.
#[test]
fn starts_in_any_second_do_not_exceed_the_cold_rate() {
    const RATE: u32 = 26;
    let mut fixture = Fixture::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let mut starts = Vec::new();
    for step in 0..400u64 {
        if step == 100 {
            fixture.admission.set_cold_for(ms(2_000), fixture.now);
        }
        for _ in 0..2 {
            if fixture.submit(step, ms(5_000)) == AdmissionDecision::Start {
                starts.push(step);
                fixture.admission.release(ms(10), false, Rank::default());
                fixture.running.pop();
            }
        }
        while let Some(decision) = fixture.admission.next_decision(fixture.now) {
            let (QueueDecision::Start(ticket) | QueueDecision::Refuse(ticket, _)) = decision;
            fixture.waiting.remove(&ticket);
            if matches!(decision, QueueDecision::Start(_)) {
                starts.push(step);
                fixture.admission.release(ms(10), false, Rank::default());
            }
        }
        fixture.now += ms(10);
    }
    let starts_from = |from: u64| {
        starts
            .iter()
            .filter(|&&at| (from..from + 100).contains(&at))
            .count()
    };
    assert!(starts_from(0) > 100, "warm: {}", starts_from(0));
    for from in 100..200 {
        assert!(
            starts_from(from) <= RATE as usize,
            "{} starts from step {from}",
            starts_from(from)
        );
    }
    assert!(starts_from(300) > 100, "warm again: {}", starts_from(300));
}

/// Load pattern: the sidecar process of a cold upstream is killed under full load and restarts.
#[test]
fn a_new_process_assumes_recent_starts_by_the_previous_one() {
    const RATE: u32 = 3;
    let mut fixture = Fixture::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let started_at = fixture.now;
    fixture.admission.assume_prior_starts(started_at);
    fixture.now += ms(600);
    fixture.admission.set_cold_for(ms(3_000), fixture.now);
    let mut starts = Vec::new();
    while fixture.now < started_at + ms(1_500) {
        if fixture.submit(1, ms(1)) == AdmissionDecision::Start {
            starts.push(fixture.now - started_at);
        }
        fixture.now += ms(10);
    }
    assert_eq!(starts, [ms(1_000), ms(1_010), ms(1_020)]);
}

/// Load pattern: the processes of all nodes restart in front of warm upstreams, and each learns of
/// its upstream before it learns the cold rate of the service.
#[test]
fn a_cold_rate_that_becomes_known_late_ends_the_slow_start() {
    let mut fixture = Fixture::new(settings());
    assert_eq!(fixture.admission.limit(), 1, "slow start");
    fixture.admission.reconfigure(AdmissionSettings {
        cold_per_second: Some(7),
        ..settings()
    });
    fixture.admission.set_cold_for(Duration::ZERO, fixture.now);
    assert!(!fixture.admission.is_cold(fixture.now));
    let starts = (0..SLOTS)
        .filter(|_| fixture.submit(1, ms(100)) == AdmissionDecision::Start)
        .count();
    assert_eq!(starts, SLOTS as usize);
}

/// Bound of the users on the requests that a cold upstream gets in any second, and the settings that
/// follow from it: a stated rate of 19, an overage of 1.5 and a slack of 8.
const MAX_IN_A_SECOND: usize = 36;
const PACED_RATE: u32 = 28;
const PACED_BURST: u32 = 4;

fn paced() -> AdmissionSettings {
    AdmissionSettings {
        cold_per_second: Some(PACED_RATE),
        cold_burst: Some(PACED_BURST),
        ..settings()
    }
}

/// Returns the times at which requests of a closed loop start at a cold upstream until `end`.
fn starts_until(fixture: &mut Fixture, end: Instant) -> Vec<Instant> {
    let mut starts = Vec::new();
    while fixture.now < end {
        match fixture.submit(1, ms(1)) {
            AdmissionDecision::Start => {
                starts.push(fixture.now);
                fixture.admission.release(ms(1), false, Rank::default());
                fixture.running.pop();
            }
            AdmissionDecision::Wait(ticket) => {
                fixture.admission.cancel(ticket);
            }
            AdmissionDecision::Refuse(_) => {}
        }
        fixture.now += ms(1);
    }
    starts
}

/// Load pattern: the sidecar process of a cold upstream is killed under full load and restarts after
/// a short time. The bound holds over both processes, and the new one need not pause for a second.
#[test]
fn paced_starts_of_two_processes_keep_the_bound() {
    let mut old = Fixture::new(paced());
    old.admission.set_cold_for(ms(10_000), old.now);
    let killed_at = old.now + ms(1_500);
    let mut starts = starts_until(&mut old, killed_at);
    let mut new = Fixture::new(paced());
    new.now = killed_at + ms(50);
    let restarted_at = new.now;
    new.admission.assume_prior_starts(restarted_at);
    new.admission.set_cold_for(ms(10_000), new.now);
    let end = new.now + ms(2_000);
    starts.extend(starts_until(&mut new, end));
    for (index, first) in starts.iter().enumerate() {
        let in_second = starts[index..]
            .iter()
            .take_while(|at| **at < *first + ms(1_000));
        let count = in_second.count();
        assert!(count <= MAX_IN_A_SECOND, "{count} starts in a second");
    }
    let early = starts
        .iter()
        .filter(|at| **at >= restarted_at && **at < restarted_at + ms(500));
    assert!(early.count() >= 10, "the new process waited for a second");
}

/// Load pattern: all upstreams of a service are cold, and requests of low priority come first in each
/// second. Without pacing they take the rate of the whole second from urgent ones that come later.
#[test]
fn urgent_requests_get_a_paced_start_before_others_that_came_earlier() {
    let mut fixture = Fixture::new(paced());
    fixture.admission.set_cold_for(ms(10_000), fixture.now);
    let submit = |fixture: &mut Fixture, priority| {
        let rank = Rank {
            priority,
            ..Rank::default()
        };
        let request = AdmissionRequest {
            caller: 1,
            deadline: fixture.now + ms(2_000),
            target: None,
            expires_at: None,
            rank,
            alone: false,
        };
        fixture.admission.submit(request, fixture.now)
    };
    for _ in 0..8 {
        let _ = submit(&mut fixture, 2);
    }
    fixture.now += ms(100);
    let AdmissionDecision::Wait(urgent) = submit(&mut fixture, 0) else {
        panic!("the burst is used up, and the urgent request must be queued");
    };
    fixture.now += ms(40);
    let first = fixture.admission.next_decision(fixture.now);
    assert_eq!(first, Some(QueueDecision::Start(urgent)));
}

/// Failure: a sidecar that spreads starts would let a warm upstream wait.
#[test]
fn a_warm_upstream_is_not_paced() {
    let mut fixture = Fixture::new(paced());
    let starts = (0..SLOTS).filter(|_| fixture.submit(1, ms(100)) == AdmissionDecision::Start);
    assert_eq!(starts.count(), SLOTS as usize);
}

/// Requests that came at a cold upstream at fixed intervals, and how many of them started.
struct Stream {
    interval: Duration,
    target: Duration,
    waited: Duration,
    priority: u8,
    next: Instant,
    started: usize,
}

impl Stream {
    fn new(interval: u64, waited: u64, priority: u8, now: Instant) -> Self {
        Self {
            interval: ms(interval),
            target: ms(500),
            waited: ms(waited),
            priority,
            next: now,
            started: 0,
        }
    }
}

/// Submits the requests of all streams for a time and returns how many of each started.
fn started(streams: &mut [Stream], fixture: &mut Fixture, time: Duration) -> Vec<usize> {
    let end = fixture.now + time;
    let mut tickets = std::collections::BTreeMap::new();
    while fixture.now < end {
        for (index, stream) in streams.iter_mut().enumerate() {
            if stream.next > fixture.now {
                continue;
            }
            stream.next += stream.interval;
            let request = AdmissionRequest {
                caller: 1,
                deadline: fixture.now + ms(2_000),
                target: Some(fixture.now + stream.target - stream.waited),
                expires_at: None,
                rank: Rank {
                    priority: stream.priority,
                    target_ms: 500,
                    ..Rank::default()
                },
                alone: false,
            };
            match fixture.admission.submit(request, fixture.now) {
                AdmissionDecision::Start => {
                    stream.started += 1;
                    fixture.admission.release(ms(20), false, request.rank);
                }
                AdmissionDecision::Wait(ticket) => {
                    tickets.insert(ticket, index);
                }
                AdmissionDecision::Refuse(_) => {}
            }
        }
        while let Some(decision) = fixture.admission.next_decision(fixture.now) {
            if let QueueDecision::Start(ticket) = decision {
                streams[tickets[&ticket]].started += 1;
                fixture.admission.release(ms(20), false, Rank::default());
            }
        }
        fixture.now += ms(1);
    }
    streams.iter().map(|stream| stream.started).collect()
}

/// Load pattern: after all VMs have lost power, resends of requests that are already late come
/// together with new ones that can still be answered in time, above the cold rate of 28 a second.
#[test]
fn late_resends_take_no_cold_starts_from_requests_in_time() {
    let mut fixture = Fixture::new(paced());
    fixture.admission.set_cold_for(ms(10_000), fixture.now);
    let now = fixture.now;
    let mut streams = [Stream::new(10, 600, 0, now), Stream::new(40, 0, 2, now)];
    let counts = started(&mut streams, &mut fixture, ms(4_000));
    // 100 requests in time came; late ones get what is left of 112 starts.
    assert!(counts[1] >= 95, "in time: {}", counts[1]);
    assert!(counts[0] + counts[1] <= 4 * PACED_RATE as usize + PACED_BURST as usize);
}

/// Failure: cold capacity that nobody else needs must still serve late requests.
#[test]
fn late_requests_use_cold_starts_that_nobody_else_needs() {
    let mut fixture = Fixture::new(paced());
    fixture.admission.set_cold_for(ms(10_000), fixture.now);
    let mut streams = [Stream::new(10, 600, 0, fixture.now)];
    let counts = started(&mut streams, &mut fixture, ms(4_000));
    assert!(counts[0] >= 3 * PACED_RATE as usize, "{counts:?}");
}

/// Load pattern: urgent requests need most of the cold rate, and others of lower priority come four
/// times as often.
#[test]
fn urgent_requests_find_a_cold_start_reserved() {
    let mut fixture = Fixture::new(paced());
    fixture.admission.set_cold_for(ms(10_000), fixture.now);
    let now = fixture.now;
    let mut streams = [Stream::new(10, 0, 1, now), Stream::new(40, 0, 0, now)];
    let counts = started(&mut streams, &mut fixture, ms(4_000));
    assert!(counts[1] >= 95, "urgent: {}", counts[1]);
    assert!(counts[0] > 0, "others get what is left");
}
