use std::time::Duration;

use super::ApplyTiming;

const BOUNDS_MS: [u64; 4] = [500, 2_000, 3_000, 8_000];

#[test]
fn the_last_wave_leaves_time_to_read_and_spread_a_change() {
    for ms in BOUNDS_MS {
        let bound = Duration::from_millis(ms);
        let timing = ApplyTiming::new(bound);
        let last = timing.fresh_age() + timing.probe_delay(100_000);
        assert!(last <= bound.mul_f64(0.75), "{ms}: {last:?}");
        assert!(timing.first_answer() + timing.probe_delay(100_000) < bound);
    }
}

#[test]
fn one_late_watch_does_not_make_the_last_answer_stale() {
    for ms in BOUNDS_MS {
        let timing = ApplyTiming::new(Duration::from_millis(ms));
        assert!(timing.watch_wait() + timing.report_gap() < timing.fresh_age());
        assert!(timing.watch_wait() < timing.suspect_age());
        assert!(timing.suspect_age() < timing.fresh_age());
    }
}

#[test]
fn states_of_upstreams_are_outdated_only_after_other_nodes_could_read() {
    let timing = ApplyTiming::new(Duration::from_secs(2));
    assert!(timing.is_outdated(None));
    assert!(timing.is_outdated(Some(Duration::from_millis(1_500))));
    assert!(!timing.is_outdated(Some(timing.fresh_age())));
    let waves = timing.fresh_age() + timing.probe_delay(100_000);
    assert!(!timing.is_outdated(Some(waves)));
}

#[test]
fn each_wave_has_at_most_twice_as_many_nodes_as_all_before() {
    let timing = ApplyTiming::new(Duration::from_secs(2));
    let delays: Vec<_> = (2..128).map(|p| timing.probe_delay(p)).collect();
    assert!(delays.is_sorted());
    for delay in &delays[2..] {
        let before = delays.iter().filter(|other| *other < delay).count();
        let same = delays.iter().filter(|other| *other == delay).count();
        assert!(
            same <= 2 * before.max(1),
            "{delay:?}: {same} after {before}"
        );
    }
}
