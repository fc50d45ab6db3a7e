use super::*;

/// Returns the steady-state time between the ends of two answers while each second brings `load`
/// seconds of transfer of new configurations.
fn answer_interval(load: f64) -> Duration {
    let mut interval = Duration::ZERO;
    for _ in 0..50 {
        let transfer = interval.mul_f64(load);
        interval = transfer + watch_pause(transfer);
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
    assert_eq!(watch_pause(Duration::ZERO), MIN_WATCH_INTERVAL);
    assert_eq!(watch_pause(Duration::from_secs(2)), Duration::ZERO);
}
