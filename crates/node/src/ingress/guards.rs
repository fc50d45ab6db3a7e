//! Guards that count a call while it is in flight.

use std::{rc::Rc, sync::Arc, time::Instant};

use wagtaillever_coordination::Ticket;

use crate::ingress::worker::Worker;

/// Permission for one call of a caller to be in flight, released on drop.
pub(super) struct Permit {
    worker: Rc<Worker>,
    caller: Arc<str>,
}

impl Permit {
    /// Acquires a permit, or returns `None` if the caller already has its share of calls in flight.
    pub(super) fn acquire(worker: &Rc<Worker>, caller: Arc<str>) -> Option<Self> {
        let is_acquired = worker.caller_shares.borrow_mut().try_acquire(&caller);
        if !is_acquired {
            // The caller finds the share of the evicted connection when it sends its request again.
            worker.connections.evict_stalled(None, Instant::now());
            return None;
        }
        metrics::gauge!("calls_in_flight").increment(1);
        Some(Self {
            worker: Rc::clone(worker),
            caller,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        metrics::gauge!("calls_in_flight").decrement(1);
        self.worker.caller_shares.borrow_mut().release(&self.caller);
    }
}

/// Counts a call as outstanding at its upstream until drop.
pub(super) struct CallGuard {
    worker: Rc<Worker>,
    ticket: Ticket,
}

impl CallGuard {
    pub(super) fn new(worker: &Rc<Worker>, ticket: Ticket) -> Self {
        Self {
            worker: Rc::clone(worker),
            ticket,
        }
    }

    pub(super) fn ticket(&self) -> &Ticket {
        &self.ticket
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut balancer = self.worker.balancer.borrow_mut();
        balancer.release(&self.ticket, Instant::now());
    }
}
