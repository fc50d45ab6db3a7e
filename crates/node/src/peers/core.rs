//! Event loop that passes inputs to the replica and carries out its outputs.

use std::{
    cell::Cell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{debug, info, warn};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use wagtaillever_coordination::{
    Config, DrainList, DrainOrder, FoldEvent, Identity, JoinRule, LinkId, Message, Origin, Output,
    PlatformMode, PlatformValue, Replica, ReplicaEvent, ReplicaPolicy, Sequence, SoftReport,
    Verdict,
};

use super::{
    handle::{PeersHandle, PeersStatus, ReaderState},
    link::{LinkContext, LinkSender, dial},
};
use crate::{
    invariant::check_invariant,
    kernel::Context,
    mutant::{self, Mutant},
    stall::StallHandle,
    timeline::{EventKind, Timeline},
    view::ViewCell,
};

/// Interval between updates of the status.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of refused notes in the status.
const MAX_REFUSED_NOTES: usize = 16;

/// Input of the event loop.
pub(super) enum Input {
    /// A link was opened, by this node if the address is given.
    LinkUp(LinkId, Option<SocketAddr>, LinkSender),
    /// A link closed.
    LinkDown(LinkId),
    /// A link to an address could not be opened.
    DialFailed(SocketAddr),
    /// A message from a neighbour.
    Message(LinkId, Message),
    /// Values read from the platform; the resulting state is sent back.
    PlatformValues(Vec<PlatformValue>, oneshot::Sender<ReaderState>),
    /// The platform answered, and all values it holds were passed to the replica.
    PlatformAnswered,
    /// The platform answered a probe.
    PlatformProbed,
    /// A drain order from an operator; the orders in force are sent back.
    DrainOrder(DrainOrder, oneshot::Sender<DrainList>),
    /// A query for the verdict on a note.
    Verdict(Sequence, oneshot::Sender<Option<Verdict>>),
    /// A report to send to all nodes.
    Report(SoftReport),
}

/// Replica with the links and handles that its event loop uses.
pub(super) struct Core {
    replica: Replica,
    rng: SmallRng,
    links: BTreeMap<LinkId, LinkSender>,
    link_context: LinkContext,
    inputs: mpsc::Sender<Input>,
    handle: PeersHandle,
    view: ViewCell,
    timeline: Timeline,
    stall: Option<StallHandle>,
    join_rule: Option<JoinRule>,
    refused_notes: VecDeque<(Sequence, Arc<str>)>,
    next_status: Instant,
}

impl Core {
    /// Returns the event loop of a newly started node.
    pub(super) fn new(context: &Context, handle: PeersHandle, inputs: mpsc::Sender<Input>) -> Self {
        let settings = context.settings();
        let identity = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation: context.incarnation(),
            seeds: settings.seeds.clone(),
        };
        let policy = ReplicaPolicy {
            relay: settings.policies.relay,
            delta: settings.policies.delta,
            digest: settings.policies.digest,
            consistent_reads: settings.protocol.has_consistent_reads(),
            timing: settings.limits.timing(),
        };
        let mut rng = SmallRng::from_os_rng();
        let link_context = LinkContext {
            local_ip: settings.address,
            clock: context.timeline().clock().clone(),
            next_link: Rc::new(Cell::new(0)),
        };
        Self {
            replica: Replica::new(identity, policy, Instant::now(), &mut rng),
            rng,
            links: BTreeMap::new(),
            link_context,
            inputs,
            handle,
            view: context.view().clone(),
            timeline: context.timeline().clone(),
            stall: context.registry().find("stall").ok(),
            join_rule: None,
            refused_notes: VecDeque::new(),
            next_status: Instant::now(),
        }
    }

    /// Returns the state shared by all links.
    pub(super) fn link_context(&self) -> LinkContext {
        self.link_context.clone()
    }

    /// Runs until the token is cancelled or all senders of inputs are dropped.
    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>, token: CancellationToken) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            tokio::select! {
                () = token.cancelled() => return,
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.handle_input(input);
                }
                () = sleep(wait) => {}
            }
            let now = Instant::now();
            if now >= next_tick {
                self.replica.tick(now, &mut self.rng);
                next_tick = now + self.replica.next_tick_delay(now);
                if now >= self.next_status {
                    self.next_status = now + STATUS_INTERVAL;
                    self.publish_status(now);
                }
            } else {
                next_tick = next_tick.min(now + self.replica.next_tick_delay(now));
            }
            self.process_outputs();
        }
    }

    fn handle_input(&mut self, input: Input) {
        if let Some(stall) = self.stall.as_ref().filter(|_| is_state_update(&input)) {
            stall.record_contact();
        }
        let now = Instant::now();
        let replica = &mut self.replica;
        match input {
            Input::LinkUp(id, address, sender) => {
                self.links.insert(id, sender);
                replica.handle_link_up(id, address, now);
            }
            Input::LinkDown(id) => {
                self.links.remove(&id);
                replica.handle_link_down(id, now, &mut self.rng);
            }
            Input::DialFailed(address) => replica.handle_dial_failure(address, now, &mut self.rng),
            Input::Message(id, message) => replica.receive(id, message, now, &mut self.rng),
            Input::PlatformValues(values, reply) => {
                for value in values {
                    replica.apply_platform_value(value, now);
                }
                let _ = reply.send(reader_state(replica));
            }
            Input::PlatformAnswered => replica.record_platform_answer(now),
            Input::PlatformProbed => replica.record_platform_probe(now),
            Input::DrainOrder(order, reply) => {
                replica.apply_drain_order(&order);
                let _ = reply.send(replica.drains().clone());
            }
            Input::Verdict(sequence, reply) => {
                let verdict = replica.fold().history().verdict(sequence).cloned();
                let _ = reply.send(verdict);
            }
            Input::Report(report) => replica.broadcast_report(&report, now),
        }
    }

    fn process_outputs(&mut self) {
        for output in self.replica.take_outputs() {
            match output {
                Output::Send(id, message) => {
                    if let Some(link) = self.links.get(&id) {
                        link.send(message);
                    }
                }
                Output::Dial(address) => {
                    let context = self.link_context.clone();
                    actix_rt::spawn(dial(context, self.inputs.clone(), address));
                }
                Output::Close(id) => drop(self.links.remove(&id)),
                Output::Event(event) => self.handle_event(event),
            }
        }
    }

    fn handle_event(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Fold(event, origin) => self.handle_fold_event(event, &origin),
            ReplicaEvent::Vms(list, origin) => {
                info!(list = list.number, vms = list.vms.len(), from:% = origin, contact_ms = self.contact_ms(); "installed a list of VMs");
                self.view.set_vms(list);
                if self.replica.restored_at() != self.handle.status().restored_at {
                    // A reader that takes over has to know of the restoration at once.
                    self.publish_status(Instant::now());
                }
            }
            ReplicaEvent::OrderApplied(order, origin) => {
                self.view
                    .set_drains(Arc::new(self.replica.drains().clone()));
                info!(order = order.number, scope:? = order.scope, action:? = order.action, from:% = origin, contact_ms = self.contact_ms(); "applied a drain order");
                self.timeline.record(EventKind::OrderApplied { order });
            }
            ReplicaEvent::Report(report) => self.handle.publish_report(report),
            ReplicaEvent::LinkUp(peer) => self.timeline.record(EventKind::LinkUp { peer }),
            ReplicaEvent::LinkDown(peer) => {
                self.timeline.record(EventKind::LinkDown { peer });
            }
            ReplicaEvent::Unreachable(vm) => debug!("VM {vm} is unreachable"),
            ReplicaEvent::PlatformMode(mode) => self.set_platform_mode(mode),
            ReplicaEvent::PlatformLost => {
                warn!(contact_ms = self.contact_ms(), neighbours = self.links.len(); "the platform no longer answers any reachable node");
                self.timeline.record(EventKind::PlatformLost);
            }
            ReplicaEvent::PlatformFound => {
                info!("the platform answers a reachable node again");
                self.timeline.record(EventKind::PlatformFound);
            }
            ReplicaEvent::Joined(rule) => self.record_join(rule),
            ReplicaEvent::Paused(gap) => {
                warn!("this process was paused for {gap:?}; sending a hello to all neighbours");
            }
            ReplicaEvent::SnapshotRefused(peer, reason) => {
                warn!(peer = peer.as_str(); "snapshot refused: {reason}");
                let event = EventKind::SnapshotRefused { peer, reason };
                self.timeline.record(event);
            }
            ReplicaEvent::SplitVerdict(peer) => {
                warn!(peer = peer.as_str(); "a neighbour has a different configuration at the same sequence");
                metrics::counter!("invariant_broken_total", "name" => "split_verdict").increment(1);
            }
        }
    }

    /// Returns the time in milliseconds since the platform last answered a reachable reader.
    fn contact_ms(&self) -> Option<u64> {
        let age = self.replica.platform_age(Instant::now())?;
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }

    fn handle_fold_event(&mut self, event: FoldEvent, origin: &Origin) {
        if let FoldEvent::Refused(note, reason) = &event {
            self.refused_notes.push_front((*note, Arc::clone(reason)));
            self.refused_notes.truncate(MAX_REFUSED_NOTES);
            self.publish_status(Instant::now());
        }
        let old = Arc::clone(&self.view.load().config);
        let config = self.config_after(&event);
        if let FoldEvent::Refused(note, _) = &event {
            check_invariant("note_in_part", is_unchanged(&old, &config, *note));
        }
        self.view.set_config(config);
        let event = match event {
            FoldEvent::Accepted(note) => EventKind::NoteAccepted { note },
            FoldEvent::Installed(note) => EventKind::SnapshotInstalled { note },
            FoldEvent::Refused(note, reason) => EventKind::NoteRefused { note, reason },
        };
        info!(note = self.replica.config().sequence.0, from:% = origin, contact_ms = self.contact_ms(); "configuration changed");
        self.timeline.record(event);
    }

    /// Returns the configuration to put in force after an event, as altered by injected faults.
    fn config_after(&self, event: &FoldEvent) -> Arc<Config> {
        let config = Arc::clone(self.replica.config());
        match event {
            FoldEvent::Accepted(_) if mutant::is_enabled(Mutant::GoBack) => Arc::default(),
            FoldEvent::Accepted(_) if mutant::is_enabled(Mutant::DropNotes) => {
                Arc::clone(&self.view.load().config)
            }
            FoldEvent::Refused(note, _) if mutant::is_enabled(Mutant::PartialNote) => {
                self.partial_config(*note).map_or(config, Arc::new)
            }
            _ => config,
        }
    }

    /// Returns the configuration in force with only the first change of a refused note applied.
    fn partial_config(&self, note: Sequence) -> Option<Config> {
        let history = self.replica.fold().history();
        let notes = history.since(Sequence(note.0 - 1))?;
        let text = String::from_utf8_lossy(&notes.first()?.1).into_owned();
        let start: Vec<&str> = text.lines().take(2).collect();
        let config = &self.view.load().config;
        config.apply_text(note, start.join("\n").as_bytes()).ok()
    }

    fn set_platform_mode(&mut self, mode: PlatformMode) {
        let old = *self.handle.mode().borrow();
        let was_relay = old == PlatformMode::Watch;
        let position = self.replica.reader_position();
        info!(mode = mode.name(), old = old.name(), position, contact_ms = self.contact_ms(), neighbours = self.links.len(); "changed how this node reads the platform");
        metrics::counter!("platform_mode_changes_total", "mode" => mode.name()).increment(1);
        self.handle.set_mode(mode);
        let is_relay = mode == PlatformMode::Watch;
        if is_relay && !was_relay {
            self.timeline.record(EventKind::RelayStarted);
        }
        if was_relay && !is_relay {
            self.timeline.record(EventKind::RelayStopped);
        }
    }

    fn record_join(&mut self, rule: JoinRule) {
        info!("the node accepts requests; join rule: {rule:?}");
        self.join_rule = Some(rule);
        self.timeline.record(EventKind::Joined { rule });
        self.handle.set_join_rule(rule);
    }

    fn publish_status(&mut self, now: Instant) {
        let replica = &self.replica;
        let age = replica.platform_age(now);
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("note_sequence").set(replica.config().sequence.0 as f64);
        #[allow(clippy::cast_precision_loss)]
        metrics::gauge!("control_links").set(self.links.len() as f64);
        if let Some(age) = age {
            metrics::gauge!("platform_age_seconds").set(age.as_secs_f64());
        }
        self.handle.set_status(PeersStatus {
            fleet: replica.fleet(),
            neighbours: replica.neighbours(),
            highest: replica.highest_sequence(),
            platform_age_ms: self.contact_ms(),
            restored_at: replica.restored_at(),
            is_relay: replica.platform_mode() == PlatformMode::Watch,
            joined: self.join_rule,
            waiting: replica.join_wait(),
            refused: self.refused_notes.iter().cloned().collect(),
        });
    }
}

/// Returns whether an input carries the current state of another node or of the platform, which a
/// paused process needs before it accepts requests again.
fn is_state_update(input: &Input) -> bool {
    match input {
        Input::Message(_, message) => matches!(message, Message::Hello(_) | Message::Digest(_)),
        Input::PlatformAnswered | Input::PlatformProbed => true,
        _ => false,
    }
}

fn reader_state(replica: &Replica) -> ReaderState {
    ReaderState {
        sequence: replica.config().sequence,
        gap: replica.fold().gap(),
        readers: replica.potential_readers(),
    }
}

/// Returns whether a refused note left the configuration unchanged. Also returns true if other
/// notes were folded along with it, because their changes can't be told apart.
fn is_unchanged(old: &Config, new: &Config, note: Sequence) -> bool {
    let is_single = old.sequence.next() == note && new.sequence == note;
    let expected = || Config {
        sequence: note,
        ..Config::clone(old)
    };
    !is_single || expected() == *new
}
