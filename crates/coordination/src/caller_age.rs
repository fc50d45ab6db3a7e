//! Estimation of how long callers have waited before resending a request.

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::name::RouteName;

/// Length of the windows over which the maximum remaining wait of a route is tracked. A maximum
/// expires after one to two windows unless it is observed again.
const WINDOW: Duration = Duration::from_secs(10);

/// Estimates the age of requests from the time that their callers are still willing to wait.
///
/// All callers of a route are assumed to have the same total timeout. A request with less time
/// remaining has been sent before.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<RouteName, LongestWaits>,
}

#[derive(Clone, Copy, Debug)]
struct LongestWaits {
    current: Duration,
    previous: Duration,
    window_start: Instant,
}

impl CallerAges {
    /// Returns how long a caller has already waited if it waits for another `remaining`.
    pub fn age(&mut self, route: &RouteName, remaining: Duration, now: Instant) -> Duration {
        let Some(waits) = self.routes.get_mut(route) else {
            let waits = LongestWaits {
                current: remaining,
                previous: remaining,
                window_start: now,
            };
            self.routes.insert(route.clone(), waits);
            return Duration::ZERO;
        };
        if now.saturating_duration_since(waits.window_start) >= WINDOW {
            waits.previous = waits.current;
            waits.current = remaining;
            waits.window_start = now;
        }
        waits.current = waits.current.max(remaining);
        let total = waits.current.max(waits.previous);
        total.saturating_sub(remaining)
    }
}
