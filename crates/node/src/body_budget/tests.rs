use super::{BodyBudget, GRANTED_BYTES};

const PART: usize = GRANTED_BYTES;

/// Bytes that are not returned refuse calls for as long as the process runs.
#[test]
fn a_budget_is_shared_and_returned() {
    let budget = BodyBudget::new(10 * PART);
    let mut first = budget.reserve();
    let mut second = budget.clone().reserve();
    assert!(first.try_set(6 * PART));
    assert!(!second.try_set(4 * PART + 1));
    assert!(second.try_set(4 * PART));
    assert!(!first.try_set(6 * PART + 1));
    first.set(8 * PART);
    assert!(!second.try_set(4 * PART + 1));
    assert!(first.try_set(0));
    assert!(second.try_set(10 * PART));
    drop(second);
    assert_eq!(budget.used(), 0);
    assert!(first.try_set(10 * PART));
}

/// Large bodies of a few callers refused the small ones of all others.
#[test]
fn small_bodies_have_room_beside_large_ones() {
    let budget = BodyBudget::new(10 * PART);
    let mut large = budget.reserve();
    assert!(large.try_set(10 * PART));
    let mut small = budget.reserve();
    assert!(small.try_set(PART));
    assert!(!small.try_set(PART + 1));
}
