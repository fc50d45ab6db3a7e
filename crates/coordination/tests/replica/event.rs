//! Events in the queue of the simulation.

use std::net::SocketAddr;

use wagtaillever_coordination::{LinkId, Message};

/// One end of a simulated link.
pub(crate) struct LinkEnd {
    pub(crate) node: usize,
    pub(crate) process: u64,
    pub(crate) other: LinkId,
}

/// Event at a point of simulated time.
pub(crate) struct Event {
    pub(crate) at: u64,
    pub(crate) order: u64,
    pub(crate) kind: EventKind,
}

pub(crate) enum EventKind {
    Tick(usize, u64),
    Poll(usize, u64),
    Deliver(LinkId, Message),
    LinkDown(LinkId),
    Dialed(usize, u64, SocketAddr),
    Accepted(LinkId),
    DialTimeout(usize, u64, SocketAddr),
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}
