//! Detection of pauses of this process.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// Shortest gap between two ticks that counts as a pause of the process.
pub const MIN_STALL: Duration = Duration::from_millis(500);
/// Time after a pause during which messages that are read may have arrived before or during it.
const BACKLOG_WINDOW: Duration = Duration::from_millis(100);
/// Maximum duration of the quarantine after a pause.
const MAX_QUARANTINE: Duration = Duration::from_secs(2);

/// Detector of pauses of this process, driven by a regular tick.
///
/// After a pause the node is quarantined: its state may be outdated, so it accepts no new work until
/// it receives a message from another node or the platform. The quarantine is limited in time, so
/// that a node that is cut off continues to serve.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_tick: Instant,
    stall_count: u64,
    resumed: Option<Instant>,
}

impl StallDetector {
    /// Returns a detector that has not detected any pause.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            stall_count: 0,
            resumed: None,
        }
    }

    /// Records that the process is running and returns the length of the pause that just ended, if
    /// any.
    ///
    /// May also be called between regular ticks, by whatever code runs first after a pause.
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if gap < MIN_STALL {
            return None;
        }
        self.stall_count += 1;
        self.resumed = Some(now);
        Some(gap)
    }

    /// Returns the number of pauses so far. If it changes during an interval, the process was
    /// paused within it.
    #[must_use]
    pub fn stall_count(&self) -> u64 {
        self.stall_count
    }

    /// Records a message from another node or the platform that was read at `now`.
    ///
    /// Messages read right after a pause may have been buffered since before it. Only messages read
    /// after a short delay end the quarantine.
    pub fn record_message(&mut self, now: Instant) {
        let is_fresh =
            |resumed: &Instant| now.saturating_duration_since(*resumed) >= BACKLOG_WINDOW;
        if self.resumed.as_ref().is_some_and(is_fresh) {
            self.resumed = None;
        }
    }

    /// Returns whether the node must not accept new work yet.
    #[must_use]
    pub fn is_quarantined(&self, now: Instant) -> bool {
        self.resumed
            .is_some_and(|resumed| now.saturating_duration_since(resumed) < MAX_QUARANTINE)
    }
}
