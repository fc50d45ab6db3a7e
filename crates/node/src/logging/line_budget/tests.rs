use super::*;

/// Guards against unbounded log output when each of many refused calls would write a line.
#[test]
fn lines_beyond_the_budget_are_suppressed_and_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..1_000).filter(|_| budget.take(start).is_some());
    assert_eq!(written.count(), MAX_LINES_PER_SECOND as usize);
    let later = start + Duration::from_secs(1);
    assert_eq!(budget.take(later), Some(750));
    assert_eq!(budget.take(later), Some(0));
}
