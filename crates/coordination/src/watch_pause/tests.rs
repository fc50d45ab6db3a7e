use rand::{SeedableRng, rngs::SmallRng};

use super::*;

/// Returns the steady-state time between the ends of two answers of a single reader while each
/// second brings `load` seconds of transfer of new configurations.
fn answer_interval(load: f64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut interval = Duration::ZERO;
    for _ in 0..50 {
        let transfer = interval.mul_f64(load);
        interval = transfer + watch_pause(transfer, 1, &mut rng);
    }
    interval
}

/// Guards against a pause that adds to the transfer time and so makes the next answer larger. Load
/// pattern: six 200 KB configurations a second on a link of 2.5 MB/s.
#[test]
fn frequent_configurations_do_not_slow_the_reader_down() {
    assert_eq!(answer_interval(0.5), MIN_WATCH_INTERVAL);
}

#[test]
fn single_changes_cost_one_call_per_interval() {
    let mut rng = SmallRng::seed_from_u64(1);
    let pause = watch_pause(Duration::ZERO, 1, &mut rng);
    assert_eq!(pause, MIN_WATCH_INTERVAL);
    let pause = watch_pause(Duration::from_secs(2), 9, &mut rng);
    assert_eq!(pause, Duration::ZERO);
}

/// Returns the calls per second and the longest time without an answer to any reader, while each
/// watch is answered at once because changes never cease.
fn watch_for_a_minute(readers: usize) -> (f64, Duration) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut next = vec![Duration::ZERO; readers];
    let mut last = Duration::ZERO;
    let mut longest = Duration::ZERO;
    let mut calls = 0;
    while last < Duration::from_secs(60) {
        let first = next.iter_mut().min().unwrap();
        longest = longest.max(first.saturating_sub(last));
        last = *first;
        *first += watch_pause(Duration::ZERO, readers, &mut rng);
        calls += 1;
    }
    (f64::from(calls) / 60.0, longest)
}

/// Load pattern: upstreams of ten failure domains register and leave one after the other for
/// minutes, and each failure domain has a reader that all changes wake.
#[test]
fn many_readers_share_the_watches_of_a_long_series_of_changes() {
    // A quarter of the time within which a change has to be in force.
    let max_gap = Duration::from_millis(500);
    let (single_calls, _) = watch_for_a_minute(1);
    let (calls, gap) = watch_for_a_minute(10);
    assert!(calls <= 6.0 * single_calls, "{calls} calls a second");
    assert!(gap <= max_gap, "{gap:?} without an answer");
}

#[test]
fn pause_never_exceeds_the_time_in_which_a_change_has_to_be_in_force() {
    let mut rng = SmallRng::seed_from_u64(3);
    for readers in 0..20 {
        let pause = watch_pause(Duration::ZERO, readers, &mut rng);
        assert!(pause <= MIN_WATCH_INTERVAL * 3, "{pause:?}");
    }
}
