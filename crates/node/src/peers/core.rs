//! Loop that feeds the replica and does what it asks for.

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
    Config, DrainList, DrainOrder, FoldEvent, Identity, JoinRule, LinkId, Message, Output,
    PlatformMode, PlatformValue, Replica, ReplicaEvent, ReplicaPolicy, Sequence, SoftReport,
    Verdict,
};

use super::{
    handle::{PeersHandle, PeersStatus, PlatformState},
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

/// Time between two updates of the status.
const STATUS_EVERY: Duration = Duration::from_millis(500);
/// Refused notes that the status shows.
const MAX_REFUSED: usize = 16;

/// Something that the replica takes in.
pub(super) enum Input {
    /// A link came up.
    Up(LinkId, Option<SocketAddr>, LinkSender),
    /// A link ended.
    Down(LinkId),
    /// An address could not be reached.
    DialFailed(SocketAddr),
    /// A message of a neighbour.
    Message(LinkId, Message),
    /// Values of the platform.
    Platform(Vec<PlatformValue>, oneshot::Sender<PlatformState>),
    /// The platform answered, and all that it holds was passed in.
    PlatformAnswered,
    /// An order of an operator.
    Order(DrainOrder, oneshot::Sender<DrainList>),
    /// A question for the verdict on a note.
    Verdict(Sequence, oneshot::Sender<Option<Verdict>>),
    /// An observation for all nodes.
    Share(SoftReport),
}

/// The replica with all that it needs of the node.
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
    joined: Option<JoinRule>,
    refused: VecDeque<(Sequence, Arc<str>)>,
    status_due: Instant,
}

impl Core {
    /// Returns the loop of a fresh process.
    pub(super) fn new(context: &Context, handle: PeersHandle, inputs: mpsc::Sender<Input>) -> Self {
        let settings = context.settings();
        let me = Identity {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            incarnation: context.incarnation(),
            seeds: settings.seeds.clone(),
        };
        let policy = ReplicaPolicy {
            relay: settings.policies.relay,
            delta: settings.policies.delta,
            digest: settings.policies.digest,
            consistent_reads: settings.protocol.is_current(),
        };
        let mut rng = SmallRng::from_os_rng();
        let link_context = LinkContext {
            local: settings.address,
            clock: context.timeline().clock().clone(),
            next: Rc::new(Cell::new(0)),
        };
        Self {
            replica: Replica::new(me, policy, Instant::now(), &mut rng),
            rng,
            links: BTreeMap::new(),
            link_context,
            inputs,
            handle,
            view: context.view().clone(),
            timeline: context.timeline().clone(),
            stall: context.registry().find("stall").ok(),
            joined: None,
            refused: VecDeque::new(),
            status_due: Instant::now(),
        }
    }

    /// Returns what all links share.
    pub(super) fn link_context(&self) -> LinkContext {
        self.link_context.clone()
    }

