//! Task that requests grants from shard owners ahead of need.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bincode::serde::Compat;
use futures_util::future::join_all;
use log::{info, warn};
use tokio::time::{sleep, timeout};
use wagtaillever_coordination::{
    QUOTA_SHARDS, QuotaLedger, QuotaReply, QuotaRequest, QuotaTable, ShardOwners,
};

use crate::{
    kernel::Context,
    peers::PeersHandle,
    quota::QuotaHandle,
    transport::{Links, TransportError},
    view::View,
    wire::QuotaReplyFrame,
};

/// Timeout of one request to a shard owner; the client ignores later replies.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks for due requests while organisations have recent requests. Grants last
/// several times as long.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between updates of the gauges and of the contact with the platform.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests to shard owners, and the ledger of the shards that this node owns.
pub(super) struct Exchange {
    context: Context,
    handle: QuotaHandle,
    ledger: Rc<RefCell<QuotaLedger>>,
    links: Links,
    view: RefCell<Arc<View>>,
    reported: Cell<Option<Instant>>,
    /// Whether the last request for each shard failed.
    failing: [Cell<bool>; QUOTA_SHARDS],
}

impl Exchange {
    pub(super) fn new(
        context: &Context,
        handle: QuotaHandle,
        ledger: Rc<RefCell<QuotaLedger>>,
    ) -> Self {
        Self {
            links: Links::new(context.settings().address),
            context: context.clone(),
            handle,
            ledger,
            view: RefCell::default(),
            reported: Cell::new(None),
            failing: Default::default(),
        }
    }

    /// Follows the view and sends due requests until the node stops.
    pub(super) async fn run(self: Rc<Self>) {
        let token = self.context.shutdown_token();
        let mut views = self.context.view().watch();
        loop {
            let has_quotas = self.follow_view();
            if has_quotas {
                self.report();
                for request in self.due_requests() {
                    let exchange = Rc::clone(&self);
                    actix_rt::spawn(async move { exchange.send(request).await });
                }
            }
            let is_idle = self.handle.client().is_idle();
            tokio::select! {
                () = token.cancelled() => return,
                changed = views.changed() => if changed.is_err() { return },
                () = self.handle.wait_for_demand() => {}
                () = sleep(REPORT_INTERVAL), if has_quotas && is_idle => {}
                () = sleep(TICK_INTERVAL), if has_quotas && !is_idle => {}
            }
        }
    }

    /// Gives back all that this node holds.
    pub(super) async fn release(&self) {
        let requests = self.handle.client().release(Instant::now());
        join_all(requests.into_iter().map(|request| self.send(request))).await;
    }

    fn due_requests(&self) -> Vec<QuotaRequest> {
        self.handle.client().due_requests(Instant::now())
    }

    /// Applies a changed configuration or list of VMs, and returns whether any organisation has a quota.
    fn follow_view(&self) -> bool {
        let view = self.context.view().load();
        let old = self.view.replace(Arc::clone(&view));
        if !Arc::ptr_eq(&old.config, &view.config) {
            let organisations = view.config.organisations.iter().flatten();
            let organisations = organisations.map(|(_, organisation)| &**organisation);
            let table = QuotaTable::new(view.config.sequence, organisations);
            self.ledger.borrow_mut().set_table(table.clone());
            self.handle.client().set_table(table);
            self.handle.notify_waiting();
        }
        if !Arc::ptr_eq(&old.vms, &view.vms) {
            self.follow_list(&view);
        }
        self.handle.client().has_quotas()
    }

