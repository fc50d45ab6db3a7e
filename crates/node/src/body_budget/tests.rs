use super::BodyBudget;

/// Bytes that are not returned refuse calls for as long as the process runs.
#[test]
fn a_budget_is_shared_and_returned() {
    let budget = BodyBudget::new(100);
    let mut first = budget.reserve();
    let mut second = budget.clone().reserve();
    assert!(first.try_set(60));
    assert!(!second.try_set(41));
    assert!(second.try_set(40));
    assert!(!first.try_set(61));
    first.set(80);
    assert!(!second.try_set(41));
    assert!(first.try_set(0));
    assert!(second.try_set(100));
    drop(second);
    assert!(first.try_set(100));
}
