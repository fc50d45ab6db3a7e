//! Priority order of the requests queued for an upstream.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::admission::{AdmissionRequest, QueueTicket, queue::FairQueue};

/// Rank of a request; the lowest is served first.
///
/// Requests that can still meet their target latency are served before those that cannot. Among
/// routes of equal priority, the one with the shorter target latency is served first: its requests
/// are short, and they are often calls from other upstreams, whose work is lost without the
/// response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether the response will miss the target latency.
    pub is_late: bool,
    /// Priority of the route; 0 is served first.
    pub priority: u8,
    /// Target latency of the route in milliseconds.
    pub target_ms: u32,
}

impl Rank {
    /// Rank that is served after all others.
    pub(super) const LAST: Self = Self {
        is_late: true,
        priority: u8::MAX,
        target_ms: u32::MAX,
    };

    /// Returns the target latency of the route.
    pub(super) fn target(self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }
}

/// One queue per rank, each fair between callers.
#[derive(Clone, Debug, Default)]
pub(super) struct RankedQueue {
    ranks: BTreeMap<Rank, FairQueue>,
    evicted: Vec<QueueTicket>,
    len: usize,
    last_ticket: u64,
}

impl RankedQueue {
    /// Returns how many requests are queued.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over the ranks up to `rank` inclusive, with the number of queued requests of each.
    pub(super) fn counts_through(&self, rank: Rank) -> impl Iterator<Item = (Rank, usize)> + '_ {
        let ranks = self.ranks.range(..=rank);
        ranks.map(|(rank, queue)| (*rank, queue.len()))
    }

    /// Returns a ticket that was not issued before.
    pub(super) fn issue_ticket(&mut self) -> QueueTicket {
        self.last_ticket += 1;
        QueueTicket(self.last_ticket)
    }

    /// Appends a request behind those of the same rank and caller.
    pub(super) fn push(&mut self, request: AdmissionRequest) -> QueueTicket {
        let ticket = self.issue_ticket();
        self.ranks
            .entry(request.rank)
            .or_default()
            .push(ticket, request);
        self.len += 1;
        ticket
    }

    /// Iterates over the ranks that have queued requests, in serving order.
    pub(super) fn ranks(&self) -> impl Iterator<Item = Rank> + '_ {
        self.ranks.keys().copied()
    }

    /// Removes and returns the next request of a rank.
    pub(super) fn pop_rank(&mut self, rank: Rank) -> Option<(QueueTicket, AdmissionRequest)> {
        let queue = self.ranks.get_mut(&rank)?;
        let taken = queue.pop();
        if queue.is_empty() {
            self.ranks.remove(&rank);
        }
        self.len -= usize::from(taken.is_some());
        taken
    }

    /// Removes and returns the next request of all ranks.
    pub(super) fn pop(&mut self) -> Option<(QueueTicket, AdmissionRequest)> {
        let rank = self.ranks().next()?;
        self.pop_rank(rank)
    }

    /// Removes a request that has expired in the queue, if there is one.
    pub(super) fn pop_expired(&mut self, now: Instant) -> Option<QueueTicket> {
        let queues = self.ranks.values();
        let ticket = queues.filter_map(|queue| queue.expired(now)).next()?;
        self.remove(ticket);
        Some(ticket)
    }

    /// Makes room for a request by evicting another one of the same rank, if a different caller has
    /// clearly more requests queued; returns whether one was evicted.
    pub(super) fn make_room(&mut self, request: &AdmissionRequest) -> bool {
        let queue = self.ranks.get_mut(&request.rank);
        let Some(ticket) = queue.and_then(|queue| queue.evict(request.caller)) else {
            return false;
        };
        self.len -= 1;
        self.evicted.push(ticket);
        true
    }

    /// Removes and returns the ticket of an evicted request whose refusal was not reported yet.
    pub(super) fn take_evicted(&mut self) -> Option<QueueTicket> {
        self.evicted.pop()
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let found = self
            .ranks
            .iter_mut()
            .find(|(_, queue)| queue.contains(ticket));
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
