//! The reads of all readers together stay within the platform's read rate.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use proptest::prelude::*;
use wagtaillever_coordination::{PLATFORM_READS_PER_S, ReadBudget};

/// Returns the reads per tenth of a second of a reader that reads whenever its budget allows.
fn reads_per_tenth(readers: usize, reads: f64, tenths: usize) -> Vec<f64> {
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
    fn readers_together_stay_within_the_platform_rate(readers in 1_usize..500, reads in 1_u32..4) {
        let counts = reads_per_tenth(readers, f64::from(reads), 50);
        for second in counts.windows(10) {
            let total = second.iter().sum::<f64>() * readers as f64;
            prop_assert!(total <= PLATFORM_READS_PER_S, "{total} reads in one second, {PLATFORM_READS_PER_S} allowed");
        }
    }
}

#[test]
fn returned_wait_ends_when_the_read_is_granted() {
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
