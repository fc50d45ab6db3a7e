//! Budget for the bytes of bodies that the process buffers.

#[cfg(test)]
mod tests;

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that each call gets even if the budget is used up: one part of a body and one read. Large bodies of
/// some callers then leave small ones of others their room, which the number of calls bounds.
const GRANTED_BYTES: usize = 32 << 10;

/// Bytes of bodies that all calls of the process buffer, at the ingress and at the sidecar. Clones share
/// the count.
#[derive(Clone, Debug)]
pub(crate) struct BodyBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
    /// Bytes that each call gets even if the budget is used up.
    granted: usize,
}

/// Bytes that one call has taken from the budget, returned on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates an unused budget.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
            granted: GRANTED_BYTES,
        }
    }

    /// Creates an unused budget that grants nothing beyond its limit.
    pub(crate) fn strict(limit: usize) -> Self {
        Self {
            granted: 0,
            ..Self::new(limit)
        }
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    /// Changes the number of reserved bytes, unless it grows beyond what each call gets and what is left of
    /// the budget; returns whether it was changed.
    #[must_use]
    pub(crate) fn try_set(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes) else {
            self.set(bytes);
            return true;
        };
        if more == 0 {
            return true;
        }
        if bytes <= self.budget.granted {
            self.set(bytes);
            return true;
        }
        let limit = self.budget.limit;
        let grow = |used: usize| Some(used.saturating_add(more)).filter(|used| *used <= limit);
        let used = &self.budget.used;
        let is_granted = used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grow)
            .is_ok();
        if is_granted {
            self.bytes = bytes;
        }
        is_granted
    }

    /// Changes the number of reserved bytes, beyond the budget if need be: for bytes that were received
    /// and are sent on next.
    pub(crate) fn set(&mut self, bytes: usize) {
        let used = &self.budget.used;
        if bytes >= self.bytes {
            used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}
