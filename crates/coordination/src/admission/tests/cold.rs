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
