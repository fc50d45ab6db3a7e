//! State of the thread that serves callers.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::{
    Balancer, BalancerPolicy, CallShares, CallerAges, RetryBudget, RetryRates, Route, Sequence,
    ServiceName, Splitter,
};

use crate::{
    ingress::{
        pool::{self, Pool},
        record::Recorder,
        request::{CallerRequest, Words},
        routing::RoutingView,
    },
    settings::Settings,
    stall::Stall,
    timeline::Timeline,
    view::ViewCell,
};

/// Time after which an unused connection that is not kept open ahead of need is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time for which a call waits for a newer configuration.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(200);

/// What the threads that serve callers are given.
#[derive(Clone)]
pub(super) struct Shared {
    /// Settings of the node.
    pub(super) settings: Arc<Settings>,
    /// What the node believes.
    pub(super) view: ViewCell,
    /// Events of the node.
    pub(super) timeline: Timeline,
    /// Pauses of the node.
    pub(super) stall: Stall,
    /// Ends the connections to sidecars.
    pub(super) token: CancellationToken,
}

/// State of the thread that serves callers.
pub(super) struct Worker {
    /// What all threads are given.
    pub(super) shared: Shared,
    /// Connections to sidecars.
    pub(super) pool: Rc<Pool>,
    /// Choice of upstreams.
    pub(super) balancer: RefCell<Balancer>,
    /// Calls in flight by caller.
    pub(super) shares: RefCell<CallShares>,
    /// Metrics and events.
    pub(super) recorder: Recorder,
    /// Source of randomness.
    pub(super) rng: RefCell<SmallRng>,
    stalls: Cell<u64>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    splitter: RefCell<Splitter>,
    ages: RefCell<CallerAges>,
    routing: RefCell<Rc<RoutingView>>,
}

impl Worker {
    /// Returns the state of a fresh thread and keeps its connections open.
    pub(super) fn spawn(shared: Shared) -> Rc<Self> {
        let settings = &shared.settings;
        let policy = BalancerPolicy {
            balance: settings.policies.balance,
            ejection: settings.policies.ejection,
        };
        let calls = settings.limits.body_bytes / CALL_BYTES;
        let routing = RoutingView::new(shared.view.load(), settings, None);
        let worker = Rc::new(Self {
            pool: Rc::new(Pool::new(settings.address, shared.token.clone())),
            balancer: RefCell::new(Balancer::new(settings.domain.clone(), policy)),
            shares: RefCell::new(CallShares::new(calls.max(MIN_CALLS))),
            rng: RefCell::new(SmallRng::from_os_rng()),
            recorder: Recorder::new(shared.timeline.clone()),
            stalls: Cell::new(shared.stall.generation()),
            budgets: RefCell::default(),
            splitter: RefCell::default(),
            ages: RefCell::default(),
            routing: RefCell::new(Rc::new(routing)),
            shared,
        });
        let wanted = Rc::clone(&worker);
        let pool = Rc::clone(&worker.pool);
        let wanted = move || Rc::clone(&wanted.routing().warm);
        actix_rt::spawn(pool::keep_warm(pool, IDLE_TIMEOUT, wanted));
        worker
    }

    /// Returns the headers of the deployment.
    pub(super) fn words(&self) -> Words<'_> {
        let settings = &self.shared.settings;
        Words {
            dialect: settings.protocol.dialect(),
            origin: settings.service.as_ref(),
        }
    }

    /// Returns the service that gets the next call of a route.
    pub(super) fn choose_service(&self, route: &Route) -> ServiceName {
        let mut rng = self.rng.borrow_mut();
        self.splitter.borrow_mut().next_service(route, &mut *rng)
    }

    /// Returns how long the caller of a request has waited before it sent it.
    pub(super) fn age(&self, request: &CallerRequest) -> Duration {
        let Some(left) = request.patience else {
            return Duration::ZERO;
        };
        let mut ages = self.ages.borrow_mut();
        ages.age(&request.route.name, left, request.arrived)
    }

    /// Returns whether the node was paused and must take no new work yet; loads that were
    /// reported before a pause are dropped.
    pub(super) fn is_quarantined(&self) -> bool {
        let stall = &self.shared.stall;
        let stalls = stall.generation();
        if self.stalls.replace(stalls) != stalls {
            self.balancer.borrow_mut().clear_loads();
        }
        stall.is_quarantined()
    }

    /// Returns what follows from the newest view.
    pub(super) fn routing(&self) -> Rc<RoutingView> {
        let view = self.shared.view.load();
        let mut routing = self.routing.borrow_mut();
        if !Arc::ptr_eq(&routing.view, &view) {
            let settings = &self.shared.settings;
            *routing = Rc::new(RoutingView::new(view, settings, Some(&routing)));
            self.balancer.borrow_mut().retain(&routing.candidates);
            let rates = self.retry_rates(&routing);
            for budget in self.budgets.borrow_mut().values_mut() {
                budget.set_rates(rates);
            }
        }
        Rc::clone(&routing)
    }

    /// Runs a closure on the retry budget of a service.
    pub(super) fn with_budget<T>(
        &self,
        service: &ServiceName,
        visit: impl FnOnce(&mut RetryBudget, &mut SmallRng) -> T,
    ) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| self.fresh_budget());
        visit(budget, &mut self.rng.borrow_mut())
    }

    /// Waits a short time until the view reaches a sequence.
    pub(super) async fn catch_up(&self, sequence: Sequence) {
        let mut view = self.shared.view.watch();
        let reached = view.wait_for(|view| view.config.sequence >= sequence);
        let _ = timeout(CATCH_UP_TIMEOUT, reached).await;
    }

    fn retry_rates(&self, routing: &RoutingView) -> RetryRates {
        let fleet = self.shared.settings.resends;
        fleet.map_or_else(RetryRates::default, |fleet| {
            fleet.node_share(routing.view.vms.vms.len())
        })
    }

    fn fresh_budget(&self) -> RetryBudget {
        if self.shared.settings.policies.budget {
            let rates = self.retry_rates(&self.routing.borrow());
            return RetryBudget::new(rates, Instant::now());
        }
        RetryBudget::unlimited(Instant::now())
    }
}

/// Bytes that one call may hold: its kept body, which is larger than what a stream holds back.
const CALL_BYTES: usize = 64 << 10;
/// Calls in flight that a node allows however small its limits are.
const MIN_CALLS: usize = 8;
