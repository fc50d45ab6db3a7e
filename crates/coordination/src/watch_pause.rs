//! Pause of a reader between two watches of the platform.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rand::Rng;

/// Minimum time between the starts of watches that return changes: a fifth of the 2 s within which
/// the documentation of the platform requires a change to be in force.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of readers that share the watches.
const MAX_SHARING_READERS: usize = 3;

/// Returns the pause after a watch that returned changes and took `elapsed` in all, while the
/// platform answers `readers` readers including this one.
///
/// Several readers draw their pauses at random, so that most changes are soon seen by one of them
/// although each of them watches less often. After an answer that took long to transfer, such as
/// one with several configurations, the next watch starts at once, because its answer grows during
/// a pause.
pub fn watch_pause(elapsed: Duration, readers: usize, rng: &mut impl Rng) -> Duration {
    let sharing = readers.clamp(1, MAX_SHARING_READERS);
    #[allow(clippy::cast_precision_loss)]
    let factor = rng.random_range(1.0..=sharing as f64);
    MIN_WATCH_INTERVAL.mul_f64(factor).saturating_sub(elapsed)
}
