use super::*;

fn at(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn requests_after_the_grace_period_violate_the_invariant() {
    let start = Instant::now();
    let mut scope = QuietScope::new("x", vec![0], start);
    scope.advance(at(start, 2), false);
    assert!(!scope.is_violated_by(at(start, 9)));
    assert!(scope.advance(at(start, 3), false));
    assert!(!scope.advance(at(start, 4), false));
    assert!(!scope.is_violated_by(at(start, 3)));
    assert!(scope.is_violated_by(at(start, 4)));
}

#[test]
fn delayed_propagation_restarts_the_grace_period_only_before_its_end() {
    let start = Instant::now();
    let mut scope = QuietScope::new("x", vec![0], start);
    scope.advance(at(start, 2), true);
    scope.advance(at(start, 4), false);
    assert!(!scope.is_violated_by(at(start, 9)));
    scope.advance(at(start, 5), false);
    scope.advance(at(start, 6), true);
    assert!(scope.is_violated_by(at(start, 7)));
}
