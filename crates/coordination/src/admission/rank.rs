//! Order among requests that wait for an upstream.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::admission::{AdmissionRequest, QueueTicket, queue::FairQueue};

/// Rank of a request; the lowest goes first.
///
/// Requests that can still be answered in time go before those that can't. Of routes with one
/// priority, the one whose callers want the answer sooner goes first: its requests are short, and
/// often are calls of other upstreams whose work is lost without the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether the answer will come later than the caller wants it.
    pub is_late: bool,
    /// Priority of the route; 0 goes first.
    pub priority: u8,
    /// Time in milliseconds within which callers of the route want the answer.
    pub target_ms: u32,
}

impl Rank {
    /// Rank behind which no other comes.
    pub(super) const LAST: Self = Self {
        is_late: true,
        priority: u8::MAX,
        target_ms: u32::MAX,
    };

    /// Returns the time within which callers of the route want the answer.
    pub(super) fn wanted(self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }
}

/// One queue for each rank; each is fair between callers.
#[derive(Clone, Debug, Default)]
pub(super) struct RankedQueue {
    ranks: BTreeMap<Rank, FairQueue>,
    evicted: Vec<QueueTicket>,
    len: usize,
    last: u64,
}

impl RankedQueue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over the ranks up to one and how many requests of each wait.
    pub(super) fn up_to(&self, rank: Rank) -> impl Iterator<Item = (Rank, usize)> + '_ {
        let ranks = self.ranks.range(..=rank);
        ranks.map(|(rank, queue)| (*rank, queue.len()))
    }

    /// Returns a ticket that was not issued before.
    pub(super) fn issue(&mut self) -> QueueTicket {
        self.last += 1;
        QueueTicket(self.last)
    }

    /// Adds a request behind those of its rank and caller.
    pub(super) fn push(&mut self, ask: AdmissionRequest) -> QueueTicket {
        let ticket = self.issue();
        self.ranks.entry(ask.rank).or_default().push(ticket, ask);
        self.len += 1;
        ticket
    }

    /// Iterates over the ranks of which requests wait, in the order in which they go.
    pub(super) fn ranks(&self) -> impl Iterator<Item = Rank> + '_ {
        self.ranks.keys().copied()
    }

    /// Takes the request of a rank that goes first.
    pub(super) fn pop_rank(&mut self, rank: Rank) -> Option<(QueueTicket, AdmissionRequest)> {
        let queue = self.ranks.get_mut(&rank)?;
        let taken = queue.pop();
        if queue.is_empty() {
            self.ranks.remove(&rank);
        }
        self.len -= usize::from(taken.is_some());
        taken
    }

    /// Takes the request that goes first.
    pub(super) fn pop(&mut self) -> Option<(QueueTicket, AdmissionRequest)> {
        let rank = self.ranks().next()?;
        self.pop_rank(rank)
    }

    /// Takes a request out that has waited until its patience was over, if there is one.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<QueueTicket> {
        let queues = self.ranks.values();
        let ticket = queues.filter_map(|queue| queue.expired(now)).next()?;
        self.remove(ticket);
        Some(ticket)
    }

    /// Evicts the newest request of the caller with the most of a rank, if that caller has clearly
    /// more than the one that asks; returns whether it did.
    pub(super) fn make_room(&mut self, ask: &AdmissionRequest) -> bool {
        let queue = self.ranks.get_mut(&ask.rank);
        let Some(ticket) = queue.and_then(|queue| queue.evict(ask.caller)) else {
            return false;
        };
        self.len -= 1;
        self.evicted.push(ticket);
        true
    }

    /// Returns an evicted request that was not yet told.
    pub(super) fn take_evicted(&mut self) -> Option<QueueTicket> {
        self.evicted.pop()
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let found = self.ranks.iter_mut().find(|(_, queue)| queue.has(ticket));
        let Some((&rank, queue)) = found else {
            self.evicted.retain(|&evicted| evicted != ticket);
            return false;
        };
        queue.remove(ticket);
        if queue.is_empty() {
            self.ranks.remove(&rank);
        }
        self.len -= 1;
        true
    }
}
