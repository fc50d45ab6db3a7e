//! Requests that run one at a time, without other requests in parallel.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::admission::{AdmissionRequest, QueueTicket};

/// Queue of requests that may crash the upstream.
///
/// Other requests are blocked while one of these waits at the head of the queue or runs, each time
/// for at most [`MAX_BLOCK`]. After that, the request runs in parallel with the others, but still
/// only one request of this queue at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct AloneQueue {
    waiting: VecDeque<(QueueTicket, AdmissionRequest)>,
    head_since: Option<Instant>,
    running: bool,
    block_until: Option<Instant>,
}

/// Maximum number of requests that wait to run alone.
pub(super) const MAX_QUEUED_ALONE: u32 = 32;
/// Maximum time for which other requests are blocked while a request waits, and again while it
/// runs.
const MAX_BLOCK: Duration = Duration::from_millis(250);

impl AloneQueue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue accepts no further request.
    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_QUEUED_ALONE as usize
    }

    /// Returns whether a request of this queue is running.
    pub(super) fn is_running(&self) -> bool {
        self.running
    }

    /// Returns whether other requests must not start.
    pub(super) fn blocks_others(&self, now: Instant) -> bool {
        if self.running {
            return self
                .block_until
                .is_some_and(|block_until| now < block_until);
        }
        !self.waiting.is_empty() && !self.is_overdue(now)
    }

    /// Returns whether the head of the queue has waited so long that it may run in parallel.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        self.head_since
            .is_some_and(|head_since| now.saturating_duration_since(head_since) >= MAX_BLOCK)
    }

    /// Appends a request.
    pub(super) fn push(&mut self, ticket: QueueTicket, request: AdmissionRequest, now: Instant) {
        self.waiting.push_back((ticket, request));
        self.head_since.get_or_insert(now);
    }

    /// Removes and returns the oldest request.
    pub(super) fn pop(&mut self, now: Instant) -> Option<(QueueTicket, AdmissionRequest)> {
        let taken = self.waiting.pop_front();
        self.head_since = (!self.waiting.is_empty()).then_some(now);
        taken
    }

    /// Removes a request; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|&(other, _)| other != ticket);
        if self.waiting.is_empty() {
            self.head_since = None;
        }
        self.waiting.len() < before
    }

    /// Records that a request starts while nothing else runs.
    pub(super) fn start(&mut self, now: Instant) {
        self.running = true;
        self.block_until = Some(now + MAX_BLOCK);
    }

    /// Records that a request starts in parallel with others.
    pub(super) fn start_concurrent(&mut self) {
        self.running = true;
        self.block_until = None;
    }

    /// Records that the running request has ended.
    pub(super) fn finish(&mut self) {
        self.running = false;
        self.block_until = None;
    }
}
