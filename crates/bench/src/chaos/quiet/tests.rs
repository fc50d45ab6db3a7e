use super::*;

fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn work_after_the_time_to_settle_breaks_the_rule() {
    let start = Instant::now();
    let mut quiet = Quiet::new("x", vec![0], start);
    quiet.tick(at(start, 2), false);
    assert!(!quiet.is_broken_by(at(start, 9)));
    assert!(quiet.tick(at(start, 3), false));
    assert!(!quiet.tick(at(start, 4), false));
    assert!(!quiet.is_broken_by(at(start, 3)));
    assert!(quiet.is_broken_by(at(start, 4)));
}

#[test]
fn hindered_reach_starts_the_time_to_settle_afresh_but_not_later() {
    let start = Instant::now();
    let mut quiet = Quiet::new("x", vec![0], start);
    quiet.tick(at(start, 2), true);
    quiet.tick(at(start, 4), false);
    assert!(!quiet.is_broken_by(at(start, 9)));
    quiet.tick(at(start, 5), false);
    quiet.tick(at(start, 6), true);
    assert!(quiet.is_broken_by(at(start, 7)));
}
