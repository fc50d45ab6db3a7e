//! Time line of the node's events, ordered over all processes by a hybrid logical clock.

mod clock;
mod event;

pub(crate) use self::{
    clock::{Clock, Timestamp},
    event::{Event, EventKind},
};

use std::{collections::VecDeque, sync::Arc};

use parking_lot::Mutex;
use wagtaillever_coordination::{Incarnation, VmName};

/// Events that a node keeps.
const MAX_EVENTS: usize = 4096;

/// Shared handle of the newest events of this node.
#[derive(Clone)]
pub(crate) struct Timeline {
    vm: VmName,
    incarnation: Incarnation,
    clock: Clock,
    events: Arc<Mutex<VecDeque<Arc<Event>>>>,
}

impl Timeline {
    /// Returns an empty time line.
    pub(crate) fn new(vm: VmName, incarnation: Incarnation) -> Self {
        Self {
            vm,
            incarnation,
            clock: Clock::default(),
            events: Arc::default(),
        }
    }

    /// Returns the clock that orders events over all processes.
    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records one event.
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

    /// Returns the events after a time stamp, oldest first.
    pub(crate) fn since(&self, after: Timestamp) -> Vec<Arc<Event>> {
        let events = self.events.lock();
        events.iter().filter(|e| e.at > after).cloned().collect()
    }
}
