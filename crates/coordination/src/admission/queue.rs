//! Bounded queue that is fair between callers.

use std::collections::{BTreeMap, VecDeque};

use crate::admission::{Ask, QueueTicket};

/// One queue a caller, served in turn.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    callers: BTreeMap<u64, VecDeque<(QueueTicket, Ask)>>,
    turns: VecDeque<u64>,
    evicted: VecDeque<QueueTicket>,
    len: usize,
    last: u64,
}

impl FairQueue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns a ticket that was not issued before.
    pub(super) fn issue(&mut self) -> QueueTicket {
        self.last += 1;
        QueueTicket(self.last)
    }

    /// Adds a request behind those of its caller.
    pub(super) fn push(&mut self, ask: Ask) -> QueueTicket {
        let ticket = self.issue();
        let waiting = self.callers.entry(ask.caller).or_default();
        if waiting.is_empty() {
            self.turns.push_back(ask.caller);
        }
        waiting.push_back((ticket, ask));
        self.len += 1;
        ticket
    }

    /// Takes the oldest request of the caller whose turn it is.
    pub(super) fn pop(&mut self) -> Option<(QueueTicket, Ask)> {
        let caller = self.turns.pop_front()?;
        let waiting = self.callers.get_mut(&caller)?;
        let taken = waiting.pop_front()?;
        self.len -= 1;
        if waiting.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.turns.push_back(caller);
        }
        Some(taken)
    }

    /// Evicts the newest request of the caller with the most, if that caller
    /// has clearly more than the one that asks; returns whether it did.
    pub(super) fn make_room(&mut self, caller: u64) -> bool {
        let own = self.callers.get(&caller).map_or(0, VecDeque::len);
        let most = self.callers.iter().max_by_key(|(_, waiting)| waiting.len());
        let Some((&other, waiting)) = most else {
            return false;
        };
        if waiting.len() <= own + 1 {
            return false;
        }
        let newest = waiting.back().map(|&(ticket, _)| ticket);
        let Some(ticket) = newest else {
            return false;
        };
        self.take_out(other, ticket);
        self.evicted.push_back(ticket);
        true
    }

    /// Returns an evicted request that was not yet told.
    pub(super) fn take_evicted(&mut self) -> Option<QueueTicket> {
        self.evicted.pop_front()
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let is_here =
            |waiting: &VecDeque<(QueueTicket, Ask)>| waiting.iter().any(|&(t, _)| t == ticket);
        let found = self.callers.iter().find(|(_, waiting)| is_here(waiting));
        let Some((&caller, _)) = found else {
            self.evicted.retain(|&evicted| evicted != ticket);
            return false;
        };
        self.take_out(caller, ticket);
        true
    }

    fn take_out(&mut self, caller: u64, ticket: QueueTicket) {
        let Some(waiting) = self.callers.get_mut(&caller) else {
            return;
        };
        waiting.retain(|&(other, _)| other != ticket);
        self.len -= 1;
        if waiting.is_empty() {
            self.callers.remove(&caller);
            self.turns.retain(|&other| other != caller);
        }
    }
}
