//! State of one upstream of this VM: connections, admission, answer quality and crash detection.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use awc::Client;
use log::info;
use tokio::{sync::oneshot, time::sleep_until};
use wagtaillever_coordination::{
    Admission, AdmissionRequest, CrashDetector, Dialect, InFlight, LeavingUpstreams, Quality,
    QueueTicket, Rank, Rejection, RejectionCause, Sample, SampleResult, Service, StatedLimit,
    Statement, Upstream,
};

use crate::{
    mutant::{self, Mutant},
    settings::{Limits, Policies, Settings},
    sidecar::{
        admit::{AdmissionResult, Permit, decision_parts},
        health,
        statements::{Belief, Source, Statements},
        upstream_setup::{admission_settings, client},
    },
    timeline::{EventKind, Timeline},
    wire::Load,
};

/// Upstream of this VM with its connections and admission.
pub(super) struct LocalUpstream {
    spec: RefCell<Arc<Upstream>>,
    service: RefCell<Option<Arc<Service>>>,
    client: RefCell<Client>,
    dialect: &'static Dialect,
    policies: Policies,
    limits: Limits,
    timeline: Timeline,
    admission: RefCell<Admission>,
    quality: RefCell<Quality>,
    statements: Statements,
    leaving: Rc<RefCell<LeavingUpstreams>>,
    /// Metric of the requests that were started.
    requests: metrics::Counter,
    waiters: RefCell<BTreeMap<QueueTicket, Waiter>>,
    crashes: RefCell<CrashDetector>,
    process: RefCell<Option<Vec<u8>>>,
    reported: Cell<(u32, bool)>,
    probes: Cell<u32>,
    is_checking: Cell<bool>,
    /// Time of the next scheduled dispatch.
    dispatch_due: Cell<Option<Instant>>,
    /// Whether queued and further requests are refused.
    is_retired: Cell<bool>,
    /// Whether a later process has the address.
    is_superseded: Cell<bool>,
}

struct Waiter {
    sender: oneshot::Sender<AdmissionResult>,
    rank: Rank,
    alone: bool,
}

impl LocalUpstream {
    /// Returns the state of an upstream that was never contacted.
    pub(super) fn new(
        spec: Arc<Upstream>,
        service: Option<Arc<Service>>,
        settings: &Settings,
        timeline: Timeline,
        leaving: Rc<RefCell<LeavingUpstreams>>,
    ) -> Self {
        let policies = &settings.policies;
        let now = Instant::now();
        let is_listed = spec.start.is_some();
        let bounds = admission_settings(&spec, service.as_deref(), policies, &settings.limits);
        let mut admission = Admission::new(bounds, now);
        if let Some(start) = spec.start {
            admission.set_cold_for(Duration::from_millis(start.cold_ms), now);
        }
        if is_listed {
            admission.await_first_answer();
        }
        let reported = Cell::new((admission.limit(), admission.is_cold(now)));
        let requests =
            metrics::counter!("upstream_requests_total", "upstream" => spec.name.to_string());
        Self {
            client: RefCell::new(client(&spec, &settings.limits)),
            spec: RefCell::new(spec),
            service: RefCell::new(service),
            dialect: settings.protocol.dialect(),
            policies: policies.clone(),
            limits: settings.limits.clone(),
            timeline,
            admission: RefCell::new(admission),
            quality: RefCell::default(),
            statements: Statements::new(now),
            leaving,
            requests,
            waiters: RefCell::default(),
            crashes: RefCell::new(CrashDetector::new(is_listed)),
            process: RefCell::default(),
            reported,
            probes: Cell::default(),
            is_checking: Cell::default(),
            dispatch_due: Cell::default(),
            is_retired: Cell::default(),
            is_superseded: Cell::default(),
        }
    }

    /// Returns the configured description of the upstream.
    pub(super) fn spec(&self) -> Arc<Upstream> {
        Arc::clone(&self.spec.borrow())
    }

    /// Applies a changed configuration of the upstream at the same address.
    pub(super) fn reconfigure(
        self: &Rc<Self>,
        spec: &Arc<Upstream>,
        service: Option<&Arc<Service>>,
    ) {
        let old = self.spec.replace(Arc::clone(spec));
        let old_service = self.service.replace(service.cloned());
        if old == *spec && old_service.as_ref() == service {
            return;
        }
        if old.connections != spec.connections {
            self.client.replace(client(spec, &self.limits));
        }
        let service = service.map(|it| &**it);
        let settings = admission_settings(spec, service, &self.policies, &self.limits);
        self.admission.borrow_mut().reconfigure(settings);
        if old_service.is_none() && service.is_some() {
            self.assume_cold();
        }
        let cold_ms = spec.start.map_or(0, |start| start.cold_ms);
        if cold_ms > 0 && old.start != spec.start {
            self.set_cold_for(Duration::from_millis(cold_ms));
        }
        self.dispatch();
    }

