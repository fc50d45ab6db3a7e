//! Pause of a reader between two watches of the platform.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Minimum time between the starts of watches that return changes: a fifth of the 2 s within which
/// the documentation of the platform requires a change to be in force.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the pause after a watch that returned changes and took `elapsed` in all. After an answer
/// that took long to transfer, such as one with several configurations, the next watch starts at
/// once, because its answer grows during a pause.
#[must_use]
pub fn watch_pause(elapsed: Duration) -> Duration {
    MIN_WATCH_INTERVAL.saturating_sub(elapsed)
}
