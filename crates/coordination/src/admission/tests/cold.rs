//! Upstreams whose cold rate is told.

use super::*;

/// Load pattern: full load on an upstream that has just become cold without a sign of a restart.
#[test]
fn a_cold_upstream_gets_no_more_in_any_second_than_its_service_states() {
    const RATE: u32 = 26;
    let mut bed = Bed::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let mut starts = Vec::new();
    for step in 0..400u64 {
        if step == 100 {
            bed.admission.cold_for(ms(2_000), bed.now);
        }
        for _ in 0..2 {
            if bed.arrive(step, ms(5_000)) == Arrival::Start {
                starts.push(step);
                bed.admission.release(ms(10), false, Rank::default());
                bed.running.pop();
            }
        }
        while let Some(turn) = bed.admission.next(bed.now) {
            let (Turn::Start(ticket) | Turn::Refuse(ticket, _)) = turn;
            bed.waiting.remove(&ticket);
            if matches!(turn, Turn::Start(_)) {
                starts.push(step);
                bed.admission.release(ms(10), false, Rank::default());
            }
        }
        bed.now += ms(10);
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
    let mut bed = Bed::new(AdmissionSettings {
        cold_per_second: Some(RATE),
        ..settings()
    });
    let began = bed.now;
    bed.admission.follow_process(began);
    bed.now += ms(600);
    bed.admission.cold_for(ms(3_000), bed.now);
    let mut starts = Vec::new();
    while bed.now < began + ms(1_500) {
        if bed.arrive(1, ms(1)) == Arrival::Start {
            starts.push(bed.now - began);
        }
        bed.now += ms(10);
    }
    assert_eq!(starts, [ms(1_000), ms(1_010), ms(1_020)]);
}
