use super::*;

/// Load pattern: a storm of refusals, of which each would write a line.
#[test]
fn a_storm_writes_no_more_lines_than_the_bound_and_counts_the_rest() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let written = (0..1_000).filter(|_| budget.take(start).is_some());
    assert_eq!(written.count(), LINES_PER_SECOND as usize);
    let later = start + Duration::from_secs(1);
    assert_eq!(budget.take(later), Some(750));
    assert_eq!(budget.take(later), Some(0));
}
