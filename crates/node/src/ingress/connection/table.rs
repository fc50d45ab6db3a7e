//! Table of the open connections of callers, which closes those that have to make room.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};
use wagtaillever_coordination::{CallerActivity, CallerId, CallerRoom, CallerRoomBounds};

/// Interval at which a full table is checked for connections that may give up their place by now.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Open connections of callers.
pub(in crate::ingress) struct ConnectionTable {
    room: RefCell<CallerRoom>,
    /// Cancelled when a connection has to close.
    evictions: RefCell<HashMap<CallerId, CancellationToken>>,
    /// Notified when a connection is removed.
    removed: Notify,
}

/// Entry of a connection, removed on drop.
pub(in crate::ingress) struct TableEntry {
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
            removed: Notify::new(),
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

    /// Waits until there is a place for another connection, which others that are not used give up.
    pub(in crate::ingress) async fn wait_for_place(&self) {
        while !self.make_place(Instant::now()) {
            let _ = timeout(PLACE_CHECK_INTERVAL, self.removed.notified()).await;
        }
    }

    fn make_place(&self, now: Instant) -> bool {
        let mut room = self.room.borrow_mut();
        if !room.has_place()
            && let Some(unused) = room.evict(now)
        {
            self.notify_evicted(unused);
        }
        room.has_place()
    }

    /// Closes the connection that waits longest for its caller, if it has done so for long enough, so that its
    /// memory and its share of the calls go to others, or to one of them.
    pub(in crate::ingress) fn evict_stalled(&self, in_favour_of: Option<CallerId>, now: Instant) {
        let evicted = self.room.borrow_mut().evict_stalled(in_favour_of, now);
        if let Some(id) = evicted {
            self.notify_evicted(id);
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
    /// Returns the time for which the caller may reuse the connection, at most `longest`.
    pub(super) fn reuse_time(&self, longest: Duration) -> Duration {
        self.table.room.borrow().reuse_time(longest)
    }

    /// Closes another connection that waits longest for its caller, if it has done so for long enough, so that its
    /// memory goes to this one.
    pub(super) fn evict_stalled(&self, now: Instant) {
        self.table.evict_stalled(Some(self.id), now);
    }

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

    /// Records that the last answer is written, and waits until the connection has to give up its place.
    pub(super) async fn wait_for_eviction(&mut self) {
        poll_fn(|cx| self.poll_evicted(CallerActivity::Closing, cx)).await;
    }

    fn is_evicted(&mut self, cx: &mut Context<'_>) -> bool {
        self.evicted.as_mut().poll(cx).is_ready()
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.room.borrow_mut().remove(self.id);
        self.table.evictions.borrow_mut().remove(&self.id);
        self.table.removed.notify_one();
    }
}
