//! State of the thread that serves callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::{
    Balancer, BalancerPolicy, CallShares, CallerAges, CallerRoomBounds, LeavingUpstreams,
    RetryBudget, RetryRates, Route, Sequence, ServiceName, SpilloverSettings, Splitter,
};

use crate::{
    body_budget::BodyBudget,
    ingress::{
        connection::ConnectionTable,
        open_calls::OpenCalls,
        pool::{self, Pool},
        record::Recorder,
        refusal::did_not_run,
        request::{CallerRequest, HeaderRules, StatedWait},
        routing::RoutingView,
    },
    kernel::StopGate,
    quota::QuotaHandle,
    settings::Settings,
    stall::StallHandle,
    timeline::Timeline,
    view::ViewCell,
    wire::{Refusal, RefusalReason},
};

/// Time after which an unused connection is closed, unless it is kept open in advance.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time that a call waits for a newer configuration.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which calls that a stop gives up still wait for the reply of a sidecar. That of this VM
/// knows which of them have not run.
const LAST_REPLY_TIME: Duration = Duration::from_millis(100);

/// State shared by the threads that serve callers.
#[derive(Clone)]
pub(super) struct SharedState {
    pub(super) settings: Arc<Settings>,
    /// Current view of the node.
    pub(super) view: ViewCell,
    /// Timeline of the node.
    pub(super) timeline: Timeline,
    /// Detected pauses of the process.
    pub(super) stall: StallHandle,
    /// Quotas of organisations.
    pub(super) quota: QuotaHandle,
    /// Calls without a complete answer.
    pub(super) open_calls: OpenCalls,
    /// Decides which calls are still passed on during a stop.
    pub(super) gate: StopGate,
    /// Budget for buffered bytes of bodies.
    pub(super) body_budget: BodyBudget,
    /// Cancelled when a stop gives up the calls in flight.
    pub(super) cut: CancellationToken,
    /// Cancelled when no more connections to sidecars are to be opened.
    pub(super) token: CancellationToken,
}

/// State of the thread that serves callers.
pub(super) struct Worker {
    /// State shared by all threads.
    pub(super) shared: SharedState,
    /// Connections to sidecars.
    pub(super) pool: Rc<Pool>,
    /// Balancer that chooses upstreams.
    pub(super) balancer: RefCell<Balancer>,
    /// Upstreams that stated that they are leaving, in answers that this node passed on. Their own
    /// sidecar may have restarted since and not know it.
    pub(super) leaving: RefCell<LeavingUpstreams>,
    /// Open connections of callers.
    pub(super) connections: Rc<ConnectionTable>,
    /// Budget for what is read ahead: of responses whose callers, and of requests whose calls don't take them.
    pub(super) ahead_budget: BodyBudget,
    /// Calls in flight by caller.
    pub(super) caller_shares: RefCell<CallShares>,
    /// Recorder of metrics, log lines and events.
    pub(super) recorder: Recorder,
    pub(super) rng: RefCell<SmallRng>,
    stall_count: Cell<u64>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    splitter: RefCell<Splitter>,
    caller_ages: RefCell<CallerAges>,
    routing: RefCell<Rc<RoutingView>>,
}

impl Worker {
    /// Creates the state of a thread and starts the task that keeps its connections open.
    pub(super) fn spawn(shared: SharedState) -> Rc<Self> {
        let settings = &shared.settings;
        let policy = BalancerPolicy {
            balance: settings.policies.balance,
            ejection: settings.policies.ejection,
            spillover: settings.policies.spillover.then_some(SpilloverSettings {
                crossing_gain: settings.limits.crossing_gain,
            }),
        };
        let bounds = settings.limits.bounds();
        let max_calls = bounds.body_bytes / BYTES_PER_CALL;
        let connections = ConnectionTable::new(CallerRoomBounds {
            connections: bounds.caller_connections,
            stalled: bounds.stalled_callers,
        });
        let routing = RoutingView::new(shared.view.load(), settings, None);
        let worker = Rc::new(Self {
            pool: Rc::new(Pool::new(settings.address, shared.token.clone())),
            balancer: RefCell::new(Balancer::new(settings.domain.clone(), policy)),
            leaving: RefCell::default(),
            connections: Rc::new(connections),
            ahead_budget: BodyBudget::strict(bounds.ahead_bytes),
            caller_shares: RefCell::new(CallShares::new(max_calls.max(MIN_CALL_LIMIT))),
            rng: RefCell::new(SmallRng::from_os_rng()),
            recorder: Recorder::new(shared.timeline.clone()),
            stall_count: Cell::new(shared.stall.stall_count()),
            retry_budgets: RefCell::default(),
            splitter: RefCell::default(),
            caller_ages: RefCell::default(),
            routing: RefCell::new(Rc::new(routing)),
            shared,
        });
        let state = Rc::clone(&worker);
        let pool = Rc::clone(&worker.pool);
        let targets = move || Rc::clone(&state.routing().preconnected);
        actix_rt::spawn(pool::maintain_connections(pool, IDLE_TIMEOUT, targets));
        worker
    }

