use std::time::Duration;

use super::*;

fn record(due_ms: u64, latency_ms: u64, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: due_ms.to_string(),
        keyed: false,
        due: Duration::from_millis(due_ms),
        latency: Duration::from_millis(latency_ms),
        outcome,
        sends: Vec::new(),
    }
}

#[test]
fn tally_records_latency_of_good_requests_only() {
    let records = [
        record(0, 40, CallOutcome::Good),
        record(10, 60, CallOutcome::Good),
        record(20, 5_000, CallOutcome::Refused),
        record(90, 80, CallOutcome::Good),
    ];
    let tally = Tally::of(&records, Duration::ZERO, Duration::from_millis(50));
    assert_eq!(tally.offered, 3);
    assert_eq!(tally.count(CallOutcome::Good), 2);
    assert!((59.0..61.0).contains(&tally.quantile_ms(0.99)));
}

#[test]
fn series_assigns_requests_to_slices_by_scheduled_time() {
    let records = [
        record(0, 40, CallOutcome::Good),
        record(120, 60, CallOutcome::Unknown),
        record(130, 70, CallOutcome::Good),
    ];
    let series = Bucket::series(&records, Duration::from_millis(100));
    let shape: Vec<_> = series
        .iter()
        .map(|b| (b.at_ms, b.offered, b.good))
        .collect();
    assert_eq!(shape, [(0, 1, 1), (100, 2, 1)]);
}
