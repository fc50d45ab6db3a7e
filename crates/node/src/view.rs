//! What the node believes: configuration, VMs, drain orders and its own phase.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::watch;
use wagtaillever_coordination::{Config, DrainList, Sequence, VmList};

/// One consistent, immutable view; replaced whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Configuration in force.
    pub(crate) config: Arc<Config>,
    /// Newest list of VMs.
    pub(crate) vms: Arc<VmList>,
    /// Newest drain orders.
    pub(crate) drains: Arc<DrainList>,
    /// Phase of this node's life cycle.
    pub(crate) phase: Phase,
}

/// Phase of a node's life cycle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Phase {
    /// Services start.
    #[default]
    Starting,
    /// The node learns what is in force and takes no work.
    Joining,
    /// The node takes work.
    Serving,
    /// The node still takes calls while callers learn that it stops.
    Leaving,
    /// The node finishes the calls in flight.
    Stopping,
}

impl Phase {
    /// Returns whether calls are taken.
    pub(crate) fn can_accept_calls(self) -> bool {
        matches!(self, Self::Serving | Self::Leaving)
    }

    /// Returns the name of the phase.
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

/// Shared cell that holds the newest view; safe to use from all threads.
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
    /// Returns the newest view.
    pub(crate) fn load(&self) -> Arc<View> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the sequence in force without a lock, so that it suits the log.
    pub(crate) fn sequence(&self) -> Sequence {
        Sequence(self.sequence.load(Ordering::Relaxed))
    }

    /// Returns a receiver that is told of each new view.
    pub(crate) fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }

    /// Replaces the configuration.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is older than the one in force.
    pub(crate) fn set_config(&self, config: Arc<Config>) {
        let sequence = config.sequence.0;
        self.update(|view| {
            assert!(
                config.sequence >= view.config.sequence,
                "configuration must never go back"
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