    /// Treats a listed upstream as cold for the cold time of its service, or until its health check
    /// reports the remaining time.
    ///
    /// This applies for example after a start of this process, which does not know how long the
    /// upstream has been running.
    pub(super) fn assume_cold(self: &Rc<Self>) {
        let cold_ms = self
            .service
            .borrow()
            .as_ref()
            .map_or(0, |service| service.cold_ms);
        if self.spec().start.is_none() || cold_ms == 0 {
            return;
        }
        self.set_cold_for(Duration::from_millis(cold_ms));
        health::start_check(self);
    }

    /// Sets the time for which the upstream stays cold.
    pub(super) fn set_cold_for(self: &Rc<Self>, time: Duration) {
        self.admission
            .borrow_mut()
            .set_cold_for(time, Instant::now());
        self.report_state();
        self.dispatch();
    }

    /// Returns the path of the health check if the platform lists the upstream and its service has
    /// a health check.
    pub(super) fn health_path(&self) -> Option<String> {
        self.spec().start?;
        let service = self.service.borrow();
        service.as_ref().and_then(|service| service.health.clone())
    }

    /// Marks a health check as running. Returns `false` if one is running already.
    pub(super) fn begin_health_check(&self) -> bool {
        !self.is_checking.replace(true)
    }

    /// Marks the health check as ended.
    pub(super) fn end_health_check(&self) {
        self.is_checking.set(false);
    }

