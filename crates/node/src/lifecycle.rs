//! Life cycle of a node as typestate.

use std::marker::PhantomData;

use log::info;

use crate::{
    kernel::Context,
    timeline::{EventKind, Timeline},
    view::{Phase, ViewCell},
};

/// The node's services start.
pub(crate) struct Starting;
/// The node learns from its peers what is in force.
pub(crate) struct Joining;
/// The node takes work.
pub(crate) struct Serving;
/// The node still takes callers' calls while they learn that it stops.
pub(crate) struct Leaving;
/// The node finishes the calls in flight and takes no more.
pub(crate) struct Stopping;

/// A node in the state `S`; only the transitions defined here exist.
pub(crate) struct Lifecycle<S> {
    view: ViewCell,
    timeline: Timeline,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn enter<T>(self, phase: Phase) -> Lifecycle<T> {
        info!(phase = phase.as_str(); "the node enters a phase");
        self.view.set_phase(phase);
        self.timeline.record(EventKind::PhaseEntered { phase });
        Lifecycle {
            view: self.view,
            timeline: self.timeline,
            state: PhantomData,
        }
    }

    /// Enters the stop, from any state.
    pub(crate) fn stopping(self) -> Lifecycle<Stopping> {
        self.enter(Phase::Stopping)
    }
}

impl Lifecycle<Starting> {
    /// Returns the life cycle of a process that just started.
    pub(crate) fn starting(context: &Context) -> Self {
        Self {
            view: context.view().clone(),
            timeline: context.timeline().clone(),
            state: PhantomData,
        }
    }

    /// Enters joining after all services started.
    pub(crate) fn joining(self) -> Lifecycle<Joining> {
        self.enter(Phase::Joining)
    }
}

impl Lifecycle<Joining> {
    /// Enters service after the highest known sequence was learnt.
    pub(crate) fn serving(self) -> Lifecycle<Serving> {
        self.enter(Phase::Serving)
    }
}

impl Lifecycle<Serving> {
    /// Enters the notice before the stop.
    pub(crate) fn leaving(self) -> Lifecycle<Leaving> {
        self.enter(Phase::Leaving)
    }
}
