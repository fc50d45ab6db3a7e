//! Upstreams whose cold rate is told.

use super::*;

/// Load pattern: full load on an upstream that has just become cold without a sign of a restart.
#[test]
fn a_cold_upstream_gets_no_more_in_any_second_than_its_service_states() {
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
            if fixture.arrive(step, ms(5_000)) == AdmissionDecision::Start {
                starts.push(step);
                fixture.admission.release(ms(10), false, Rank::default());
                fixture.running.pop();
            }
        }
        while let Some(turn) = fixture.admission.next_decision(fixture.now) {
            let (QueueDecision::Start(ticket) | QueueDecision::Refuse(ticket, _)) = turn;
            fixture.waiting.remove(&ticket);
            if matches!(turn, QueueDecision::Start(_)) {
                starts.push(step);
                fixture.admission.release(ms(10), false, Rank::default());
            }
        }
        fixture.now += ms(10);
    }
    let within = |from: u64| {
        starts
            .iter()
            .filter(|&&at| (from..from + 100).contains(&at))
            .count()
    };
    assert!(within(0) > 100, "warm: {}", within(0));
    for from in 100..200 {
        assert!(
            within(from) <= RATE as usize,
            "{} from {from} on",
            within(from)
        );
    }
    assert!(within(300) > 100, "warm again: {}", within(300));
}

/// Load pattern: the process beside a cold upstream is killed under full load and starts again.
#[test]
fn a_fresh_process_counts_on_what_the_one_before_it_started() {
    const RATE: u32 = 3;
    let mut fixture = Fixture::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let began = fixture.now;
    fixture.admission.assume_prior_starts(began);
    fixture.now += ms(600);
    fixture.admission.set_cold_for(ms(3_000), fixture.now);
    let mut starts = Vec::new();
    while fixture.now < began + ms(1_500) {
        if fixture.arrive(1, ms(1)) == AdmissionDecision::Start {
            starts.push(fixture.now - began);
        }
        fixture.now += ms(10);
    }
    assert_eq!(starts, [ms(1_000), ms(1_010), ms(1_020)]);
}
