use proptest::prelude::*;

use super::*;

proptest! {
    #[test]
    fn a_later_era_orders_after_any_revision_of_an_earlier_one(
        era in 0..MAX_ERA,
        earlier in 0..1_u64 << REVISION_BITS,
        later in 0..1_u64 << REVISION_BITS,
    ) {
        let old = ordered_revision(era, earlier);
        let new = ordered_revision(era + 1, later);
        prop_assert!(old < new);
        prop_assert_eq!(era_of(old), era);
        prop_assert_eq!(revision_within_era(new), later);
    }

    #[test]
    fn revisions_of_one_era_keep_their_order(
        era in 0..=MAX_ERA,
        low in 0..1_u64 << 37,
        step in 1..1_u64 << 37,
    ) {
        prop_assert!(ordered_revision(era, low) < ordered_revision(era, low + step));
    }
}

#[test]
fn numbers_out_of_range_are_the_highest_ones() {
    assert_eq!(era_of(ordered_revision(u64::MAX, 1)), MAX_ERA);
    assert!(ordered_revision(u64::MAX, u64::MAX).leading_zeros() >= 8);
}
