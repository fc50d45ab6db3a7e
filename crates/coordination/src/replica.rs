//! Replica of the configuration on one node: what to tell which neighbour, whom
//! to link to, whether to read the platform and when to take work.

mod dial;
mod input;
mod joining;
mod link;
mod output;
mod plan;
mod platform;
mod receive;
mod snapshot;
mod spread;
mod summary;

pub use self::{
    input::{Identity, PlatformValue, ReplicaPolicy},
    output::{LinkId, Output, PlatformMode, ReplicaEvent},
};

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::{dial::Dials, link::Link, platform::Readers, snapshot::SnapshotText};
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

/// Gap between two ticks that shows a pause of the process.
const PAUSE_GAP: Duration = Duration::from_millis(1_500);

/// State of one node; performs no I/O itself.
///
/// Each input returns nothing; what is to be done is taken with
/// [`Replica::take_outputs`].
#[derive(Clone, Debug)]
pub struct Replica {
    me: Identity,
    policy: ReplicaPolicy,
    fold: Fold,
    highest: Sequence,
    vms: Arc<VmList>,
    overlay: Overlay,
    /// Nodes that this one takes as parent, the best one first.
    parents: Arc<[Arc<VmEntry>]>,
    is_unlisted: bool,
    drains: DrainList,
    drains_hash: u64,
    config_hash: u32,
    snapshot: SnapshotText,
    reports: ReportStore,
    fleet: FleetTable,
    links: BTreeMap<LinkId, Link>,
    dials: Dials,
    uplinks: Vec<LinkId>,
    readers: Readers,
    join: Join,
    wait: Option<JoinWait>,
    is_serving: bool,
    pulling_until: Option<Instant>,
    dirty_fleet: BTreeSet<(DomainName, VmName)>,
    own_report: summary::OwnReport,
    fleet_due: Instant,
    children_due: Instant,
    ticked: Instant,
    outputs: Vec<Output>,
}

