//! How long callers have waited for an answer before they sent a request again.

#[cfg(test)]
mod tests;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::name::RouteName;

/// Time after which the longest wait of a route is forgotten, unless it is seen again.
const WINDOW: Duration = Duration::from_secs(10);

/// Tells the age of a request from the time for which its caller still waits.
///
/// Callers of a route wait for the same time in all. A request that leaves less was sent before.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<RouteName, Longest>,
}

#[derive(Clone, Copy, Debug)]
struct Longest {
    current: Duration,
    before: Duration,
    since: Instant,
}

impl CallerAges {
    /// Returns how long a caller has waited that still waits for `left`.
    pub fn age(&mut self, route: &RouteName, left: Duration, now: Instant) -> Duration {
        let Some(longest) = self.routes.get_mut(route) else {
            let longest = Longest {
                current: left,
                before: left,
                since: now,
            };
            self.routes.insert(route.clone(), longest);
            return Duration::ZERO;
        };
        if now.saturating_duration_since(longest.since) >= WINDOW {
            longest.before = longest.current;
            longest.current = left;
            longest.since = now;
        }
        longest.current = longest.current.max(left);
        let usual = longest.current.max(longest.before);
        usual.saturating_sub(left)
    }
}
