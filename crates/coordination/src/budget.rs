//! A node's share of the platform's read rate.

use std::time::{Duration, Instant};

/// Reads per second that the platform allows all readers together.
pub const PLATFORM_READS_PER_S: f64 = 2_000.0;
/// Part of the platform's rate that the nodes plan to use.
const USED_PART: f64 = 0.5;
/// Readers that are assumed while the size of the fleet is unknown.
const UNKNOWN_READERS: usize = 4_000;
/// Most reads that a node makes at once.
const MAX_BURST: f64 = 40.0;
/// Fastest rate of one node in reads per second.
const MAX_RATE_S: f64 = 50.0;

/// Token bucket that holds one node to its share of the platform's read rate.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl ReadBudget {
    /// Returns the budget of a node that does not know the size of the fleet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let mut budget = Self {
            rate: 0.0,
            burst: 1.0,
            tokens: 1.0,
            filled: now,
        };
        budget.set_readers(UNKNOWN_READERS, now);
        budget
    }

    /// Shares the platform's rate among a count of potential readers.
    pub fn set_readers(&mut self, readers: usize, now: Instant) {
        self.fill(now);
        #[allow(clippy::cast_precision_loss)]
        let readers = readers.max(1) as f64;
        let share = PLATFORM_READS_PER_S * USED_PART / readers;
        self.rate = share.min(MAX_RATE_S);
        let before = self.burst;
        self.burst = (share / 2.0).clamp(1.0, MAX_BURST);
        self.tokens = (self.tokens + (self.burst - before).max(0.0)).min(self.burst);
    }

    /// Takes the tokens for some reads, or returns the time to wait for them.
    ///
    /// More reads than the burst are granted when the bucket is full; the
    /// reads that follow wait for longer then.
    ///
    /// # Errors
    ///
    /// Returns the time after which the reads are granted.
    pub fn take(&mut self, reads: f64, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        let needed = reads.min(self.burst);
        if self.tokens >= needed {
            self.tokens -= reads;
            return Ok(());
        }
        let missing = needed - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate).max(Duration::from_millis(1)))
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled = now;
    }
}
