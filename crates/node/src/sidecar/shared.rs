//! State shared by all calls of the sidecar.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use tokio::{
    sync::Notify,
    time::{self, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::{
    Dialect, Listing, RegistrationAnswer, RestorationFilter, UpstreamName, VmEntry, VmState,
};

use crate::{
    invariant::check_invariant,
    kernel::Context,
    logging::LineBudget,
    mutant::{self, Mutant},
    peers::PeersHandle,
    sidecar::{
        active_calls::ActiveCalls, fence::Fences, keys::Keys, suspects::Suspects,
        upstream::LocalUpstream, upstreams::Upstreams,
    },
    stall::StallHandle,
    transport::Links,
    view::View,
};

/// Time for which a stop waits until calls that were queued at the deadline are refused.
const REFUSAL_TIME: Duration = Duration::from_millis(20);

/// State shared by all calls of the sidecar.
pub(super) struct Shared {
    context: Context,
    upstreams: Upstreams,
    suspects: Suspects,
    keys: Keys,
    links: Links,
    fences: Rc<Fences>,
    stall: Option<StallHandle>,
    applied: RefCell<Option<Arc<View>>>,
    leaving: Cell<bool>,
    listing: Cell<Listing>,
    restorations: RefCell<RestorationFilter>,
    /// Upstream to which the listing state refers, with its start time.
    listed_upstream: RefCell<Option<(UpstreamName, u64)>>,
    listing_changed: Notify,
    drained: Cell<bool>,
    log_budget: RefCell<LineBudget>,
    active_calls: RefCell<ActiveCalls>,
    stopping: Cell<bool>,
    idle: Notify,
    /// Cancelled when calls that wait for an answer are cut off.
    cut: CancellationToken,
}

impl Shared {
    /// Returns the state of a sidecar without calls.
    pub(super) fn new(context: Context) -> Self {
        let settings = Arc::clone(context.settings());
        let upstreams = Upstreams::new(Arc::clone(&settings), context.timeline().clone());
        let peers = context.registry().find::<PeersHandle>("peers").ok();
        let timeline = context.timeline().clone();
        let suspects = Suspects::new(timeline, settings.policies.poison, peers);
        let stall = context.registry().find::<StallHandle>("stall").ok();
        Self {
            context,
            upstreams,
            suspects,
            keys: Keys::new(&settings),
            links: Links::new(settings.address),
            fences: Rc::default(),
            stall,
            applied: RefCell::default(),
            leaving: Cell::default(),
            listing: Cell::default(),
            restorations: RefCell::default(),
            listed_upstream: RefCell::default(),
            listing_changed: Notify::new(),
            drained: Cell::default(),
            log_budget: RefCell::new(LineBudget::new(Instant::now())),
            active_calls: RefCell::default(),
            stopping: Cell::default(),
            idle: Notify::new(),
            cut: CancellationToken::new(),
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

    /// Returns the requests suspected of crashing upstreams.
    pub(super) fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Takes one line of the log budget for calls and returns the number of lines left out since
    /// the last one; `None` if the budget is exhausted.
    pub(super) fn take_log_line(&self) -> Option<u64> {
        self.log_budget.borrow_mut().take(Instant::now())
    }

    /// Returns the header names of the deployment.
    pub(super) fn dialect(&self) -> &'static Dialect {
        self.context.settings().protocol.dialect()
    }

    /// Returns whether the VM must get no new work: a drain order covers it or its failure domain,
    /// the platform lists it as leaving, or the platform no longer lists it. The last case does not
    /// apply if this node cannot reach the platform either.
    pub(super) fn is_drained(&self) -> bool {
        self.refresh();
        let is_drained = self.drained.get() && !mutant::is_enabled(Mutant::IgnoreDrains);
        let is_leaving = self.leaving.get() || !self.listing.get().may_serve();
        is_drained || is_leaving && !mutant::is_enabled(Mutant::IgnoreLeaving)
    }

    /// Waits until the registration of this VM's upstream has to be checked, and returns the name
    /// of the upstream.
    pub(super) async fn unlisted_upstream(&self) -> UpstreamName {
        loop {
            let changed = self.listing_changed.notified();
            self.refresh();
            let view = self.context.view().load();
            let entry = view.vms.get(&self.context.settings().vm);
            let upstream = entry.and_then(|entry| entry.upstreams.first());
            if let Some(upstream) = upstream.filter(|_| self.listing.get().is_unlisted()) {
                return upstream.name.clone();
            }
            changed.await;
        }
    }

    /// Applies the platform's answer to a registration check of this VM's upstream.
    pub(super) fn apply_registration_answer(&self, answer: RegistrationAnswer, era: u64) {
        let mut restorations = self.restorations.borrow_mut();
        let proven = restorations.apply(answer, era, Instant::now());
        if proven != answer {
            info!(answer:? = answer, era; "registration check proves nothing after a restoration");
        }
        self.set_listing(self.listing.get().with_answer(proven));
    }

    /// Sets the listing state and returns whether it changed.
    fn set_listing(&self, listing: Listing) -> bool {
        let is_changed = self.listing.replace(listing) != listing;
        if is_changed {
            info!(listing:? = listing; "upstream listing changed");
        }
        is_changed
    }

    /// Starts or rejects queued requests that are due, and reports detected crashes.
    pub(super) fn tick(&self) {
        for upstream in self.upstreams.all() {
            upstream.dispatch();
            if let Some(requests) = upstream.take_crashed_requests() {
                self.suspects.record_crash(&upstream.spec().name, &requests);
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

    /// Advances the handover of idempotency keys.
    pub(super) fn advance_handover(self: &Rc<Self>) {
        self.keys.observe_vms(&self.context.view().load().vms);
        self.fences.request_confirmations(self);
    }

    /// Returns how many times this process was paused.
    pub(super) fn stall_count(&self) -> u64 {
        self.stall.as_ref().map_or(0, StallHandle::stall_count)
    }

    /// Returns whether the node was paused and has received no message from other nodes or the
    /// platform since.
    pub(super) fn is_quarantined(&self) -> bool {
        self.stall.as_ref().is_some_and(StallHandle::is_quarantined)
    }

    /// Returns the sequence in force.
    pub(super) fn sequence(&self) -> u64 {
        self.context.view().load().config.sequence.0
    }

    /// Returns whether the sidecar has stopped accepting calls.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Applies the current view unless it is applied already.
    pub(super) fn refresh(&self) {
        let view = self.context.view().load();
        let old = self.applied.replace(Some(Arc::clone(&view)));
        if old.as_ref().is_some_and(|old| Arc::ptr_eq(old, &view)) {
            return;
        }
        let settings = self.context.settings();
        let listed = view.vms.get(&settings.vm);
        let state = listed.map_or(VmState::Live, |entry| entry.state);
        let was_leaving = self.leaving.replace(state == VmState::Leaving);
        if view.vms.number > 0 {
            let mut restorations = self.restorations.borrow_mut();
            restorations.observe(view.vms.era(), Instant::now());
        }
        self.apply_listing(listed.map(|entry| &**entry), was_leaving);
        let is_drained = view.drains.is_drained(&settings.vm, &settings.domain);
        let was_drained = self.drained.replace(is_drained);
        self.update_upstreams(&view);
        if was_drained && !is_drained {
            // Upstreams may have gone cold while they were drained.
            self.upstreams
                .all()
                .iter()
                .for_each(LocalUpstream::assume_cold);
        }
        if old.is_none_or(|old| old.config.sequence != view.config.sequence) {
            self.keys.update(&view.config);
        }
    }

    /// Updates the listing state from the platform's entry of this VM. An upstream that is listed
    /// for the first time starts as listed; one that reappears is checked. One that was leaving and is
    /// no longer listed is gone.
    fn apply_listing(&self, entry: Option<&VmEntry>, was_leaving: bool) {
        let upstream = entry.and_then(|entry| entry.upstreams.first());
        let upstream = upstream.map(|listed| (listed.name.clone(), listed.started));
        if was_leaving && upstream.is_none() && self.listed_upstream.borrow().is_some() {
            self.set_listing(Listing::Gone);
        }
        let Some(entry) = entry else { return };
        let is_known = upstream.is_none() || *self.listed_upstream.borrow() == upstream;
        let listing = if is_known {
            self.listing.get()
        } else {
            self.listed_upstream.replace(upstream);
            Listing::default()
        };
        if self.set_listing(listing.with_vm_state(entry.state)) {
            self.listing_changed.notify_one();
        }
    }

    /// Waits until the listing state changes.
    pub(super) async fn listing_change(&self) {
        self.listing_changed.notified().await;
    }

    /// Removes upstreams whose withdrawal grace period has passed.
    pub(super) fn sweep(&self) {
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("body_bytes_buffered").set(self.context().body_budget().used() as f64);
        self.update_upstreams(&self.context.view().load());
    }

    fn update_upstreams(&self, view: &View) {
        let listed = view.vms.get(&self.context.settings().vm);
        let listed = listed.map(|entry| &**entry);
        self.upstreams.update(&view.config, listed, Instant::now());
    }

    /// Counts a call as active until the guard is dropped.
    pub(super) fn begin_call(self: &Rc<Self>) -> CallGuard {
        CallGuard {
            number: self.active_calls.borrow_mut().begin(Instant::now()),
            shared: Rc::clone(self),
        }
    }

    /// Refuses new calls and waits for calls in flight, up to the deadline.
    pub(super) async fn drain(&self, deadline: time::Instant) {
        self.stopping.set(true);
        let _ = timeout_at(deadline, self.wait_until_idle()).await;
    }

    /// Refuses queued calls, as they have not run, and ends those that wait for an answer with an
    /// unknown outcome.
    pub(super) async fn cut_calls(&self) {
        for upstream in self.upstreams.all() {
            upstream.retire();
        }
        let is_idle = timeout(REFUSAL_TIME, self.wait_until_idle()).await.is_ok();
        self.active_calls.borrow().log_cut(Instant::now());
        check_invariant("stop_cut", is_idle);
        self.cut.cancel();
    }

    /// Waits until calls that wait for an answer are cut off.
    pub(super) async fn wait_for_cut(&self) {
        self.cut.cancelled().await;
    }

    async fn wait_until_idle(&self) {
        while !self.active_calls.borrow().is_empty() {
            self.idle.notified().await;
        }
    }
}

/// Counts one active call until it is dropped.
pub(super) struct CallGuard {
    shared: Rc<Shared>,
    number: u64,
}

impl CallGuard {
    /// Names the call and its upstream for the log.
    pub(super) fn name(&self, call: &str, upstream: &str) {
        let mut calls = self.shared.active_calls.borrow_mut();
        calls.name(self.number, call, upstream);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut calls = self.shared.active_calls.borrow_mut();
        calls.end(self.number);
        if calls.is_empty() {
            self.shared.idle.notify_waiters();
        }
    }
}
