//! The node's current view: configuration, VMs, drain orders and its own phase.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::watch;
use wagtaillever_coordination::{Config, DrainList, Sequence, VmList};

/// Consistent, immutable snapshot of the node's state; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Configuration in force.
    pub(crate) config: Arc<Config>,
    /// Latest list of VMs.
    pub(crate) vms: Arc<VmList>,
    /// Latest drain orders.
    pub(crate) drains: Arc<DrainList>,
    /// Phase of this node's life cycle.
    pub(crate) phase: Phase,
}

/// Phase of a node's life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Phase {
    /// The services are starting.
    #[default]
    Starting,
    /// The node obtains the configuration in force and accepts no requests yet.
    Joining,
    /// The node accepts requests.
    Serving,
    /// The node still accepts calls while callers are notified that it stops.
    Leaving,
    /// The node finishes the calls in flight.
    Stopping,
}

impl Phase {
    /// Returns whether the node accepts calls in this phase.
    pub(crate) fn can_accept_calls(self) -> bool {
        matches!(self, Self::Serving | Self::Leaving)
    }

    /// Returns the name of the phase as used in logs and reports.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Joining => "joining",
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Stopping => "stopping",
        }
    }
}

/// Shared cell with the latest view, usable from all threads.
#[derive(Clone, Debug)]
pub(crate) struct ViewCell {
    sender: Arc<watch::Sender<Arc<View>>>,
    sequence: Arc<AtomicU64>,
}

impl Default for ViewCell {
    fn default() -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self {
            sender: Arc::new(sender),
            sequence: Arc::default(),
        }
    }
}

impl ViewCell {
    /// Returns the latest view.
    pub(crate) fn load(&self) -> Arc<View> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the sequence in force without taking a lock, for use by the logger.
    pub(crate) fn sequence(&self) -> Sequence {
        Sequence(self.sequence.load(Ordering::Relaxed))
    }

    /// Returns a receiver that is notified of each new view.
    pub(crate) fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }

    /// Replaces the configuration.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is older than the one in force.
    pub(crate) fn set_config(&self, config: Arc<Config>) {
        let sequence = config.sequence.0;
        self.update(|view| {
            assert!(
                config.sequence >= view.config.sequence,
                "configuration must not be replaced by an older one"
            );
            view.config = config;
        });
        self.sequence.store(sequence, Ordering::Relaxed);
    }

    /// Replaces the list of VMs.
    pub(crate) fn set_vms(&self, vms: Arc<VmList>) {
        self.update(|view| view.vms = vms);
    }

    /// Replaces the drain orders.
    pub(crate) fn set_drains(&self, drains: Arc<DrainList>) {
        self.update(|view| view.drains = drains);
    }

    /// Enters a phase.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.update(|view| view.phase = phase);
    }

    fn update(&self, change: impl FnOnce(&mut View)) {
        self.sender.send_modify(|view| change(Arc::make_mut(view)));
    }
}
