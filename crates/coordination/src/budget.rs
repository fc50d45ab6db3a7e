//! Rate limit of a node's reads from the platform.

use std::time::{Duration, Instant};

/// Reads per second that the platform allows for all readers together.
pub const PLATFORM_READS_PER_S: f64 = 2_000.0;
/// Share of the platform's read rate that the nodes use.
const USED_SHARE: f64 = 0.5;
/// Number of readers assumed while the size of the fleet is unknown.
const DEFAULT_READERS: usize = 4_000;
/// Largest burst of reads of one node.
const MAX_BURST_READS: f64 = 40.0;
/// Highest read rate of one node.
const MAX_READS_PER_S: f64 = 50.0;

/// Token bucket that limits one node to its share of the platform's read rate.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl ReadBudget {
    /// Creates the budget of a node that does not yet know the size of the fleet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let mut budget = Self {
            rate: 0.0,
            burst: 1.0,
            tokens: 1.0,
            refilled_at: now,
        };
        budget.set_readers(DEFAULT_READERS, now);
        budget
    }

    /// Divides the platform's read rate among `readers` potential readers.
    pub fn set_readers(&mut self, readers: usize, now: Instant) {
        self.refill(now);
        #[allow(clippy::cast_precision_loss)]
        let readers = readers.max(1) as f64;
        let share = PLATFORM_READS_PER_S * USED_SHARE / readers;
        self.rate = share.min(MAX_READS_PER_S);
        let before = self.burst;
        self.burst = (share / 2.0).clamp(1.0, MAX_BURST_READS);
        self.tokens = (self.tokens + (self.burst - before).max(0.0)).min(self.burst);
    }

    /// Takes the tokens for `reads` reads.
    ///
    /// A request for more reads than the burst is granted once the bucket is full. The bucket then
    /// goes negative, so the next reads wait longer.
    ///
    /// # Errors
    ///
    /// Returns the time to wait if there are not enough tokens.
    pub fn take(&mut self, reads: f64, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        let needed = reads.min(self.burst);
        if self.tokens >= needed {
            self.tokens -= reads;
            return Ok(());
        }
        let missing = needed - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate).max(Duration::from_millis(1)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
    }
}
