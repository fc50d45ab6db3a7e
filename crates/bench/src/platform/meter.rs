//! Count of calls in a sliding window of one second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(1);

/// Count of calls in a sliding window of one second, with an upper bound.
#[derive(Debug)]
pub(crate) struct Meter {
    rate: usize,
    offered: VecDeque<Instant>,
    admitted: VecDeque<Instant>,
    total: u64,
    refused: u64,
    peak: usize,
}

impl Meter {
    /// Returns a meter that admits `rate` calls a second.
    pub(crate) fn new(rate: usize) -> Self {
        Self {
            rate,
            offered: VecDeque::new(),
            admitted: VecDeque::new(),
            total: 0,
            refused: 0,
            peak: 0,
        }
    }

    /// Counts one call.
    ///
    /// # Errors
    ///
    /// Returns the time after which a call is admitted again when the rate is used up.
    pub(crate) fn count(&mut self, now: Instant) -> Result<(), Duration> {
        self.total += 1;
        forget(&mut self.offered, now);
        self.offered.push_back(now);
        self.peak = self.peak.max(self.offered.len());
        forget(&mut self.admitted, now);
        if self.admitted.len() < self.rate {
            self.admitted.push_back(now);
            return Ok(());
        }
        self.refused += 1;
        let oldest = self.admitted.front().copied();
        let free = oldest.map_or(WINDOW, |oldest| (oldest + WINDOW).duration_since(now));
        Err(free)
    }

    /// Returns all calls so far, refused ones too.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the calls that were refused.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the most calls of any window of one second, refused ones too.
    pub(crate) fn peak(&self) -> usize {
        self.peak
    }

    /// Starts the peak afresh.
    pub(crate) fn reset_peak(&mut self) {
        self.peak = 0;
    }
}

fn forget(calls: &mut VecDeque<Instant>, now: Instant) {
    while calls.front().is_some_and(|&at| now >= at + WINDOW) {
        calls.pop_front();
    }
}

#[cfg(test)]
mod tests;
