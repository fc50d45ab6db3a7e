//! Estimation of how long callers have waited before resending a request.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use crate::name::RouteName;

/// Length of the windows in which the waits of a route are counted. One counts for one to two windows.
const WINDOW: Duration = Duration::from_secs(10);
/// Part of the callers of a route that must state a wait or a longer one. Below it, callers that state any
/// number would make the others look as if they had waited long.
const MIN_SHARE: u32 = 8;
/// Waits within the same part of an octave are counted together.
const CLASSES_PER_OCTAVE: f64 = 16.0;

/// Estimates the age of requests from the time that their callers are still willing to wait.
///
/// All callers of a route are assumed to have the same total timeout. A request with less time
/// remaining has been sent before.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    routes: HashMap<RouteName, StatedWaits>,
}

/// Waits that the callers of a route stated.
#[derive(Clone, Debug)]
struct StatedWaits {
    current: Window,
    previous: Window,
    window_start: Instant,
}

/// Number of statements and longest wait by class.
type Window = BTreeMap<u32, (u32, Duration)>;

impl CallerAges {
    /// Records the time that a caller was willing to wait. Callers that don't take their answers must not
    /// count, as they may state any number.
    pub fn record(&mut self, route: &RouteName, wait: Duration, now: Instant) {
        if !self.routes.contains_key(route) {
            let waits = StatedWaits {
                current: Window::new(),
                previous: Window::new(),
                window_start: now,
            };
            self.routes.insert(route.clone(), waits);
        }
        let Some(waits) = self.routes.get_mut(route) else {
            return;
        };
        if now.saturating_duration_since(waits.window_start) >= WINDOW {
            waits.previous = std::mem::take(&mut waits.current);
            waits.window_start = now;
        }
        let (count, longest) = waits.current.entry(class_of(wait)).or_default();
        *count += 1;
        *longest = wait.max(*longest);
    }

    /// Returns how long a caller has already waited if it waits for another `remaining`.
    #[must_use]
    pub fn age(&self, route: &RouteName, remaining: Duration) -> Duration {
        let total = self.routes.get(route).map(StatedWaits::total);
        total.unwrap_or_default().saturating_sub(remaining)
    }
}

impl StatedWaits {
    /// Returns the longest wait that enough callers state.
    fn total(&self) -> Duration {
        let windows = [&self.current, &self.previous];
        let count = |window: &Window| window.values().map(|(count, _)| count).sum::<u32>();
        let enough = windows
            .into_iter()
            .map(count)
            .sum::<u32>()
            .div_ceil(MIN_SHARE);
        let mut classes: Vec<_> = windows.into_iter().flatten().collect();
        classes.sort_unstable_by(|a, b| b.cmp(a));
        let mut counted = 0;
        let total = classes.into_iter().find(|(_, (count, _))| {
            counted += count;
            counted >= enough
        });
        total.map_or(Duration::ZERO, |(_, (_, longest))| *longest)
    }
}

fn class_of(wait: Duration) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let class = (wait.as_secs_f64() * 1e3 + 1.0).log2() * CLASSES_PER_OCTAVE;
    class as u32
}
