//! Rate limit for log lines of one kind.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Budget of log lines per second for one kind of line; lines beyond it are counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineBudget {
    window_start: Instant,
    used: u32,
    suppressed: u64,
}

/// Maximum number of lines of one kind per second: a small multiple of the call rate per node at
/// the target size, 210,000 calls per second on 2,000 nodes.
const MAX_LINES_PER_SECOND: u32 = 250;

impl LineBudget {
    /// Creates an unused budget.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            used: 0,
            suppressed: 0,
        }
    }

    /// Takes one line from the budget and returns the number of lines suppressed since the last
    /// one; `None` if the budget is exhausted and this line must be suppressed too.
    pub(crate) fn take(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.used = 0;
        }
        if self.used >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.used += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
