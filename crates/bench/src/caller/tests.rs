use std::time::Duration;

use super::*;

fn record(due_ms: u64, took_ms: u64, answered: Answered) -> CallRecord {
    CallRecord {
        id: due_ms.to_string(),
        keyed: false,
        due: Duration::from_millis(due_ms),
        took: Duration::from_millis(took_ms),
        answered,
        sendings: Vec::new(),
    }
}

#[test]
fn tally_keeps_the_latency_of_good_requests() {
    let records = [
        record(0, 40, Answered::Good),
        record(10, 60, Answered::Good),
        record(20, 5_000, Answered::Refused),
        record(90, 80, Answered::Good),
    ];
    let tally = Tally::of(&records, Duration::ZERO, Duration::from_millis(50));
    assert_eq!(tally.offered, 3);
    assert_eq!(tally.count(Answered::Good), 2);
    assert!((59.0..61.0).contains(&tally.quantile_ms(0.99)));
}

#[test]
fn series_counts_requests_by_when_they_were_due() {
    let records = [
        record(0, 40, Answered::Good),
        record(120, 60, Answered::Unknown),
        record(130, 70, Answered::Good),
    ];
    let series = Bucket::series(&records, Duration::from_millis(100));
    let shape: Vec<_> = series
        .iter()
        .map(|b| (b.at_ms, b.offered, b.good))
        .collect();
    assert_eq!(shape, [(0, 1, 1), (100, 2, 1)]);
}
