//! Notices pauses of the own process.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Gap between two ticks from which on the process counts as paused.
pub const MIN_STALL: Duration = Duration::from_millis(500);
/// Time after a pause in which what is read may have arrived during it.
const BACKLOG_TIME: Duration = Duration::from_millis(100);
/// Longest time after a pause in which the node waits to hear others.
const MAX_QUARANTINE: Duration = Duration::from_secs(2);

/// Detector of pauses of the own process, fed by a regular tick.
///
/// After a pause the node is in quarantine: what it believed may be old, so it takes no new
/// work until it hears from others. The quarantine ends by itself after a bounded time, so that
/// a node that is cut off goes on serving what it can.
#[derive(Clone, Debug)]
pub struct StallDetector {
    ticked: Instant,
    generation: u64,
    woke: Option<Instant>,
}

impl StallDetector {
    /// Returns a detector that has seen no pause.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ticked: now,
            generation: 0,
            woke: None,
        }
    }

    /// Notes that the process runs; returns the length of the pause that just ended, if any.
    ///
    /// Whatever runs first after a pause may call this, ahead of the regular tick.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = self.ticked.max(now);
        if gap < MIN_STALL {
            return None;
        }
        self.generation += 1;
        self.woke = Some(now);
        Some(gap)
    }

    /// Returns the number of pauses; a span in which it changes holds a pause.
    #[must_use]
    pub fn stall_count(&self) -> u64 {
        self.generation
    }

    /// Notes word of another node or of the platform that was read at `now`.
    ///
    /// Word that is read right after a pause may have waited since before it, so only word
    /// that is read a moment later ends the quarantine.
    pub fn record_message(&mut self, now: Instant) {
        let is_fresh = |woke: &Instant| now.saturating_duration_since(*woke) >= BACKLOG_TIME;
        if self.woke.as_ref().is_some_and(is_fresh) {
            self.woke = None;
        }
    }

    /// Returns whether the node must take no new work yet.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.woke
            .is_some_and(|woke| now.saturating_duration_since(woke) < MAX_QUARANTINE)
    }
}
