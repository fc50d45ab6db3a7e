//! What happens while a node stops.

use std::time::Duration;

use rand::Rng;

/// Time after the SIGTERM within which something else happens.
const WINDOW: std::ops::Range<f64> = 0.05..5.0;

/// What happens to a node after its SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Disturbance {
    /// A second SIGTERM.
    Terminate,
    /// A SIGHUP.
    Hangup,
}

/// Returns the disturbances of one stop in order, with their time after the SIGTERM.
pub(super) fn disturbances(rng: &mut impl Rng) -> Vec<(Duration, Disturbance)> {
    let mut all = Vec::new();
    for kind in [Disturbance::Terminate, Disturbance::Hangup] {
        if rng.random_bool(0.5) {
            all.push((Duration::from_secs_f64(rng.random_range(WINDOW)), kind));
        }
    }
    all.sort_by_key(|(at, _)| *at);
    all
}
