//! Bound of the calls in flight, shared fairly by callers.

#[cfg(test)]
mod tests;

use std::{collections::HashMap, sync::Arc};

/// Calls in flight by caller, under one bound for all.
///
/// A caller may hold as many calls as are free for all others: one alone gets half of the
/// bound, two a third each, and so on. Whoever comes anew finds room, and no caller needs a
/// limit of its own.
#[derive(Debug)]
pub struct CallShares {
    limit: usize,
    total: usize,
    callers: HashMap<Arc<str>, usize>,
}

impl CallShares {
    /// Returns shares of a bound.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            total: 0,
            callers: HashMap::new(),
        }
    }

    /// Counts a call of a caller, unless it holds its share already.
    #[must_use]
    pub fn try_acquire(&mut self, caller: &Arc<str>) -> bool {
        let free = self.limit - self.total;
        let held = self.callers.get(caller).copied().unwrap_or(0);
        if held >= free {
            return false;
        }
        self.total += 1;
        *self.callers.entry(Arc::clone(caller)).or_default() += 1;
        true
    }

    /// Ends the count of a call.
    ///
    /// # Panics
    ///
    /// Panics when the caller has no call in flight.
    pub fn release(&mut self, caller: &Arc<str>) {
        let held = self.callers.get_mut(caller);
        let held = held.expect("the caller has a call in flight");
        *held -= 1;
        self.total -= 1;
        if *held == 0 {
            self.callers.remove(caller);
        }
    }

    /// Returns the calls in flight of all callers.
    #[must_use]
    pub fn total(&self) -> usize {
        self.total
    }
}