impl Replica {
    /// Returns the replica of a fresh process.
    #[must_use]
    pub fn new(me: Identity, policy: ReplicaPolicy, now: Instant, rng: &mut impl Rng) -> Self {
        let drains = DrainList::default();
        Self {
            readers: Readers::new(!me.seeds.is_empty(), policy.consistent_reads, now, rng),
            own_report: summary::OwnReport::new(me.incarnation, now),
            me,
            policy,
            fold: Fold::default(),
            highest: Sequence::ZERO,
            vms: Arc::default(),
            overlay: Overlay::default(),
            parents: Arc::default(),
            is_unlisted: false,
            drains_hash: drains_hash(&drains),
            config_hash: config_hash(&Config::default()),
            snapshot: SnapshotText::default(),
            drains,
            reports: ReportStore::default(),
            fleet: FleetTable::default(),
            links: BTreeMap::new(),
            dials: Dials::default(),
            uplinks: Vec::new(),
            join: Join::new(now),
            wait: Some(JoinWait::Alone),
            is_serving: false,
            pulling_until: None,
            dirty_fleet: BTreeSet::new(),
            fleet_due: now,
            children_due: now + Duration::from_secs(2),
            ticked: now,
            outputs: Vec::new(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        self.fold.config()
    }

    /// Returns the fold of release notes.
    #[must_use]
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the newest list of VMs.
    #[must_use]
    pub fn vms(&self) -> &Arc<VmList> {
        &self.vms
    }

    /// Returns the drain orders.
    #[must_use]
    pub fn drains(&self) -> &DrainList {
        &self.drains
    }

    /// Returns the highest sequence that this node has heard of.
    #[must_use]
    pub fn highest_sequence(&self) -> Sequence {
        self.highest
    }

    /// Returns whether the node takes work.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Returns why the node does not take work yet.
    #[must_use]
    pub fn join_wait(&self) -> Option<JoinWait> {
        self.wait.filter(|_| !self.is_serving)
    }

    /// Returns what part of the fleet has which sequence in force.
    #[must_use]
    pub fn fleet(&self) -> FleetSummary {
        self.fleet.summary()
    }

    /// Returns the count of potential readers of the platform.
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

    /// Returns the VMs of all neighbours that have said hello.
    #[must_use]
    pub fn neighbours(&self) -> Vec<VmName> {
        let peers = self.links.values().filter_map(|link| link.peer.as_ref());
        peers.map(|peer| peer.vm.clone()).collect()
    }

    /// Takes what the embedder has to do, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes in a value of the platform.
    pub fn apply_platform_value(&mut self, value: PlatformValue, now: Instant) {
        match value {
            PlatformValue::Base(config) => self.install(config, None, now),
            PlatformValue::Note(sequence, text) => {
                let events = self.fold.offer(sequence, text);
                self.folded(events, None, now);
            }
            PlatformValue::Vms(list) => self.set_vms(&Arc::new(list), None, now),
            PlatformValue::NoVms => self.is_unlisted = true,
            PlatformValue::Drains(orders) => self.merge_orders(&orders, None, now),
        }
    }

    /// Takes in an order of an operator.
    pub fn apply_drain_order(&mut self, order: &DrainOrder, now: Instant) {
        self.merge_orders(std::slice::from_ref(order), None, now);
    }

    /// Tells all nodes of an observation.
    pub fn broadcast_report(&mut self, report: &SoftReport, now: Instant) {
        self.merge_reports(std::slice::from_ref(report), None, now);
    }

    /// Lets time pass: sends what is due, drops silent links and opens missing ones.
    pub fn tick(&mut self, now: Instant, rng: &mut impl Rng) {
        self.notice_pause(now);
        self.drop_silent(now, rng);
        self.plan_links(now, rng);
        self.plan_platform(now);
        self.try_join(now);
        self.send_digests(now, rng);
        self.send_pulls(now);
        self.send_fleet(now);
        self.reports.expire(now);
        self.fleet.expire(now);
    }

    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        if gap < PAUSE_GAP {
            return;
        }
        self.event(ReplicaEvent::Paused(gap));
        let ids: Vec<_> = self.links.keys().copied().collect();
        for id in ids {
            if let Some(link) = self.links.get_mut(&id) {
                link.heard = now;
            }
            self.send_hello(id, now);
        }
    }

    fn install(&mut self, config: Config, from: Option<LinkId>, now: Instant) {
        match self.fold.install(config) {
            Ok(events) => self.folded(events, from, now),
            Err(err) => {
                let vm = from.and_then(|id| self.peer_vm(id));
                let vm = vm.unwrap_or_else(|| VmName::from("platform"));
                let reason = err.to_string().into();
                self.event(ReplicaEvent::SnapshotRefused(vm, reason));
            }
        }
    }

    fn folded(&mut self, events: Vec<FoldEvent>, from: Option<LinkId>, now: Instant) {
        if events.is_empty() {
            return;
        }
        for event in events {
            self.event(ReplicaEvent::Fold(event));
        }
        self.raise_highest(self.fold.sequence(), now);
        self.spread_notes(from, now);
        self.config_hash = config_hash(self.fold.config());
    }

    fn raise_highest(&mut self, sequence: Sequence, now: Instant) {
        if sequence <= self.highest {
            return;
        }
        self.highest = sequence;
        for link in self.links.values_mut() {
            if let Some(peer) = &mut link.peer {
                peer.note_lag(sequence, now);
            }
        }
    }

    fn set_vms(&mut self, list: &Arc<VmList>, from: Option<LinkId>, now: Instant) {
        if list.number <= self.vms.number && !self.overlay.is_empty() {
            return;
        }
        self.vms = Arc::clone(list);
        self.overlay = Overlay::new(list);
        self.parents = self.overlay.parents(&self.me.domain, &self.me.vm);
        self.is_unlisted = false;
        let used: BTreeSet<_> = list.vms.iter().map(|entry| entry.address).collect();
        self.dials.retain(|address| used.contains(&address));
        self.event(ReplicaEvent::Vms(Arc::clone(list)));
        self.spread_vms(from, now);
    }

    fn merge_orders(&mut self, orders: &[DrainOrder], from: Option<LinkId>, _now: Instant) {
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
            self.event(ReplicaEvent::OrderApplied(order.clone()));
        }
        self.send_others(from, &Message::Drains(changed));
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
            self.event(ReplicaEvent::Report(report.clone()));
        }
        self.send_others(from, &Message::Reports(fresh));
    }

    fn have(&self) -> Versions {
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

    fn event(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }

    fn send(&mut self, id: LinkId, message: Message) {
        self.outputs.push(Output::Send(id, message));
    }

    fn send_others(&mut self, from: Option<LinkId>, message: &Message) {
        let known = self.links.iter().filter(|(_, link)| link.peer.is_some());
        let ids: Vec<_> = known.map(|(id, _)| *id).collect();
        for id in ids.into_iter().filter(|id| Some(*id) != from) {
            self.send(id, message.clone());
        }
    }
}

/// Returns the part of a configuration's digest that is compared between neighbours.
fn config_hash(config: &Config) -> u32 {
    (config.digest() >> 32) as u32
}

/// Returns 0 for no orders, which takes a single byte on a link.
fn drains_hash(drains: &DrainList) -> u64 {
    let orders: Vec<_> = drains.iter().collect();
    if orders.is_empty() {
        return 0;
    }
    xxh3_64(format!("{orders:?}").as_bytes())
}