    /// Returns the header names of the deployment.
    pub(super) fn dialect(&self) -> &'static Dialect {
        self.dialect
    }

    /// Returns the HTTP client with the connections to the upstream.
    pub(super) fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Returns the admission control of the upstream.
    pub(super) fn admission(&self) -> &RefCell<Admission> {
        &self.admission
    }

    /// Returns the load to report to ingresses.
    pub(super) fn load(&self) -> Load {
        let admission = self.admission.borrow();
        Load {
            active: admission.active(),
            limit: admission.expected_limit(Instant::now()),
            queued: u32::try_from(admission.queued()).unwrap_or(u32::MAX),
            cost: self.quality.borrow().cost(),
        }
    }

    /// Returns the permit of the most recently started request.
    pub(super) fn permit(self: &Rc<Self>, rank: Rank, alone: bool) -> Permit {
        let admission = self.admission.borrow();
        let is_over_limit = admission.active() > self.spec.borrow().slots;
        if is_over_limit {
            metrics::counter!("invariant_broken_total", "name" => "over_limit").increment(1);
        }
        let mark = admission.start_mark();
        drop(admission);
        self.requests.increment(1);
        Permit::new(self, rank, alone, mark)
    }

    /// Takes over the starts of requests that went to the same address before the upstream restarted.
    pub(super) fn inherit_starts(&self, earlier: &Self) {
        let mut admission = self.admission.borrow_mut();
        admission.inherit_starts(&earlier.admission.borrow());
    }

    /// Returns whether a call would start at once.
    pub(super) fn has_free_slot(&self) -> bool {
        let admission = self.admission.borrow();
        admission.queued() == 0 && admission.active() < admission.limit()
    }

    /// Returns whether calls wait for a slot.
    pub(super) fn is_slot_wanted(&self) -> bool {
        self.admission.borrow().queued() > 0
    }

    /// Refuses queued and further requests, because another instance counts them since the upstream
    /// restarted, or because the time of a stop is over.
    pub(super) fn retire(&self) {
        self.is_retired.set(true);
        self.refuse_queued();
    }

    /// Sets whether the platform lists a later process at the address. The upstream then has ended, and
    /// its requests would only use up what the later process accepts.
    pub(super) fn set_superseded(&self, is_superseded: bool) {
        if self.is_superseded.replace(is_superseded) == is_superseded {
            return;
        }
        let upstream = &self.spec.borrow().name;
        info!(upstream:% = upstream, is_superseded; "upstream has a later process at its address");
        if is_superseded {
            self.refuse_queued();
        }
    }

    /// Returns whether the platform lists a later process at the address.
    pub(super) fn is_superseded(&self) -> bool {
        self.is_superseded.get()
    }

    fn refuse_queued(&self) {
        for (ticket, waiter) in self.waiters.take() {
            self.admission.borrow_mut().cancel(ticket);
            let rejection = Rejection {
                cause: RejectionCause::Down,
                retry_after: Duration::ZERO,
            };
            drop(waiter.sender.send(Err(rejection)));
        }
    }

    /// Returns whether further requests are refused.
    pub(super) fn is_retired(&self) -> bool {
        self.is_retired.get() || self.is_superseded.get()
    }

    /// Registers a queued request.
    pub(super) fn enqueue(
        &self,
        ticket: QueueTicket,
        sender: oneshot::Sender<AdmissionResult>,
        request: AdmissionRequest,
    ) {
        let waiter = Waiter {
            sender,
            rank: request.rank,
            alone: request.alone,
        };
        self.waiters.borrow_mut().insert(ticket, waiter);
    }

    /// Removes a request from the queue if it is still queued.
    pub(super) fn cancel(self: &Rc<Self>, ticket: QueueTicket) {
        let was_waiting = self.waiters.borrow_mut().remove(&ticket).is_some();
        if was_waiting {
            self.admission.borrow_mut().cancel(ticket);
            self.dispatch();
        }
    }

    /// Releases a slot, records the result of its request and starts queued requests.
    pub(super) fn release(
        self: &Rc<Self>,
        sample: Sample,
        held: Duration,
        alone: bool,
        is_good: bool,
        now: Instant,
    ) {
        let mut admission = self.admission.borrow_mut();
        admission.release(held, alone, sample.rank);
        admission.observe(sample, now);
        drop(admission);
        self.update_quality(&sample, held, is_good);
        if sample.result == SampleResult::Refused {
            self.crashes.borrow_mut().record_sign(now);
            self.assume_cold();
        }
        self.report_state();
        self.dispatch();
    }

    /// Updates the answer quality of the upstream. The latency runs until the caller has the
    /// complete answer, because transfer over a slow link can take longer than the upstream.
    fn update_quality(&self, sample: &Sample, held: Duration, is_good: bool) {
        let mut quality = self.quality.borrow_mut();
        match sample.result {
            SampleResult::Answered => {
                let target = match sample.rank.target_ms {
                    u32::MAX => Duration::ZERO,
                    target_ms => Duration::from_millis(target_ms.into()),
                };
                quality.record_response(held, target, is_good);
            }
            SampleResult::Shed | SampleResult::Failed => quality.record_failure(),
            SampleResult::Refused | SampleResult::Abandoned => {}
        }
    }

    /// Starts or rejects queued requests, if there are any.
    pub(super) fn dispatch_queued(self: &Rc<Self>) {
        if self.admission.borrow().queued() > 0 {
            self.dispatch();
        }
    }

    /// Starts or rejects all queued requests that are due.
    pub(super) fn dispatch(self: &Rc<Self>) {
        loop {
            let now = Instant::now();
            let next = self.admission.borrow_mut().next_decision(now);
            let Some(next) = next else {
                self.schedule_dispatch(now);
                return;
            };
            let (ticket, rejection) = decision_parts(next);
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let (rank, alone) = waiter
                .as_ref()
                .map_or_else(Default::default, |waiter| (waiter.rank, waiter.alone));
            let decision = match rejection {
                Some(rejection) => Err(rejection),
                None => Ok(self.permit(rank, alone)),
            };
            if let Some(waiter) = waiter {
                drop(waiter.sender.send(decision));
            }
        }
    }

    /// Dispatches again when the rate of a cold upstream allows the next queued request to start.
    fn schedule_dispatch(self: &Rc<Self>, now: Instant) {
        let wait = self.admission.borrow().next_start_in(now);
        let Some(wait) = wait.filter(|_| self.limits.cold_burst().is_some()) else {
            return;
        };
        let due = now + wait;
        if self.dispatch_due.get().is_some_and(|other| other <= due) {
            return;
        }
        self.dispatch_due.set(Some(due));
        let upstream = Rc::clone(self);
        actix_rt::spawn(async move {
            sleep_until(due.into()).await;
            if upstream.dispatch_due.get() == Some(due) {
                upstream.dispatch_due.set(None);
            }
            upstream.dispatch();
        });
    }

    /// Records what the upstream states of itself in an answer to a request that was sent at
    /// `sent_at`.
    pub(super) fn record_statement(
        self: &Rc<Self>,
        statement: Statement,
        sent_at: Instant,
        source: Source<'_>,
    ) {
        let stated = match mutant::is_enabled(Mutant::IgnoreLimits) {
            true => StatedLimit::None,
            false => statement.limit,
        };
        let mut admission = self.admission.borrow_mut();
        let is_changed = admission.record_stated_limit(stated, sent_at, Instant::now());
        let limit = admission.stated_limit();
        drop(admission);
        let spec = self.spec();
        if statement.is_leaving && self.leaving.borrow_mut().record(&spec, Instant::now()) {
            // The next requests go to a new process, which is cold.
            self.admission.borrow_mut().record_restart(Instant::now());
        }
        let belief = Belief {
            limit,
            is_leaving: self.is_leaving(),
        };
        if statement.limit == StatedLimit::Unusable {
            self.statements.report_unusable(&spec.name, source);
        }
        self.statements.record(&spec.name, belief, source);
        if let Some(cold) = statement.cold.filter(|cold| !cold.is_zero()) {
            self.set_cold_for(cold);
        } else if is_changed {
            self.dispatch();
        }
    }

    /// Returns whether the upstream stated that it is leaving, so that it must get no new requests.
    pub(super) fn is_leaving(&self) -> bool {
        let leaving = self.leaving.borrow();
        leaving.contains(&self.spec.borrow(), Instant::now())
            && !mutant::is_enabled(Mutant::IgnoreLeaving)
    }

    /// Returns whether the upstream counts as cold.
    pub(super) fn is_cold(&self) -> bool {
        self.admission.borrow().is_cold(Instant::now())
    }

    /// Returns the time until the upstream may get a health check.
    pub(super) fn health_check_delay(&self) -> Duration {
        self.admission.borrow().health_check_delay(Instant::now())
    }

    /// Returns what the upstream states of itself.
    pub(super) fn statements(&self) -> &Statements {
        &self.statements
    }

    /// Records the identity of the process that answered. A changed identity means that the
    /// upstream has restarted.
    pub(super) fn record_process(self: &Rc<Self>, process: Option<&[u8]>) {
        let Some(process) = process else {
            return;
        };
        let mut known = self.process.borrow_mut();
        if known.as_deref() == Some(process) {
            return;
        }
        let old = known.replace(process.to_vec());
        if old.is_some() {
            self.record_restart();
        }
    }

    /// Records a connection that broke with a request in flight.
    pub(super) fn record_broken_connection(self: &Rc<Self>, request: InFlight) {
        let now = Instant::now();
        self.crashes.borrow_mut().record_broken(request, now);
        let has_sign = self.crashes.borrow().has_sign();
        if has_sign {
            self.admission.borrow_mut().record_restart(now);
            self.assume_cold();
        }
    }

    /// Records evidence that the upstream has restarted.
    pub(super) fn record_restart(self: &Rc<Self>) {
        let now = Instant::now();
        self.crashes.borrow_mut().record_sign(now);
        self.admission.borrow_mut().record_restart(now);
        self.assume_cold();
        self.report_state();
    }

    /// Returns whether a probe of the upstream is running.
    pub(super) fn is_probed(&self) -> bool {
        self.probes.get() > 0
    }

    /// Counts a probe as running until the guard is dropped.
    pub(super) fn begin_probe(self: &Rc<Self>) -> ProbeGuard {
        self.probes.set(self.probes.get() + 1);
        ProbeGuard(Rc::clone(self))
    }

    /// Returns whether the cause of a broken connection is still undecided.
    pub(super) fn is_crash_suspected(&self) -> bool {
        self.crashes.borrow().has_broken()
    }

    /// Takes the requests that were in flight at a detected crash.
    pub(super) fn take_crashed_requests(&self) -> Option<Vec<InFlight>> {
        self.crashes.borrow_mut().take_crash(Instant::now())
    }

    /// Reports a changed limit or warm-up state in metrics, log and timeline.
    fn report_state(&self) {
        let admission = self.admission.borrow();
        let state = (admission.limit(), admission.is_cold(Instant::now()));
        let before = self.reported.replace(state);
        if before == state {
            return;
        }
        let upstream = self.spec.borrow().name.clone();
        metrics::gauge!("upstream_limit", "upstream" => upstream.to_string()).set(state.0);
        match (before.1, state.1) {
            (false, true) => {
                info!(upstream:% = upstream; "upstream entered cold state");
                self.timeline.record(EventKind::UpstreamCold { upstream });
            }
            (true, false) => {
                info!(upstream:% = upstream; "upstream left cold state");
                self.timeline.record(EventKind::UpstreamWarm { upstream });
            }
            _ => {}
        }
    }
}

/// Counts one running probe until it is dropped.
pub(super) struct ProbeGuard(Rc<LocalUpstream>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.probes.set(self.0.probes.get() - 1);
    }
}