    fn follow_list(&self, view: &View) {
        let owners = ShardOwners::new(&view.vms);
        let vm = &self.context.settings().vm;
        let shards = (0..QUOTA_SHARDS).filter(|shard| owners.owner(*shard) == Some(vm));
        let shards: Vec<_> = shards.collect();
        let mut ledger = self.ledger.borrow_mut();
        let old_shards = ledger.owned_shards();
        if old_shards != shards && self.handle.client().has_quotas() {
            info!(shards:? = shards, old:? = old_shards, list = view.vms.number; "owned quota shards changed");
        }
        ledger.set_owners(&owners, vm, Instant::now());
        let addresses = (0..QUOTA_SHARDS).filter_map(|shard| owners.owner(shard));
        let addresses = addresses.filter_map(|owner| Some(view.vms.get(owner)?.address));
        self.links.retain(&addresses.collect::<Vec<_>>());
        self.handle.client().set_owners(owners);
    }

    async fn send(&self, request: QuotaRequest) {
        let (shard, number) = (request.shard, request.number);
        let owner = self.handle.client().owner(shard).cloned();
        let Some(owner) = owner else {
            return;
        };
        let reply = if owner == self.context.settings().vm {
            let reply = self.ledger.borrow_mut().handle(&request, Instant::now());
            reply.ok_or(TransportError::Ended)
        } else {
            let address = self
                .context
                .view()
                .load()
                .vms
                .get(&owner)
                .map(|entry| entry.address);
            let Some(address) = address else {
                return;
            };
            let exchange = timeout(EXCHANGE_TIMEOUT, self.request(address, request));
            exchange.await.unwrap_or(Err(TransportError::Ended))
        };
        let Some(was_failing) = self.failing.get(usize::from(shard)) else {
            return;
        };
        match reply {
            Ok(reply) => {
                self.handle.client().apply(shard, &reply, Instant::now());
                if was_failing.replace(false) {
                    info!(shard, owner:% = owner; "the quota shard owner answers again");
                }
            }
            Err(err) => {
                self.handle.client().fail(shard, number, Instant::now());
                metrics::counter!("quota_requests_failed_total").increment(1);
                if !was_failing.replace(true) {
                    warn!(shard, owner:% = owner; "the quota shard owner does not answer: {err}");
                }
            }
        }
        self.handle.notify_waiting();
    }

    async fn request(
        &self,
        address: SocketAddr,
        request: QuotaRequest,
    ) -> Result<QuotaReply, TransportError> {
        metrics::counter!("quota_requests_sent_total").increment(1);
        let link = self.links.get(address).await?;
        let (mut writer, pending) = link.open_stream("quota").await?;
        writer.write_frame(&Compat(request)).await?;
        writer.finish()?;
        let mut reader = pending.ready().await?;
        let reply = reader.read_frame::<QuotaReplyFrame>().await?;
        let Compat(reply) = reply.ok_or(TransportError::Ended)?;
        Ok(reply)
    }

    /// Updates the gauges and the time of the last contact with the platform.
    fn report(&self) {
        let now = Instant::now();
        let is_recent = |at| now.saturating_duration_since(at) < REPORT_INTERVAL;
        if self.reported.get().is_some_and(is_recent) {
            return;
        }
        self.reported.set(Some(now));
        if let Ok(peers) = self.context.registry().find::<PeersHandle>("peers") {
            // An owner that restarts in a cut-off part has not heard of the platform; its ledger counts
            // the silence from its own start.
            let age = peers.status().platform_age_ms.map(Duration::from_millis);
            if let Some(heard) = age.and_then(|age| now.checked_sub(age)) {
                self.ledger.borrow_mut().record_platform(heard);
            }
        }
        for status in self.handle.client().status(now) {
            let label = || status.organisation.to_string();
            metrics::gauge!("quota_limit_per_second", "organisation" => label())
                .set(status.limit.per_second);
            metrics::gauge!("quota_unspent_tokens", "organisation" => label()).set(status.unspent);
            metrics::gauge!("quota_offline_per_second", "organisation" => label())
                .set(status.offline);
            let age = status.age.map_or(f64::INFINITY, |age| age.as_secs_f64());
            metrics::gauge!("quota_grant_age_seconds", "organisation" => label()).set(age);
        }
    }
}
