//! Guards that count a call as long as it is in flight.

use std::{rc::Rc, sync::Arc, time::Instant};

use wagtaillever_coordination::Ticket;

use crate::ingress::worker::Worker;

/// A caller's share of the calls in flight, given back on drop.
pub(super) struct Permit {
    worker: Rc<Worker>,
    caller: Arc<str>,
}

impl Permit {
    /// Takes a share, unless the caller holds too many.
    pub(super) fn take(worker: &Rc<Worker>, caller: Arc<str>) -> Option<Self> {
        let is_taken = worker.shares.borrow_mut().try_acquire(&caller);
        if !is_taken {
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
        self.worker.shares.borrow_mut().release(&self.caller);
    }
}

/// One call at one upstream, counted until drop.
pub(super) struct CallGuard {
    worker: Rc<Worker>,
    ticket: Ticket,
}

impl CallGuard {
    /// Returns the guard of a ticket.
    pub(super) fn new(worker: &Rc<Worker>, ticket: Ticket) -> Self {
        Self {
            worker: Rc::clone(worker),
            ticket,
        }
    }

    /// Returns the ticket.
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
