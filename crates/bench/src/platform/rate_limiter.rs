//! Rate limit over a sliding window of one second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls and limits them in a sliding window of one second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: usize,
    offered: VecDeque<Instant>,
    admitted: VecDeque<Instant>,
    total: u64,
    refused: u64,
    peak: usize,
}

impl RateLimiter {
    /// Returns a limiter that admits `rate` calls per second.
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

    /// Counts one call and decides whether to admit it.
    ///
    /// # Errors
    ///
    /// Returns the time until the next call can be admitted if the rate is exceeded.
    pub(crate) fn count(&mut self, now: Instant) -> Result<(), Duration> {
        self.total += 1;
        remove_expired(&mut self.offered, now);
        self.offered.push_back(now);
        self.peak = self.peak.max(self.offered.len());
        remove_expired(&mut self.admitted, now);
        if self.admitted.len() < self.rate {
            self.admitted.push_back(now);
            return Ok(());
        }
        self.refused += 1;
        let oldest = self.admitted.front().copied();
        let retry_after = oldest.map_or(WINDOW, |oldest| (oldest + WINDOW).duration_since(now));
        Err(retry_after)
    }

    /// Returns the number of calls, including refused ones.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Returns the number of refused calls.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the highest number of calls in any window of one second, including refused ones.
    pub(crate) fn peak(&self) -> usize {
        self.peak
    }

    /// Resets the peak to zero.
    pub(crate) fn reset_peak(&mut self) {
        self.peak = 0;
    }
}

fn remove_expired(calls: &mut VecDeque<Instant>, now: Instant) {
    while calls.front().is_some_and(|&at| now >= at + WINDOW) {
        calls.pop_front();
    }
}

#[cfg(test)]
mod tests;
