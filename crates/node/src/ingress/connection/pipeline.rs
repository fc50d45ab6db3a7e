//! Order of the requests of one connection: which may start, which response is next, and what a
//! response that closes the connection means for the requests behind it.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::ingress) enum Repeat {
    /// May run more than once, and beside others.
    Allowed,
    /// May run only once, so its outcome must reach the caller.
    Forbidden,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    repeat: Repeat,
    is_started: bool,
}

/// Requests behind a response that closes the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Abandoned {
    /// Requests that have started. All of them may run more than once.
    pub(super) started: usize,
    /// Requests that have not started and so were not forwarded.
    pub(super) waiting: usize,
}

/// Requests of a connection without a complete response, in their order of arrival.
///
/// A request that may run only once starts when it is the first one, and no request starts behind it
/// until its response is complete. Others run side by side, up to the capacity. At most the last
/// request waits for its start, so at most one call is held back.
#[derive(Debug)]
pub(super) struct Pipeline {
    entries: VecDeque<Entry>,
    capacity: usize,
    /// Whether no further request is read.
    is_ended: bool,
    /// Whether no further request starts.
    is_draining: bool,
}

impl Pipeline {
    /// Creates an empty pipeline for up to `capacity` requests, but at least one.
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
            is_ended: false,
            is_draining: false,
        }
    }

    /// Returns whether a further request may be read.
    pub(super) fn accepts(&self) -> bool {
        let is_full = self.entries.len() >= self.capacity;
        let is_held = self.entries.back().is_some_and(|last| !last.is_started);
        !self.is_ended && !is_full && !is_held
    }

    /// Adds a request and returns whether it starts now.
    pub(super) fn push(&mut self, repeat: Repeat) -> bool {
        let is_started = self.can_start(repeat);
        self.entries.push_back(Entry { repeat, is_started });
        is_started
    }

    /// Removes the first request, whose response is complete and leaves the connection open. Returns
    /// whether the request at the end, which waited, starts now.
    pub(super) fn complete_first(&mut self) -> bool {
        self.entries.pop_front();
        let Some(last) = self.entries.pop_back() else {
            return false;
        };
        let is_started = last.is_started || self.can_start(last.repeat);
        self.entries.push_back(Entry { is_started, ..last });
        is_started && !last.is_started
    }

    /// Removes all requests because the response to the first one closes the connection.
    pub(super) fn close(&mut self) -> Abandoned {
        self.is_ended = true;
        self.entries.pop_front();
        let started = self.entries.iter().filter(|entry| entry.is_started).count();
        let waiting = self.entries.len() - started;
        self.entries.clear();
        Abandoned { started, waiting }
    }

    /// Reads no further requests. The last one gets the last response.
    pub(super) fn end(&mut self) {
        self.is_ended = true;
    }

    /// Reads and starts no further requests, as the node stops. The last one that has started gets the
    /// last response.
    pub(super) fn drain(&mut self) {
        self.is_ended = true;
        self.is_draining = true;
    }

    /// Reads and starts requests again, as the last response has left the connection open: the end was
    /// decided after its head was encoded.
    pub(super) fn resume(&mut self) {
        self.is_ended = false;
        self.is_draining = false;
    }

    /// Returns whether the response to the first request is the last one of the connection.
    pub(super) fn is_first_last(&self) -> bool {
        let next = self.entries.get(1);
        self.is_ended && next.is_none_or(|next| self.is_draining && !next.is_started)
    }

    /// Returns whether no request is without a complete response.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn can_start(&self, repeat: Repeat) -> bool {
        match repeat {
            Repeat::Forbidden => self.entries.is_empty(),
            Repeat::Allowed => {
                let mut ahead = self.entries.iter();
                ahead.all(|entry| entry.repeat == Repeat::Allowed)
            }
        }
    }
}
