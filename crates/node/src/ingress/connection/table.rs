//! Table of the open connections of callers, which closes those that have to make room.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};
use wagtaillever_coordination::{CallerActivity, CallerId, CallerRoom, CallerRoomBounds};

/// Open connections of callers.
pub(in crate::ingress) struct ConnectionTable {
    room: RefCell<CallerRoom>,
    /// Cancelled when a connection has to close.
    evictions: RefCell<HashMap<CallerId, CancellationToken>>,
}

/// Entry of a connection, removed on drop.
pub(super) struct TableEntry {
    table: Rc<ConnectionTable>,
    id: CallerId,
    activity: CallerActivity,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl ConnectionTable {
    /// Returns an empty table.
    pub(in crate::ingress) fn new(bounds: CallerRoomBounds) -> Self {
        Self {
            room: RefCell::new(CallerRoom::new(bounds)),
            evictions: RefCell::default(),
        }
    }

    /// Adds a connection that was opened.
    pub(super) fn open(self: &Rc<Self>, now: Instant) -> TableEntry {
        let id = self.room.borrow_mut().open(now);
        TableEntry {
            table: Rc::clone(self),
            id,
            activity: CallerActivity::Unused { since: now },
            evicted: self.watch_eviction(id),
        }
    }

    fn watch_eviction(&self, id: CallerId) -> Pin<Box<WaitForCancellationFutureOwned>> {
        let token = CancellationToken::new();
        let evicted = Box::pin(token.clone().cancelled_owned());
        self.evictions.borrow_mut().insert(id, token);
        evicted
    }

    fn record(&self, id: CallerId, activity: CallerActivity) {
        let mut room = self.room.borrow_mut();
        let stalled = room.stalled();
        room.record(id, activity);
        while let Some(excess) = room.evict_excess() {
            self.notify_evicted(excess);
        }
        if room.stalled() != stalled {
            #[allow(clippy::cast_precision_loss)]
            metrics::gauge!("caller_connections_stalled").set(room.stalled() as f64);
        }
    }

    fn notify_evicted(&self, id: CallerId) {
        if let Some(token) = self.evictions.borrow_mut().remove(&id) {
            token.cancel();
        }
    }
}

impl TableEntry {
    /// Records what the connection does now, and completes with what it does if it has to close.
    ///
    /// A connection that has made progress since its eviction stays open: its caller uses it.
    pub(super) fn poll_evicted(
        &mut self,
        activity: CallerActivity,
        cx: &mut Context<'_>,
    ) -> Poll<CallerActivity> {
        if activity != self.activity {
            if self.is_evicted(cx) {
                self.evicted = self.table.watch_eviction(self.id);
            }
            self.activity = activity;
            self.table.record(self.id, activity);
        }
        match self.is_evicted(cx) {
            true => Poll::Ready(activity),
            false => Poll::Pending,
        }
    }

    fn is_evicted(&mut self, cx: &mut Context<'_>) -> bool {
        self.evicted.as_mut().poll(cx).is_ready()
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.room.borrow_mut().remove(self.id);
        self.table.evictions.borrow_mut().remove(&self.id);
    }
}