    /// Runs until the node ends.
    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>, token: CancellationToken) {
        let mut due = Instant::now();
        loop {
            let wait = due.saturating_duration_since(Instant::now());
            tokio::select! {
                () = token.cancelled() => return,
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                }
                () = sleep(wait) => {}
            }
            let now = Instant::now();
            if now >= due {
                self.replica.tick(now, &mut self.rng);
                due = now + self.replica.next_tick_delay(now);
                if now >= self.status_due {
                    self.status_due = now + STATUS_EVERY;
                    self.show_status(now);
                }
            } else {
                due = due.min(now + self.replica.next_tick_delay(now));
            }
            self.act();
        }
    }

    fn take(&mut self, input: Input) {
        if let Some(stall) = self.stall.as_ref().filter(|_| is_word(&input)) {
            stall.record_contact();
        }
        let now = Instant::now();
        let replica = &mut self.replica;
        match input {
            Input::Up(id, address, sender) => {
                self.links.insert(id, sender);
                replica.handle_link_up(id, address, now);
            }
            Input::Down(id) => {
                self.links.remove(&id);
                replica.handle_link_down(id, now, &mut self.rng);
            }
            Input::DialFailed(address) => replica.handle_dial_failure(address, now, &mut self.rng),
            Input::Message(id, message) => replica.receive(id, message, now, &mut self.rng),
            Input::Platform(values, reply) => {
                for value in values {
                    replica.apply_platform_value(value, now);
                }
                let _ = reply.send(platform_state(replica));
            }
            Input::PlatformAnswered => replica.record_platform_answer(now),
            Input::Order(order, reply) => {
                replica.apply_drain_order(&order, now);
                let _ = reply.send(replica.drains().clone());
            }
            Input::Verdict(sequence, reply) => {
                let verdict = replica.fold().history().verdict(sequence).cloned();
                let _ = reply.send(verdict);
            }
            Input::Share(report) => replica.broadcast_report(&report, now),
        }
    }

    fn act(&mut self) {
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
                Output::Event(event) => self.tell(event),
            }
        }
    }

    fn tell(&mut self, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Fold(event) => self.tell_fold(event),
            ReplicaEvent::Vms(list) => {
                info!(list = list.number, vms = list.vms.len(); "list of VMs is in force");
                self.view.set_vms(list);
            }
            ReplicaEvent::OrderApplied(order) => {
                self.view
                    .set_drains(Arc::new(self.replica.drains().clone()));
                info!(order = order.number, scope:? = order.scope, action:? = order.action; "order is in force");
                self.timeline.record(EventKind::OrderApplied { order });
            }
            ReplicaEvent::Report(report) => self.handle.tell(report),
            ReplicaEvent::LinkUp(peer) => self.timeline.record(EventKind::LinkUp { peer }),
            ReplicaEvent::LinkDown(peer) => {
                self.timeline.record(EventKind::LinkDown { peer });
            }
            ReplicaEvent::Unreachable(vm) => debug!("VM {vm} can't be reached"),
            ReplicaEvent::PlatformMode(mode) => self.tell_mode(mode),
            ReplicaEvent::PlatformLost => {
                warn!("no node in reach hears the platform");
                self.timeline.record(EventKind::PlatformLost);
            }
            ReplicaEvent::PlatformFound => {
                info!("a node in reach hears the platform");
                self.timeline.record(EventKind::PlatformFound);
            }
            ReplicaEvent::Joined(rule) => self.tell_joined(rule),
            ReplicaEvent::Paused(gap) => {
                warn!("sending a hello to all neighbours again after a pause of {gap:?}");
            }
            ReplicaEvent::SnapshotRefused(peer, reason) => {
                warn!(peer = peer.as_str(); "snapshot refused: {reason}");
                let event = EventKind::SnapshotRefused { peer, reason };
                self.timeline.record(event);
            }
            ReplicaEvent::SplitVerdict(peer) => {
                warn!(peer = peer.as_str(); "configurations differ under one sequence");
                metrics::counter!("invariant_broken_total", "name" => "split_verdict").increment(1);
            }
        }
    }

    fn tell_fold(&mut self, event: FoldEvent) {
        if let FoldEvent::Refused(note, reason) = &event {
            self.refused.push_front((*note, Arc::clone(reason)));
            self.refused.truncate(MAX_REFUSED);
            self.show_status(Instant::now());
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
        info!(note = self.replica.config().sequence.0; "configuration changed");
        self.timeline.record(event);
    }

    /// Returns the configuration that comes into force by an event.
    fn config_after(&self, event: &FoldEvent) -> Arc<Config> {
        let config = Arc::clone(self.replica.config());
        match event {
            FoldEvent::Accepted(_) if mutant::is_enabled(Mutant::GoBack) => Arc::default(),
            FoldEvent::Accepted(_) if mutant::is_enabled(Mutant::DropNotes) => {
                Arc::clone(&self.view.load().config)
            }
            FoldEvent::Refused(note, _) if mutant::is_enabled(Mutant::PartialNote) => {
                self.applied_in_part(*note).map_or(config, Arc::new)
            }
            _ => config,
        }
    }

    /// Returns what the first change of a refused note makes of the configuration in force.
    fn applied_in_part(&self, note: Sequence) -> Option<Config> {
        let history = self.replica.fold().history();
        let notes = history.since(Sequence(note.0 - 1))?;
        let text = String::from_utf8_lossy(&notes.first()?.1).into_owned();
        let start: Vec<&str> = text.lines().take(2).collect();
        let config = &self.view.load().config;
        config.apply_text(note, start.join("\n").as_bytes()).ok()
    }

    fn tell_mode(&mut self, mode: PlatformMode) {
        let was_relay = *self.handle.mode().borrow() == PlatformMode::Watch;
        self.handle.set_mode(mode);
        let is_relay = mode == PlatformMode::Watch;
        if is_relay && !was_relay {
            self.timeline.record(EventKind::RelayStarted);
        }
        if was_relay && !is_relay {
            self.timeline.record(EventKind::RelayStopped);
        }
    }

    fn tell_joined(&mut self, rule: JoinRule) {
        info!("the node takes work by rule {rule:?}");
        self.joined = Some(rule);
        self.timeline.record(EventKind::Joined { rule });
        self.handle.set_joined(rule);
    }

    fn show_status(&mut self, now: Instant) {
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
            platform_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            is_relay: replica.platform_mode() == PlatformMode::Watch,
            joined: self.joined,
            waiting: replica.join_wait(),
            refused: self.refused.iter().cloned().collect(),
        });
    }
}

/// Returns whether an input shows how far others are, so that a pause of this process is made
/// up for.
fn is_word(input: &Input) -> bool {
    match input {
        Input::Message(_, message) => matches!(message, Message::Hello(_) | Message::Digest(_)),
        Input::PlatformAnswered => true,
        _ => false,
    }
}

fn platform_state(replica: &Replica) -> PlatformState {
    PlatformState {
        have: replica.config().sequence,
        gap: replica.fold().gap(),
        readers: replica.potential_readers(),
    }
}

/// Returns whether a refused note changed nothing; notes folded with it hide what it did.
fn is_unchanged(old: &Config, new: &Config, note: Sequence) -> bool {
    let is_alone = old.sequence.next() == note && new.sequence == note;
    let moved = || Config {
        sequence: note,
        ..Config::clone(old)
    };
    !is_alone || moved() == *new
}
