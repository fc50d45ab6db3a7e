//! One upstream of this VM.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use awc::{Client, Connector};
use log::info;
use tokio::sync::oneshot;
use wagtaillever_coordination::{
    Admission, AdmissionRequest, AdmissionSettings, CrashDetector, Dialect, InFlight, Quality,
    QueueTicket, Rank, Sample, SampleResult, Service, Upstream,
};

use crate::{
    mutant::{self, Mutant},
    settings::{Limits, Policies, Settings},
    sidecar::{
        admit::{Permit, Verdict, turn_parts},
        connector::TracedConnector,
        health,
    },
    timeline::{EventKind, Timeline},
    wire::Load,
};

/// Longest time to open a connection to an upstream on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(4);

/// An upstream of this VM with its connections and admission.
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
    waiting: RefCell<BTreeMap<QueueTicket, Waiter>>,
    crashes: RefCell<CrashDetector>,
    process: RefCell<Option<Vec<u8>>>,
    told: Cell<(u32, bool)>,
    probes: Cell<u32>,
    is_asked: Cell<bool>,
}

struct Waiter {
    sender: oneshot::Sender<Verdict>,
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
    ) -> Self {
        let policies = &settings.policies;
        let now = Instant::now();
        let is_told = spec.start.is_some();
        let bounds = admission_settings(&spec, service.as_deref(), policies, &settings.limits);
        let mut admission = Admission::new(bounds, now);
        if let Some(start) = spec.start {
            admission.set_cold_for(Duration::from_millis(start.cold_ms), now);
        }
        let told = Cell::new((admission.limit(), admission.is_cold(now)));
        Self {
            client: RefCell::new(client(&spec)),
            spec: RefCell::new(spec),
            service: RefCell::new(service),
            dialect: settings.protocol.dialect(),
            policies: policies.clone(),
            limits: settings.limits.clone(),
            timeline,
            admission: RefCell::new(admission),
            quality: RefCell::default(),
            waiting: RefCell::default(),
            crashes: RefCell::new(CrashDetector::new(is_told)),
            process: RefCell::default(),
            told,
            probes: Cell::default(),
            is_asked: Cell::default(),
        }
    }

    /// Returns what the configuration says of the upstream.
    pub(super) fn spec(&self) -> Arc<Upstream> {
        Arc::clone(&self.spec.borrow())
    }

    /// Applies what the configuration changed, at the same address.
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
            self.client.replace(client(spec));
        }
        let service = service.map(|it| &**it);
        let settings = admission_settings(spec, service, &self.policies, &self.limits);
        self.admission.borrow_mut().reconfigure(settings);
        if old_service.is_none() && service.is_some() {
            self.doubt();
        }
        let told_cold = spec.start.map_or(0, |start| start.cold_ms);
        if told_cold > 0 && old.start != spec.start {
            self.cold_for(Duration::from_millis(told_cold));
        }
        self.pump();
    }

    /// Treats the upstream as cold until it tells otherwise, such as when this process has just
    /// started and doesn't know for how long the upstream has run.
    pub(super) fn doubt(self: &Rc<Self>) {
        let cold_ms = self
            .service
            .borrow()
            .as_ref()
            .map_or(0, |service| service.cold_ms);
        if self.spec().start.is_none() || cold_ms == 0 {
            return;
        }
        self.cold_for(Duration::from_millis(cold_ms));
        health::ask(self);
    }

    /// Takes note of how long the upstream stays cold.
    pub(super) fn cold_for(self: &Rc<Self>, time: Duration) {
        self.admission
            .borrow_mut()
            .set_cold_for(time, Instant::now());
        self.tell();
        self.pump();
    }

    /// Returns the path under which the upstream tells its health, where the platform lists it.
    pub(super) fn health_path(&self) -> Option<String> {
        self.spec().start?;
        let service = self.service.borrow();
        service.as_ref().and_then(|service| service.health.clone())
    }

    /// Returns whether nothing else asks for the upstream's health; then the caller does.
    pub(super) fn begin_health_check(&self) -> bool {
        !self.is_asked.replace(true)
    }

    /// Notes that the question for the upstream's health is over.
    pub(super) fn end_health_check(&self) {
        self.is_asked.set(false);
    }

    /// Returns the headers of the deployment.
    pub(super) fn dialect(&self) -> &'static Dialect {
        self.dialect
    }

    /// Returns the client that holds the connections to the upstream.
    pub(super) fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Returns the admission.
    pub(super) fn admission(&self) -> &RefCell<Admission> {
        &self.admission
    }

    /// Returns the load that is told to ingresses.
    pub(super) fn load(&self) -> Load {
        let admission = self.admission.borrow();
        Load {
            active: admission.active(),
            limit: admission.expected_limit(Instant::now()),
            queued: u32::try_from(admission.queued()).unwrap_or(u32::MAX),
            cost: self.quality.borrow().cost(),
        }
    }

    /// Returns the permit of the request that was started last.
    pub(super) fn permit(self: &Rc<Self>, rank: Rank, alone: bool) -> Permit {
        let admission = self.admission.borrow();
        let is_over = admission.active() > self.spec.borrow().slots;
        if is_over {
            metrics::counter!("invariant_broken_total", "name" => "over_limit").increment(1);
        }
        let mark = admission.start_mark();
        drop(admission);
        Permit::new(self, rank, alone, mark)
    }

    /// Registers a waiting request.
    pub(super) fn enqueue(
        &self,
        ticket: QueueTicket,
        sender: oneshot::Sender<Verdict>,
        ask: AdmissionRequest,
    ) {
        let waiter = Waiter {
            sender,
            rank: ask.rank,
            alone: ask.alone,
        };
        self.waiting.borrow_mut().insert(ticket, waiter);
    }

    /// Takes a waiting request out, if it still waits.
    pub(super) fn cancel(self: &Rc<Self>, ticket: QueueTicket) {
        let was_waiting = self.waiting.borrow_mut().remove(&ticket).is_some();
        if was_waiting {
            self.admission.borrow_mut().cancel(ticket);
            self.pump();
        }
    }

    /// Gives a slot back, learns from its request and lets the next ones start.
    pub(super) fn give_back(
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
        self.judge(&sample, held, is_good);
        if sample.result == SampleResult::Refused {
            self.crashes.borrow_mut().record_sign(now);
            self.doubt();
        }
        self.tell();
        self.pump();
    }

    /// Learns how well the upstream answers. The time counts until the caller has the whole answer,
    /// as a small link can take longer than the upstream.
    fn judge(&self, sample: &Sample, held: Duration, is_good: bool) {
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

    /// Gives waiting requests their turn, if there are any.
    pub(super) fn pump_waiting(self: &Rc<Self>) {
        if self.admission.borrow().queued() > 0 {
            self.pump();
        }
    }

    /// Gives all waiting requests their turn that can have it.
    pub(super) fn pump(self: &Rc<Self>) {
        loop {
            let turn = self.admission.borrow_mut().next_decision(Instant::now());
            let Some(turn) = turn else {
                return;
            };
            let (ticket, rejection) = turn_parts(turn);
            let waiter = self.waiting.borrow_mut().remove(&ticket);
            let (rank, alone) = waiter
                .as_ref()
                .map_or_else(Default::default, |waiter| (waiter.rank, waiter.alone));
            let verdict = match rejection {
                Some(rejection) => Err(rejection),
                None => Ok(self.permit(rank, alone)),
            };
            if let Some(waiter) = waiter {
                drop(waiter.sender.send(verdict));
            }
        }
    }

    /// Takes note of the process that answered; a changed one has restarted.
    pub(super) fn answered_by(self: &Rc<Self>, process: Option<&[u8]>) {
        let Some(process) = process else {
            return;
        };
        let mut known = self.process.borrow_mut();
        if known.as_deref() == Some(process) {
            return;
        }
        let old = known.replace(process.to_vec());
        if old.is_some() {
            self.restarted();
        }
    }

    /// Takes note of a connection that broke with a request in flight.
    pub(super) fn broke(self: &Rc<Self>, run: InFlight) {
        let now = Instant::now();
        self.crashes.borrow_mut().record_broken(run, now);
        let is_signed = self.crashes.borrow().has_sign();
        if is_signed {
            self.admission.borrow_mut().record_restart(now);
            self.doubt();
        }
    }

    /// Takes note of a sign of a restart.
    pub(super) fn restarted(self: &Rc<Self>) {
        let now = Instant::now();
        self.crashes.borrow_mut().record_sign(now);
        self.admission.borrow_mut().record_restart(now);
        self.doubt();
        self.tell();
    }

    /// Returns whether the upstream is being probed.
    pub(super) fn is_probed(&self) -> bool {
        self.probes.get() > 0
    }

    /// Counts a probe until the guard is dropped.
    pub(super) fn begin_probe(self: &Rc<Self>) -> ProbeGuard {
        self.probes.set(self.probes.get() + 1);
        ProbeGuard(Rc::clone(self))
    }

    /// Returns whether a broken connection waits for an explanation.
    pub(super) fn is_crash_suspected(&self) -> bool {
        self.crashes.borrow().has_broken()
    }

    /// Returns the requests that were in flight at a crash, once.
    pub(super) fn settle_crash(&self) -> Option<Vec<InFlight>> {
        self.crashes.borrow_mut().take_crash(Instant::now())
    }

    /// Records a changed state of the admission.
    fn tell(&self) {
        let admission = self.admission.borrow();
        let state = (admission.limit(), admission.is_cold(Instant::now()));
        let before = self.told.replace(state);
        if before == state {
            return;
        }
        let upstream = self.spec.borrow().name.clone();
        metrics::gauge!("upstream_limit", "upstream" => upstream.to_string()).set(state.0);
        match (before.1, state.1) {
            (false, true) => {
                info!(upstream:% = upstream; "upstream is cold");
                self.timeline.record(EventKind::UpstreamCold { upstream });
            }
            (true, false) => {
                info!(upstream:% = upstream; "upstream is warm");
                self.timeline.record(EventKind::UpstreamWarm { upstream });
            }
            _ => {}
        }
    }
}

/// Counts one probe while it lives.
pub(super) struct ProbeGuard(Rc<LocalUpstream>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.probes.set(self.0.probes.get() - 1);
    }
}

fn admission_settings(
    spec: &Upstream,
    service: Option<&Service>,
    policies: &Policies,
    limits: &Limits,
) -> AdmissionSettings {
    let is_told = spec.start.is_some();
    let cold_per_second = service.and_then(|service| service.cold_per_second);
    AdmissionSettings {
        cold_per_second: cold_per_second
            .filter(|_| is_told)
            .map(|rate| limits.cold_rate(rate)),
        link_rate: limits.link_rate(),
        slots: spec.slots.min(spec.connections),
        // An upstream that tells its slots keeps them: failures need not come from load.
        adaptive: policies.adaptive && !is_told,
        has_limit: policies.limit && !mutant::is_on(Mutant::NoRamp),
        has_ramp: policies.ramp && !mutant::is_on(Mutant::NoRamp),
    }
}

fn client(spec: &Upstream) -> Client {
    let connector = Connector::new()
        .connector(TracedConnector::new(spec.address))
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(spec.connections as usize);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}
