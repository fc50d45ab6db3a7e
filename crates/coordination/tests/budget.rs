//! All readers together stay within the platform's read rate.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wagtaillever_coordination::{PLATFORM_READS_PER_S, ReadBudget};

/// Returns the reads of one greedy reader in each tenth of a second.
fn greedy(readers: usize, reads: f64, tenths: usize) -> Vec<f64> {
    let start = Instant::now();
    let mut budget = ReadBudget::new(start);
    budget.set_readers(readers, start);
    let mut counts = vec![0.0; tenths];
    for (tenth, count) in counts.iter_mut().enumerate() {
        for step in 0..10 {
            let at = start + Duration::from_millis(tenth as u64 * 100 + step * 10);
            while budget.take(reads, at).is_ok() {
                *count += reads;
            }
        }
    }
    counts
}

proptest! {
    #[test]
    fn greedy_readers_stay_within_the_rate(readers in 1_usize..500, reads in 1_u32..4) {
        let counts = greedy(readers, f64::from(reads), 50);
        for second in counts.windows(10) {
            let all = second.iter().sum::<f64>() * readers as f64;
            prop_assert!(all <= PLATFORM_READS_PER_S, "{all} reads in a second");
        }
    }
}

#[test]
fn refusal_names_the_time_after_which_the_read_is_granted() {
    let start = Instant::now();
    let mut budget = ReadBudget::new(start);
    budget.take(1.0, start).unwrap();
    let wait = budget.take(1.0, start).unwrap_err();
    assert!(budget.take(1.0, start + wait / 2).is_err());
    assert!(
        budget
            .take(1.0, start + wait + Duration::from_millis(1))
            .is_ok()
    );
}
