//! Bounded queue that is fair between callers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::admission::{AdmissionRequest, QueueTicket};

/// One queue a caller, served in turn.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    callers: BTreeMap<u64, VecDeque<(QueueTicket, AdmissionRequest)>>,
    turns: VecDeque<u64>,
    len: usize,
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

    /// Adds a request behind those of its caller.
    pub(super) fn push(&mut self, ticket: QueueTicket, ask: AdmissionRequest) {
        let waiting = self.callers.entry(ask.caller).or_default();
        if waiting.is_empty() {
            self.turns.push_back(ask.caller);
        }
        waiting.push_back((ticket, ask));
        self.len += 1;
    }

    /// Takes the oldest request of the caller whose turn it is.
    pub(super) fn pop(&mut self) -> Option<(QueueTicket, AdmissionRequest)> {
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

    /// Evicts the newest request of the caller with the most, if that caller has clearly more than
    /// the one that asks.
    pub(super) fn evict(&mut self, caller: u64) -> Option<QueueTicket> {
        let own = self.callers.get(&caller).map_or(0, VecDeque::len);
        let most = self.callers.iter().max_by_key(|(_, waiting)| waiting.len());
        let (&other, waiting) = most.filter(|(_, waiting)| waiting.len() > own + 1)?;
        let (ticket, _) = *waiting.back()?;
        self.take_out(other, ticket);
        Some(ticket)
    }

    /// Returns the oldest request of a caller whose patience is over, if there is one.
    pub(super) fn expired(&self, now: Instant) -> Option<QueueTicket> {
        let oldest = self.callers.values().filter_map(VecDeque::front);
        let mut expired =
            oldest.filter(|(_, ask)| ask.expires_at.is_some_and(|until| until <= now));
        expired.next().map(|&(ticket, _)| ticket)
    }

    /// Returns whether a request waits here.
    pub(super) fn has(&self, ticket: QueueTicket) -> bool {
        self.callers.values().any(|waiting| has(waiting, ticket))
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, ticket: QueueTicket) {
        let found = self
            .callers
            .iter()
            .find(|(_, waiting)| has(waiting, ticket));
        if let Some((&caller, _)) = found {
            self.take_out(caller, ticket);
        }
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

fn has(waiting: &VecDeque<(QueueTicket, AdmissionRequest)>, ticket: QueueTicket) -> bool {
    waiting.iter().any(|&(other, _)| other == ticket)
}
