//! Timeline of the node's events, ordered across all processes by a hybrid logical clock.

mod clock;
mod event;

pub(crate) use self::{
    clock::{Clock, Timestamp},
    event::{Event, EventKind},
};

use std::{collections::VecDeque, sync::Arc};

use parking_lot::Mutex;
use wagtaillever_coordination::{Incarnation, VmName};

/// Maximum number of retained events.
const MAX_EVENTS: usize = 4096;

/// Shared handle of the latest events of this node.
#[derive(Clone)]
pub(crate) struct Timeline {
    vm: VmName,
    incarnation: Incarnation,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Arc<Event>>>>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub(crate) fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            clock: Clock::default(),
            events: Arc::default(),
        }
    }

    /// Returns the clock that orders events across all processes.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event, evicting the oldest one at the limit.
    pub(crate) fn record(&self, kind: EventKind) {
        let event = Event {
            at: self.clock.tick(),
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            kind,
        };
        let mut events = self.events.lock();
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(Arc::new(event));
    }

    /// Returns the events after a timestamp, oldest first.
    pub(crate) fn events_after(&self, after: Timestamp) -> Vec<Arc<Event>> {
        let events = self.events.lock();
        events
            .iter()
            .filter(|event| event.at > after)
            .cloned()
            .collect()
    }
}
