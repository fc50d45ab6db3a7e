//! Life cycle of a node, as a typestate.

use std::marker::PhantomData;

use log::info;

use crate::{
    kernel::Context,
    timeline::{EventKind, Timeline},
    view::{Phase, ViewCell},
};

/// The services are starting.
pub(crate) struct Starting;
/// The node obtains the configuration in force from the platform and its peers.
pub(crate) struct Joining;
/// The node accepts requests.
pub(crate) struct Serving;
/// The node still accepts calls while callers are notified that it stops.
pub(crate) struct Leaving;
/// The node finishes the calls in flight and accepts no new ones.
pub(crate) struct Stopping;

/// A node in the state `S`; only the transitions defined here exist.
pub(crate) struct Lifecycle<S> {
    view: ViewCell,
    timeline: Timeline,
    state: PhantomData<S>,
}

impl<S> Lifecycle<S> {
    fn enter<T>(self, phase: Phase) -> Lifecycle<T> {
        info!(phase = phase.as_str(); "phase changed");
        self.view.set_phase(phase);
        self.timeline.record(EventKind::PhaseEntered { phase });
        Lifecycle {
            view: self.view,
            timeline: self.timeline,
            state: PhantomData,
        }
    }

    /// Enters the stop, from any state.
    pub(crate) fn enter_stopping(self) -> Lifecycle<Stopping> {
        self.enter(Phase::Stopping)
    }
}

impl Lifecycle<Starting> {
    /// Creates the life cycle of a new process.
    pub(crate) fn new(context: &Context) -> Self {
        Self {
            view: context.view().clone(),
            timeline: context.timeline().clone(),
            state: PhantomData,
        }
    }

    /// Enters the joining phase after all services have started.
    pub(crate) fn enter_joining(self) -> Lifecycle<Joining> {
        self.enter(Phase::Joining)
    }
}

impl Lifecycle<Joining> {
    /// Enters the serving phase after the highest known sequence has been installed.
    pub(crate) fn enter_serving(self) -> Lifecycle<Serving> {
        self.enter(Phase::Serving)
    }
}

impl Lifecycle<Serving> {
    /// Enters the notice period before the stop.
    pub(crate) fn enter_leaving(self) -> Lifecycle<Leaving> {
        self.enter(Phase::Leaving)
    }
}
