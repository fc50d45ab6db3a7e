//! Which connections of callers stay open when a process has no room for all of them.
//!
//! Load: crowds of callers that open connections and don't use them, leave answers unread or never finish a
//! request, beside callers that behave. Places belong to those who use them.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Time for which a connection without a whole request keeps its place. A caller that behaves sends its
/// request as soon as the connection is open, and a lost packet is sent again within this time.
const UNUSED_GRACE: Duration = Duration::from_secs(1);
/// Time after the end of the reuse time for which a connection keeps its place, as a request that the
/// caller sent in time may be on its way.
const CROSSING_MARGIN: Duration = Duration::from_secs(1);
/// Time without progress for which a connection that waits for its caller keeps its place. Callers on slow
/// links make progress more often, and a lost packet is sent again within this time.
const STALL_GRACE: Duration = Duration::from_secs(1);
/// Share of the places up to which callers may reuse a connection for the whole time of the configuration.
const FULL_REUSE_SHARE: f64 = 0.5;

/// Number of a connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(u64);

/// What a connection of a caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerActivity {
    /// The last answer is written, and what its caller still sends is discarded.
    Closing,
    /// No whole request has arrived yet.
    Unused {
        /// When the connection was opened.
        since: Instant,
    },
    /// All answers are complete.
    Idle {
        /// Time until which the caller may send another request.
        reusable_until: Instant,
    },
    /// Requests run.
    Active,
    /// Requests run, and the caller has sent more than may be read beside them.
    Held {
        /// When reading stopped.
        since: Instant,
    },
    /// The caller takes no further part of an answer or sends no further part of a request body.
    Stalled {
        /// When the caller last took or sent a part.
        since: Instant,
    },
}

/// Bounds on the connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRoomBounds {
    /// Open connections.
    pub connections: usize,
    /// Connections that are stalled or held, and so keep unread data or unsent answers in memory.
    pub stalled: usize,
}

/// Connections of callers under the bounds of a process.
///
/// An evicted connection keeps its place until its owner has closed and removed it.
#[derive(Debug)]
pub struct CallerRoom {
    bounds: CallerRoomBounds,
    connections: BTreeMap<CallerId, CallerActivity>,
    /// Connections that are evicted and not removed yet.
    evicted: BTreeSet<CallerId>,
    stalled: usize,
    last_id: u64,
}

impl CallerRoom {
    /// Returns an empty room.
    #[must_use]
    pub fn new(bounds: CallerRoomBounds) -> Self {
        Self {
            bounds,
            connections: BTreeMap::new(),
            evicted: BTreeSet::new(),
            stalled: 0,
            last_id: 0,
        }
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len() + self.evicted.len()
    }

    /// Returns whether there is no connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections that are stalled or held.
    #[must_use]
    pub fn stalled(&self) -> usize {
        self.stalled
    }

    /// Returns whether there is a place for another connection.
    #[must_use]
    pub fn has_place(&self) -> bool {
        self.len() < self.bounds.connections
    }

    /// Adds a connection that was opened.
    pub fn open(&mut self, now: Instant) -> CallerId {
        self.last_id += 1;
        let id = CallerId(self.last_id);
        self.record(id, CallerActivity::Unused { since: now });
        id
    }

    /// Records what a connection does; one that was evicted stays.
    pub fn record(&mut self, id: CallerId, activity: CallerActivity) {
        self.evicted.remove(&id);
        let old = self.connections.insert(id, activity);
        self.stalled += usize::from(has_data(&activity));
        self.stalled -= usize::from(old.is_some_and(|old| has_data(&old)));
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: CallerId) {
        self.evicted.remove(&id);
        if let Some(old) = self.connections.remove(&id) {
            self.stalled -= usize::from(has_data(&old));
        }
    }

    /// Evicts the connection that gives up its place first, if any may and no place becomes free already: one
    /// without a whole request, one whose reuse time is over, one that waits for its caller, or one that closes
    /// anyway. The longest overdue goes first.
    pub fn evict(&mut self, now: Instant) -> Option<CallerId> {
        if !self.evicted.is_empty() {
            return None;
        }
        let due = self.connections.iter().filter_map(|(id, activity)| {
            let (order, due) = place_end(activity)?;
            let due = due.unwrap_or(now);
            (due <= now).then_some((order, due, *id))
        });
        let (_, _, id) = due.min()?;
        self.begin_eviction(id);
        Some(id)
    }

    /// Evicts the connection that waits longest for its caller, if it has done so for long enough, in favour of
    /// others, or of one of them.
    pub fn evict_stalled(
        &mut self,
        in_favour_of: Option<CallerId>,
        now: Instant,
    ) -> Option<CallerId> {
        let others = self.stalled_connections();
        let (since, id) = others.filter(|(_, id)| Some(*id) != in_favour_of).min()?;
        if since + STALL_GRACE > now {
            return None;
        }
        self.begin_eviction(id);
        Some(id)
    }

    /// Evicts a connection if more are stalled or held than the memory allows: the one that waits longest for its
    /// caller, or else the one that is held longest.
    pub fn evict_excess(&mut self) -> Option<CallerId> {
        if self.stalled <= self.bounds.stalled {
            return None;
        }
        let held = self.connections.iter().filter_map(|(id, it)| match *it {
            CallerActivity::Held { since } => Some((since, *id)),
            _ => None,
        });
        let (_, id) = self.stalled_connections().min().or_else(|| held.min())?;
        self.begin_eviction(id);
        Some(id)
    }

    /// Returns the time for which callers may reuse an idle connection, at most `longest`. It becomes shorter
    /// as the places fill up.
    #[must_use]
    pub fn reuse_time(&self, longest: Duration) -> Duration {
        #[allow(clippy::cast_precision_loss)]
        let share = self.len() as f64 / self.bounds.connections.max(1) as f64;
        let free = (1.0 - share).max(0.0);
        longest.mul_f64((free / (1.0 - FULL_REUSE_SHARE)).min(1.0))
    }

    fn begin_eviction(&mut self, id: CallerId) {
        self.remove(id);
        self.evicted.insert(id);
    }

    fn stalled_connections(&self) -> impl Iterator<Item = (Instant, CallerId)> {
        self.connections.iter().filter_map(|(id, activity)| {
            let CallerActivity::Stalled { since } = *activity else {
                return None;
            };
            Some((since, *id))
        })
    }
}

/// Returns whether unread data or unsent answers may take memory.
fn has_data(activity: &CallerActivity) -> bool {
    matches!(
        activity,
        CallerActivity::Stalled { .. } | CallerActivity::Held { .. }
    )
}

/// Returns the order in which connections of a kind give up their place, and from when on one may, if not at once.
fn place_end(activity: &CallerActivity) -> Option<(u8, Option<Instant>)> {
    match *activity {
        CallerActivity::Unused { since } => Some((0, Some(since + UNUSED_GRACE))),
        CallerActivity::Idle { reusable_until } => {
            Some((1, Some(reusable_until + CROSSING_MARGIN)))
        }
        CallerActivity::Stalled { since } => Some((2, Some(since + STALL_GRACE))),
        CallerActivity::Closing => Some((3, None)),
        CallerActivity::Active | CallerActivity::Held { .. } => None,
    }
}
