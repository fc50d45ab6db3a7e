//! Requests that run one at a time and with nothing beside them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::admission::{AdmissionRequest, QueueTicket};

/// Queue of requests that may crash the upstream.
///
/// Others are held back while such a request waits for its turn or runs, but
/// never for long: afterwards it runs beside them, still one at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct AloneQueue {
    waiting: VecDeque<(QueueTicket, AdmissionRequest)>,
    turn: Option<Instant>,
    running: bool,
    until: Option<Instant>,
}

/// Most requests that wait to run alone.
pub(super) const MAX_ALONE: u32 = 32;
/// Longest time for which others are held back, while one waits and again while it runs.
const HOLD: Duration = Duration::from_millis(250);

impl AloneQueue {
    /// Returns how many requests wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no more may wait.
    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_ALONE as usize
    }

    /// Returns whether one runs.
    pub(super) fn is_running(&self) -> bool {
        self.running
    }

    /// Returns whether other requests must wait.
    pub(super) fn holds_others(&self, now: Instant) -> bool {
        if self.running {
            return self.until.is_some_and(|until| now < until);
        }
        !self.waiting.is_empty() && !self.waited_enough(now)
    }

    /// Returns whether the next one has waited so long that it runs beside others.
    pub(super) fn waited_enough(&self, now: Instant) -> bool {
        self.turn
            .is_some_and(|turn| now.saturating_duration_since(turn) >= HOLD)
    }

    /// Adds a request.
    pub(super) fn push(&mut self, ticket: QueueTicket, ask: AdmissionRequest, now: Instant) {
        self.waiting.push_back((ticket, ask));
        self.turn.get_or_insert(now);
    }

    /// Takes the oldest request.
    pub(super) fn pop(&mut self, now: Instant) -> Option<(QueueTicket, AdmissionRequest)> {
        let taken = self.waiting.pop_front();
        self.turn = (!self.waiting.is_empty()).then_some(now);
        taken
    }

    /// Takes a request out; returns whether it was there.
    pub(super) fn remove(&mut self, ticket: QueueTicket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|&(other, _)| other != ticket);
        if self.waiting.is_empty() {
            self.turn = None;
        }
        self.waiting.len() < before
    }

    /// Notes that one starts with nothing beside it.
    pub(super) fn start(&mut self, now: Instant) {
        self.running = true;
        self.until = Some(now + HOLD);
    }

    /// Notes that one starts beside others.
    pub(super) fn start_beside(&mut self) {
        self.running = true;
        self.until = None;
    }

    /// Notes that the one that ran has ended.
    pub(super) fn finish(&mut self) {
        self.running = false;
        self.until = None;
    }
}
