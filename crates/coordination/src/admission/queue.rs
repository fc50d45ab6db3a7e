//! Queue that is fair between callers.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Instant,
};

use crate::admission::{AdmissionRequest, QueueTicket};

/// One FIFO queue per caller, served round robin.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    callers: BTreeMap<u64, VecDeque<(QueueTicket, AdmissionRequest)>>,
    caller_order: VecDeque<u64>,
    len: usize,
}

impl FairQueue {
    /// Returns how many requests are queued.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request behind those of the same caller.
    pub(super) fn push(&mut self, ticket: QueueTicket, request: AdmissionRequest) {
        let waiting = self.callers.entry(request.caller).or_default();
        if waiting.is_empty() {
            self.caller_order.push_back(request.caller);
        }
        waiting.push_back((ticket, request));
        self.len += 1;
    }

    /// Removes and returns the oldest request of the next caller.
    pub(super) fn pop(&mut self) -> Option<(QueueTicket, AdmissionRequest)> {
        let caller = self.caller_order.pop_front()?;
        let waiting = self.callers.get_mut(&caller)?;
        let taken = waiting.pop_front()?;
        self.len -= 1;
        if waiting.is_empty() {
            self.callers.remove(&caller);
        } else {
            self.caller_order.push_back(caller);
        }
        Some(taken)
    }

    /// Evicts the newest request of the caller with the longest queue, if that queue is longer than
    /// the queue of `caller` by at least two.
    pub(super) fn evict(&mut self, caller: u64) -> Option<QueueTicket> {
        let caller_len = self.callers.get(&caller).map_or(0, VecDeque::len);
        let longest = self.callers.iter().max_by_key(|(_, waiting)| waiting.len());
        let (&other, waiting) = longest.filter(|(_, waiting)| waiting.len() > caller_len + 1)?;
        let (ticket, _) = *waiting.back()?;
        self.remove_from(other, ticket);
        Some(ticket)
    }

    /// Returns an expired request from the head of a caller's queue, if there is one.
    pub(super) fn expired(&self, now: Instant) -> Option<QueueTicket> {
        let oldest = self.callers.values().filter_map(VecDeque::front);
        let mut expired =
            oldest.filter(|(_, request)| request.expires_at.is_some_and(|expiry| expiry <= now));
        expired.next().map(|&(ticket, _)| ticket)
    }

    /// Returns whether a request is queued here.
    pub(super) fn contains(&self, ticket: QueueTicket) -> bool {
        self.callers
            .values()
            .any(|waiting| contains(waiting, ticket))
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, ticket: QueueTicket) {
        let found = self
            .callers
            .iter()
            .find(|(_, waiting)| contains(waiting, ticket));
        if let Some((&caller, _)) = found {
            self.remove_from(caller, ticket);
        }
    }

    fn remove_from(&mut self, caller: u64, ticket: QueueTicket) {
        let Some(waiting) = self.callers.get_mut(&caller) else {
            return;
        };
        waiting.retain(|&(other, _)| other != ticket);
        self.len -= 1;
        if waiting.is_empty() {
            self.callers.remove(&caller);
            self.caller_order.retain(|&other| other != caller);
        }
    }
}

fn contains(waiting: &VecDeque<(QueueTicket, AdmissionRequest)>, ticket: QueueTicket) -> bool {
    waiting.iter().any(|&(other, _)| other == ticket)
}
