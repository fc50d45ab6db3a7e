//! Replicated state of one node: the configuration in force, the links to other nodes, the reads of
//! the platform and the decision when the node starts to accept requests.

mod dial;
mod input;
mod joining;
mod link;
mod origin;
mod output;
mod plan;
mod platform;
mod propagation;
mod receive;
mod snapshot;
mod summary;

pub use self::{
    input::{Identity, PlatformValue, ReplicaPolicy},
    origin::Origin,
    output::{LinkId, Output, PlatformMode, ReplicaEvent},
};

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::{dial::DialTable, link::Link, platform::Readers, snapshot::SnapshotCache};
use crate::{
    config::Config,
    drain::{DrainList, DrainOrder},
    fleet::{FleetSummary, FleetTable},
    fold::{Fold, FoldEvent},
    join::{Join, JoinWait},
    message::{Message, Versions},
    name::{DomainName, VmName},
    overlay::Overlay,
    sequence::Sequence,
    soft_report::{ReportStore, SoftReport},
    vm::{VmEntry, VmList},
};

/// Gap between two ticks from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Replica state machine of one node; performs no I/O itself.
///
/// Methods that handle an input return nothing; the embedder collects the resulting actions with
/// [`Replica::take_outputs`].
#[derive(Clone, Debug)]
pub struct Replica {
    identity: Identity,
    policy: ReplicaPolicy,
    fold: Fold,
    highest: Sequence,
    vms: Arc<VmList>,
    overlay: Overlay,
    /// Candidate parents of this node in order of preference.
    parents: Arc<[Arc<VmEntry>]>,
    vms_missing: bool,
    /// When a list of VMs first came from a later era of the platform than the one before.
    restored_at: Option<Instant>,
    drains: DrainList,
    drains_hash: u64,
    config_hash: u32,
    snapshot: SnapshotCache,
    reports: ReportStore,
    fleet: FleetTable,
    links: BTreeMap<LinkId, Link>,
    dials: DialTable,
    uplinks: Vec<LinkId>,
    readers: Readers,
    join: Join,
    join_wait: Option<JoinWait>,
    is_serving: bool,
    pull_deadline: Option<Instant>,
    /// Time at which a newer list of VMs is requested, and from which neighbour.
    list_pull: Option<(Instant, LinkId)>,
    unsent_reports: BTreeSet<(DomainName, VmName)>,
    root_report: summary::RootReport,
    fleet_due: Instant,
    children_due: Instant,
    last_tick: Instant,
    /// Whether the periodic work has to run at once, because a joining node learned something that it
    /// waited for.
    is_tick_due: bool,
    outputs: Vec<Output>,
}

