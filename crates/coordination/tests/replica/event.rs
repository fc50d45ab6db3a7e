//! Queue entries of the simulation.

use std::net::SocketAddr;

use wagtaillever_coordination::{LinkId, Message};

/// One end of a link.
pub(crate) struct End {
    pub(crate) node: usize,
    pub(crate) start: u64,
    pub(crate) other: LinkId,
}

/// Something that happens at a time.
pub(crate) struct Event {
    pub(crate) at: u64,
    pub(crate) order: u64,
    pub(crate) kind: Kind,
}

/// What happens.
pub(crate) enum Kind {
    Tick(usize, u64),
    Poll(usize, u64),
    Deliver(LinkId, Message),
    Down(LinkId),
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
