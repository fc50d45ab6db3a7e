use super::*;

/// Time between the ends of two answers in a lasting storm of configurations, of which each second
/// brings so many seconds of transfer.
fn cycle(load: f64) -> Duration {
    let mut cycle = Duration::ZERO;
    for _ in 0..50 {
        let transfer = cycle.mul_f64(load);
        cycle = transfer + pause_after_changes(transfer);
    }
    cycle
}

/// Load pattern: configurations of 200 KB six times a second, on a link of 2.5 MB a second.
#[test]
fn a_storm_of_configurations_does_not_slow_the_reader_down() {
    assert_eq!(cycle(0.5), WATCH_EVERY);
}

#[test]
fn single_changes_cost_one_call_each_span() {
    assert_eq!(pause_after_changes(Duration::ZERO), WATCH_EVERY);
    assert_eq!(pause_after_changes(WATCH), Duration::ZERO);
}