impl Replica {
    /// Returns the replica of a fresh process.
    #[must_use]
    pub fn new(
        identity: Identity,
        policy: ReplicaPolicy,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Self {
        let drains = DrainList::default();
        Self {
            readers: Readers::new(!identity.seeds.is_empty(), &policy, now, rng),
            root_report: summary::RootReport::new(identity.incarnation, now),
            identity,
            policy,
            fold: Fold::default(),
            highest: Sequence::ZERO,
            vms: Arc::default(),
            overlay: Overlay::default(),
            parents: Arc::default(),
            vms_missing: false,
            restored_at: None,
            drains_hash: drains_hash(&drains),
            config_hash: config_hash(&Config::default()),
            snapshot: SnapshotCache::default(),
            drains,
            reports: ReportStore::default(),
            fleet: FleetTable::default(),
            links: BTreeMap::new(),
            dials: DialTable::default(),
            uplinks: Vec::new(),
            join: Join::new(now),
            join_wait: Some(JoinWait::Alone),
            is_serving: false,
            pull_deadline: None,
            list_pull: None,
            unsent_reports: BTreeSet::new(),
            fleet_due: now,
            children_due: now + Duration::from_secs(2),
            last_tick: now,
            is_tick_due: false,
            outputs: Vec::new(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        self.fold.config()
    }

    /// Returns the folded release notes.
    #[must_use]
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the newest known list of VMs.
    #[must_use]
    pub fn vms(&self) -> &Arc<VmList> {
        &self.vms
    }

    /// Returns when this node learned that the platform was restored from an older copy.
    #[must_use]
    pub fn restored_at(&self) -> Option<Instant> {
        self.restored_at
    }

    /// Returns the drain orders.
    #[must_use]
    pub fn drains(&self) -> &DrainList {
        &self.drains
    }

    /// Returns the highest known sequence, whether or not its note is in force here.
    #[must_use]
    pub fn highest_sequence(&self) -> Sequence {
        self.highest
    }

    /// Returns whether the node accepts requests.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Returns the reason why the node does not accept requests yet.
    #[must_use]
    pub fn join_wait(&self) -> Option<JoinWait> {
        self.join_wait.filter(|_| !self.is_serving)
    }

    /// Returns the count of nodes by sequence in force, for each failure domain.
    #[must_use]
    pub fn fleet(&self) -> FleetSummary {
        self.fleet.summary()
    }

    /// Returns the number of potential readers of the platform.
    #[must_use]
    pub fn potential_readers(&self) -> usize {
        if !self.policy.relay {
            return self.overlay.len();
        }
        let domains = self.overlay.domains();
        domains
            .map(|(_, nodes)| nodes.len().min(platform::MAX_READERS))
            .sum()
    }

    /// Returns the VMs of all neighbours whose hello has arrived.
    #[must_use]
    pub fn neighbours(&self) -> Vec<VmName> {
        let peers = self.links.values().filter_map(|link| link.peer.as_ref());
        peers.map(|peer| peer.vm.clone()).collect()
    }

    /// Takes the pending actions for the embedder, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Applies a value that was read from the platform.
    pub fn apply_platform_value(&mut self, value: PlatformValue, now: Instant) {
        match value {
            PlatformValue::Base(config) => self.install_config(config, None, now),
            PlatformValue::Note(sequence, text) => {
                let events = self.fold.insert(sequence, text);
                self.handle_fold_events(events, None, now);
            }
            PlatformValue::Vms(list) => self.install_vms(&Arc::new(list), None, now),
            PlatformValue::NoVms => self.vms_missing = true,
            PlatformValue::Drains(orders) => self.merge_orders(&orders, &Origin::Platform, None),
        }
    }

    /// Applies a drain order of an operator and forwards it to all neighbours.
    pub fn apply_drain_order(&mut self, order: &DrainOrder) {
        self.merge_orders(std::slice::from_ref(order), &Origin::Operator, None);
    }

    /// Sends a report to all nodes.
    pub fn broadcast_report(&mut self, report: &SoftReport, now: Instant) {
        self.merge_reports(std::slice::from_ref(report), None, now);
    }

    /// Runs the periodic work: sends due messages, closes timed-out links and opens missing ones.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) {
        self.is_tick_due = false;
        self.detect_pause(now);
        self.close_timed_out_links(now, rng);
        self.plan_links(now, rng);
        self.plan_platform(now);
        self.try_join(now);
        self.send_digests(now, rng);
        self.send_pulls(now);
        self.send_list_pull(now);
        self.send_fleet(now);
        self.reports.expire(now);
        self.fleet.expire(now);
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.emit(ReplicaEvent::Paused(gap));
        let ids: Vec<_> = self.links.keys().copied().collect();
        for id in ids {
            if let Some(link) = self.links.get_mut(&id) {
                link.last_received = now;
            }
            self.send_hello(id, now);
        }
    }

    fn install_config(&mut self, config: Config, from: Option<LinkId>, now: Instant) {
        match self.fold.install(config) {
            Ok(events) => self.handle_fold_events(events, from, now),
            Err(err) => {
                let vm = from.and_then(|id| self.peer_vm(id));
                let vm = vm.unwrap_or_else(|| VmName::from("platform"));
                let reason = err.to_string().into();
                self.emit(ReplicaEvent::SnapshotRefused(vm, reason));
            }
        }
    }

    fn handle_fold_events(&mut self, events: Vec<FoldEvent>, from: Option<LinkId>, now: Instant) {
        if events.is_empty() {
            return;
        }
        self.is_tick_due |= !self.is_serving;
        let origin = self.origin_of(from);
        for event in events {
            self.emit(ReplicaEvent::Fold(event, origin.clone()));
        }
        self.raise_highest(self.fold.sequence(), now);
        self.propagate_notes(from, now);
        self.config_hash = config_hash(self.fold.config());
    }

    fn raise_highest(&mut self, sequence: Sequence, now: Instant) {
        if sequence <= self.highest {
            return;
        }
        self.highest = sequence;
        for link in self.links.values_mut() {
            if let Some(peer) = &mut link.peer {
                peer.update_lag(sequence, now);
            }
        }
    }

    fn install_vms(&mut self, list: &Arc<VmList>, from: Option<LinkId>, now: Instant) {
        if list.number <= self.vms.number && !self.overlay.is_empty() {
            return;
        }
        if self.vms.number > 0 && list.era() > self.vms.era() {
            self.restored_at = Some(now);
        }
        self.is_tick_due |= self.overlay.is_empty();
        self.vms = Arc::clone(list);
        self.overlay = Overlay::new(list);
        self.parents = self
            .overlay
            .parents(&self.identity.domain, &self.identity.vm);
        self.vms_missing = false;
        let used: BTreeSet<_> = list.vms.iter().map(|entry| entry.address).collect();
        self.dials.retain(|address| used.contains(&address));
        let origin = self.origin_of(from);
        self.emit(ReplicaEvent::Vms(Arc::clone(list), origin));
        self.propagate_vms(from, now);
    }

    fn merge_orders(&mut self, orders: &[DrainOrder], origin: &Origin, from: Option<LinkId>) {
        let changed: Vec<_> = orders
            .iter()
            .filter(|order| self.drains.merge(order))
            .cloned()
            .collect();
        if changed.is_empty() {
            return;
        }
        self.drains_hash = drains_hash(&self.drains);
        for order in &changed {
            self.emit(ReplicaEvent::OrderApplied(order.clone(), origin.clone()));
        }
        self.send_to_others(from, &Message::Drains(changed));
    }

    fn merge_reports(&mut self, reports: &[SoftReport], from: Option<LinkId>, now: Instant) {
        let fresh: Vec<_> = reports
            .iter()
            .filter(|report| self.reports.insert(report, now))
            .cloned()
            .collect();
        if fresh.is_empty() {
            return;
        }
        for report in &fresh {
            self.emit(ReplicaEvent::Report(report.clone()));
        }
        self.send_to_others(from, &Message::Reports(fresh));
    }

    fn versions(&self) -> Versions {
        Versions {
            sequence: self.fold.sequence(),
            highest: self.highest,
            vms: self.vms.number,
            drains: self.drains_hash,
        }
    }

    fn peer_vm(&self, id: LinkId) -> Option<VmName> {
        let link = self.links.get(&id)?;
        link.peer.as_ref().map(|peer| peer.vm.clone())
    }

    /// Returns the origin of a value that came in on a link, or from the platform without one.
    fn origin_of(&self, from: Option<LinkId>) -> Origin {
        let vm = from.and_then(|id| self.peer_vm(id));
        vm.map_or(Origin::Platform, Origin::Neighbour)
    }

    fn emit(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }

    fn send(&mut self, id: LinkId, message: Message) {
        self.outputs.push(Output::Send(id, message));
    }

    fn send_to_others(&mut self, from: Option<LinkId>, message: &Message) {
        let greeted = self.links.iter().filter(|(_, link)| link.peer.is_some());
        let ids: Vec<_> = greeted.map(|(id, _)| *id).collect();
        for id in ids.into_iter().filter(|id| Some(*id) != from) {
            self.send(id, message.clone());
        }
    }
}

/// Returns the high 32 bits of the digest of a configuration, which neighbours compare.
fn config_hash(config: &Config) -> u32 {
    (config.digest() >> 32) as u32
}

/// Returns a hash of all drain orders; 0 stands for none, as it takes a single byte in a message.
fn drains_hash(drains: &DrainList) -> u64 {
    let orders: Vec<_> = drains.iter().collect();
    if orders.is_empty() {
        return 0;
    }
    xxh3_64(format!("{orders:?}").as_bytes())
}
