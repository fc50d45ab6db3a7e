//! State that all calls of the sidecar share.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::Notify, time::timeout};
use wagtaillever_coordination::Sequence;

use crate::{
    invariant::must_hold,
    kernel::Context,
    mutant::{self, Mutant},
    peers::PeersHandle,
    sidecar::{fence::Fences, keys::Keys, links::Links, suspects::Suspects, upstreams::Upstreams},
    stall::Stall,
};

/// State that all calls of the sidecar share.
pub(super) struct Shared {
    context: Context,
    upstreams: Upstreams,
    suspects: Suspects,
    keys: Keys,
    links: Links,
    fences: Rc<Fences>,
    stall: Option<Stall>,
    applied: Cell<Sequence>,
    active: Cell<usize>,
    stopping: Cell<bool>,
    idle: Notify,
}

impl Shared {
    /// Returns the state of a sidecar without calls.
    pub(super) fn new(context: Context) -> Self {
        let settings = Arc::clone(context.settings());
        let upstreams = Upstreams::new(&settings, context.timeline().clone());
        let peers = context.registry().find::<PeersHandle>("peers").ok();
        let timeline = context.timeline().clone();
        let suspects = Suspects::new(timeline, settings.policies.poison, peers);
        let stall = context.registry().find::<Stall>("stall").ok();
        Self {
            context,
            upstreams,
            suspects,
            keys: Keys::new(&settings),
            links: Links::new(settings.address),
            fences: Rc::default(),
            stall,
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

    /// Returns the requests that may crash upstreams.
    pub(super) fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns whether the VM or its failure domain must get no new work.
    pub(super) fn is_drained(&self) -> bool {
        let settings = self.context.settings();
        let view = self.context.view().load();
        let is_drained = view.drains.is_drained(&settings.vm, &settings.domain);
        is_drained && !mutant::is_on(Mutant::IgnoreDrains)
    }

    /// Lets waiting requests start that have waited long enough, and settles crashes.
    pub(super) fn tick(&self) {
        for upstream in self.upstreams.all() {
            upstream.pump();
            if let Some(runs) = upstream.settle_crash() {
                self.suspects.crashed(&upstream.spec().name, &runs);
            }
        }
    }

    /// Returns the idempotency keys that this VM decides on.
    pub(super) fn keys(&self) -> &Keys {
        &self.keys
    }

    /// Returns the connections to other sidecars.
    pub(super) fn links(&self) -> &Links {
        &self.links
    }

    /// Drives the hand-over of idempotency keys.
    pub(super) fn hand_over(self: &Rc<Self>) {
        self.keys.observe_vms(&self.context.view().load().vms);
        self.fences.ask_all(self);
    }

    /// Returns the number of pauses of this process.
    pub(super) fn pauses(&self) -> u64 {
        self.stall.as_ref().map_or(0, Stall::generation)
    }

    /// Returns whether the node was paused and has not heard from others since.
    pub(super) fn is_stalled(&self) -> bool {
        self.stall.as_ref().is_some_and(Stall::is_quarantined)
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
            self.keys.update(config);
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
        let is_idle = timeout(limit, idle).await.is_ok();
        must_hold("stop_cut", is_idle);
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
