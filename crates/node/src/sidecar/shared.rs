//! State that all calls of the sidecar share.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time::timeout};
use wagtaillever_coordination::Sequence;

use crate::{kernel::Context, sidecar::upstreams::Upstreams};

/// State that all calls of the sidecar share.
pub(super) struct Shared {
    context: Context,
    upstreams: Upstreams,
    applied: Cell<Sequence>,
    active: Cell<usize>,
    stopping: Cell<bool>,
    idle: Notify,
}

impl Shared {
    /// Returns the state of a sidecar without calls.
    pub(super) fn new(context: Context) -> Self {
        let upstreams = Upstreams::new(context.settings().vm.clone());
        Self {
            context,
            upstreams,
            applied: Cell::default(),
            active: Cell::default(),
            stopping: Cell::default(),
            idle: Notify::new(),
        }
    }

    /// Returns the context of the node.
    pub(super) fn context(&self) -> &Context {
        &self.context
    }

    /// Returns the upstreams of this VM.
    pub(super) fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }

    /// Returns the sequence in force.
    pub(super) fn sequence(&self) -> u64 {
        self.context.view().load().config.sequence.0
    }

    /// Returns whether the sidecar takes no more calls.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Takes in the newest configuration, if it is not yet taken in.
    pub(super) fn refresh(&self) {
        let config = &self.context.view().load().config;
        if config.sequence > self.applied.replace(config.sequence) {
            self.upstreams.update(config, Instant::now());
        }
    }

    /// Drops what was withdrawn long enough ago.
    pub(super) fn sweep(&self) {
        let config = &self.context.view().load().config;
        self.upstreams.update(config, Instant::now());
    }

    /// Counts a call until the guard is dropped.
    pub(super) fn enter(self: &Rc<Self>) -> ActiveGuard {
        self.active.set(self.active.get() + 1);
        ActiveGuard {
            shared: Rc::clone(self),
        }
    }

    /// Refuses new calls and waits for those in flight, at most for a time.
    pub(super) async fn drain(&self, limit: Duration) {
        self.stopping.set(true);
        let idle = async {
            while self.active.get() > 0 {
                self.idle.notified().await;
            }
        };
        let _ = timeout(limit, idle).await;
    }
}

/// Counts one call while it lives.
pub(super) struct ActiveGuard {
    shared: Rc<Shared>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let active = self.shared.active.get() - 1;
        self.shared.active.set(active);
        if active == 0 {
            self.shared.idle.notify_one();
        }
    }
}
