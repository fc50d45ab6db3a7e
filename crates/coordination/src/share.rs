//! Limit on the calls in flight, shared fairly between callers.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, sync::Arc};

/// Calls in flight by caller, under one limit for all callers.
///
/// A caller may have at most as many calls in flight as there are free places: a single caller gets
/// half of the limit, two callers get a third each, and so on. There is always room for a new
/// caller, and no limit per caller needs to be configured.
#[derive(Debug)]
pub struct CallShares {
    limit: usize,
    total: usize,
    call_counts: HashMap<Arc<str>, usize>,
}

impl CallShares {
    /// Returns an empty count with a limit on the calls in flight.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            call_counts: HashMap::new(),
        }
    }

    /// Adds a call of a caller, unless the caller has already used up its share; returns whether
    /// the call was added.
    #[must_use]
    pub fn try_acquire(&mut self, caller: &Arc<str>) -> bool {
        let free = self.limit - self.total;
        let held = self.call_counts.get(caller).copied().unwrap_or(0);
        if held >= free {
            return false;
        }
        self.total += 1;
        *self.call_counts.entry(Arc::clone(caller)).or_default() += 1;
        true
    }

    /// Removes a call of a caller.
    ///
    /// # Panics
    ///
    /// Panics when the caller has no call in flight.
    pub fn release(&mut self, caller: &Arc<str>) {
        let held = self.call_counts.get_mut(caller);
        let held = held.expect("the caller has a call in flight");
        *held -= 1;
        self.total -= 1;
        if *held == 0 {
            self.call_counts.remove(caller);
        }
    }

    /// Returns the number of calls in flight over all callers.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }
}