    /// Returns the header rules of the deployment.
    pub(super) fn header_rules(&self) -> HeaderRules<'_> {
        let settings = &self.shared.settings;
        HeaderRules {
            dialect: settings.protocol.dialect(),
            caller_service: settings.service.as_ref(),
        }
    }

    /// Selects the service for the next call of a route.
    pub(super) fn choose_service(&self, route: &Route) -> ServiceName {
        let mut rng = self.rng.borrow_mut();
        self.splitter.borrow_mut().next_service(route, &mut *rng)
    }

    /// Returns an estimate of the time that the caller had already waited when it sent the request.
    pub(super) fn caller_age(&self, request: &CallerRequest) -> Duration {
        let Some(caller_timeout) = request.caller_timeout else {
            return Duration::ZERO;
        };
        let caller_ages = self.caller_ages.borrow();
        caller_ages.age(&request.route.name, caller_timeout)
    }

    /// Records the time that a caller was willing to wait, which has taken a good answer.
    pub(super) fn record_wait(&self, wait: &StatedWait) {
        let mut caller_ages = self.caller_ages.borrow_mut();
        caller_ages.record(&wait.route, wait.time, Instant::now());
    }

    /// Returns whether the node must not accept new calls yet after a pause of the process. Discards
    /// loads that were reported before the pause.
    pub(super) fn is_quarantined(&self) -> bool {
        let stall = &self.shared.stall;
        let stall_count = stall.stall_count();
        if self.stall_count.replace(stall_count) != stall_count {
            self.balancer.borrow_mut().clear_loads();
        }
        stall.is_quarantined()
    }

    /// Returns the routing tables of the newest view.
    pub(super) fn routing(&self) -> Rc<RoutingView> {
        let view = self.shared.view.load();
        let mut routing = self.routing.borrow_mut();
        if !Arc::ptr_eq(&routing.view, &view) {
            let settings = &self.shared.settings;
            *routing = Rc::new(RoutingView::new(view, settings, Some(&routing)));
            self.balancer.borrow_mut().retain(&routing.candidates);
            let rates = self.retry_rates(&routing);
            for budget in self.retry_budgets.borrow_mut().values_mut() {
                budget.set_rates(rates);
            }
        }
        Rc::clone(&routing)
    }

    /// Calls a closure with the retry budget of a service.
    pub(super) fn with_budget<T>(
        &self,
        service: &ServiceName,
        apply: impl FnOnce(&mut RetryBudget, &mut SmallRng) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| self.new_budget());
        apply(budget, &mut self.rng.borrow_mut())
    }

    /// Counts a request against the quota of its organisation.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the quota is used up.
    pub(super) async fn take_quota(&self, request: &CallerRequest) -> Result<(), Refusal> {
        let Some(organisation) = &request.organisation else {
            return Ok(());
        };
        let taken = self.shared.quota.acquire(organisation).await;
        taken.map_err(|after| {
            let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            did_not_run(RefusalReason::QuotaExceeded, after_ms)
        })
    }

    /// Returns whether a stop has given up the calls in flight.
    pub(super) fn is_cut(&self) -> bool {
        self.shared.cut.is_cancelled()
    }

    /// Waits until a stop gives up the calls in flight and the sidecar of this VM had time to reply.
    pub(super) async fn wait_for_cut(&self) {
        self.shared.cut.cancelled().await;
        sleep(LAST_REPLY_TIME).await;
    }

    /// Waits until the view reaches a sequence, for [`CATCH_UP_TIMEOUT`] at most.
    pub(super) async fn wait_for_sequence(&self, sequence: Sequence) {
        let mut view = self.shared.view.watch();
        let reached = view.wait_for(|view| view.config.sequence >= sequence);
        let _ = timeout(CATCH_UP_TIMEOUT, reached).await;
    }

    fn retry_rates(&self, routing: &RoutingView) -> RetryRates {
        let fleet_budget = self.shared.settings.resends;
        fleet_budget.map_or_else(RetryRates::default, |fleet_budget| {
            fleet_budget.node_share(routing.view.vms.vms.len())
        })
    }

    fn new_budget(&self) -> RetryBudget {
        if self.shared.settings.policies.budget {
            let rates = self.retry_rates(&self.routing.borrow());
            return RetryBudget::new(rates, Instant::now());
        }
        RetryBudget::unlimited(Instant::now())
    }
}

/// Memory of one call: its buffered request body, which is larger than the flow-control window of
/// its stream.
const BYTES_PER_CALL: usize = 64 << 10;
/// Calls in flight that a node allows even if `body_bytes` gives fewer.
const MIN_CALL_LIMIT: usize = 8;
