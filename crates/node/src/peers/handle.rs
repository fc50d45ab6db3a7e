//! Handle by which other services use the peers.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use wagtaillever_coordination::{
    DrainList, DrainOrder, FleetSummary, JoinRule, JoinWait, PlatformMode, PlatformValue, Sequence,
    SoftReport, Verdict, VmName,
};

use super::core::Input;

/// Reports that a slow subscriber may be behind.
const MAX_REPORTS: usize = 1024;

/// Handle by which other services use the peers; safe to use from all threads.
#[derive(Clone)]
pub(crate) struct PeersHandle {
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<Arc<PeersStatus>>>,
    reports: broadcast::Sender<SoftReport>,
    mode: Arc<watch::Sender<PlatformMode>>,
    joined: Arc<watch::Sender<Option<JoinRule>>>,
}

/// State of the exchange with other nodes.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct PeersStatus {
    /// What part of each failure domain has which sequence in force.
    pub(crate) fleet: FleetSummary,
    /// VMs to which links are up.
    pub(crate) neighbours: Vec<VmName>,
    /// Highest sequence that this node has heard of.
    pub(crate) highest: Sequence,
    /// Time in milliseconds since any reader in reach heard the platform.
    pub(crate) platform_age_ms: Option<u64>,
    /// Whether this node reads the platform.
    pub(crate) is_relay: bool,
    /// Rule by which the node began to take work.
    pub(crate) joined: Option<JoinRule>,
    /// Why the node does not take work yet.
    pub(crate) waiting: Option<JoinWait>,
    /// Newest refused notes with their reasons, the newest first.
    pub(crate) refused: Vec<(Sequence, Arc<str>)>,
}

/// What the reader of the platform has to know.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformState {
    /// Sequence in force.
    pub(crate) have: Sequence,
    /// Sequence that is missing while later notes wait for it.
    pub(crate) gap: Option<Sequence>,
    /// Count of the nodes that may read the platform.
    pub(crate) readers: usize,
}

impl PeersHandle {
    /// Returns a handle that feeds inputs to the replica.
    pub(super) fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self {
            inputs,
            status: Arc::default(),
            reports: broadcast::channel(MAX_REPORTS).0,
            mode: Arc::new(watch::channel(PlatformMode::Off).0),
            joined: Arc::new(watch::channel(None).0),
        }
    }

    /// Returns the state of the exchange with other nodes.
    pub(crate) fn status(&self) -> Arc<PeersStatus> {
        Arc::clone(&self.status.lock())
    }

    /// Takes in an order of an operator and returns the orders in force.
    pub(crate) async fn apply_order(&self, order: DrainOrder) -> DrainList {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Order(order, reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Returns the verdict on a note, if it is still known.
    pub(crate) async fn verdict(&self, sequence: Sequence) -> Option<Verdict> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Verdict(sequence, reply)).await;
        answer.await.ok().flatten()
    }

    /// Tells all nodes of an observation, which they keep for a while.
    pub(crate) fn broadcast_report(&self, report: SoftReport) {
        let _ = self.inputs.try_send(Input::Share(report));
    }

    /// Returns a receiver of all observations that are new to this node, its own too.
    pub(crate) fn reports(&self) -> broadcast::Receiver<SoftReport> {
        self.reports.subscribe()
    }

    /// Returns a receiver of how the node is to read the platform.
    pub(crate) fn mode(&self) -> watch::Receiver<PlatformMode> {
        self.mode.subscribe()
    }

    /// Waits until the node may take work.
    pub(crate) async fn wait_until_joined(&self) -> Option<JoinRule> {
        let mut joined = self.joined.subscribe();
        let rule = joined.wait_for(Option::is_some).await;
        rule.ok().and_then(|rule| *rule)
    }

    /// Passes values of the platform in and returns what is missing then.
    pub(crate) async fn apply_platform_values(&self, values: Vec<PlatformValue>) -> PlatformState {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Platform(values, reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Notes that the platform answered and all that it holds was passed in.
    pub(crate) async fn record_platform_answer(&self) {
        let _ = self.inputs.send(Input::PlatformAnswered).await;
    }

    pub(super) fn set_status(&self, status: PeersStatus) {
        *self.status.lock() = Arc::new(status);
    }

    pub(super) fn set_mode(&self, mode: PlatformMode) {
        self.mode.send_replace(mode);
    }

    pub(super) fn set_joined(&self, rule: JoinRule) {
        self.joined.send_replace(Some(rule));
    }

    pub(super) fn tell(&self, report: SoftReport) {
        let _ = self.reports.send(report);
    }
}
