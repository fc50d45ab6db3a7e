//! Handle by which other services use the peers service.

use std::{sync::Arc, time::Instant};

use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use wagtaillever_coordination::{
    DrainList, DrainOrder, FleetSummary, JoinRule, JoinWait, PlatformMode, PlatformValue, Sequence,
    SoftReport, Verdict, VmName,
};

use super::core::Input;

/// Maximum number of reports buffered for a slow subscriber.
const MAX_BUFFERED_REPORTS: usize = 1024;

/// Handle by which other services use the peers service; safe to use from all threads.
#[derive(Clone)]
pub(crate) struct PeersHandle {
    inputs: mpsc::Sender<Input>,
    status: Arc<Mutex<Arc<PeersStatus>>>,
    reports: broadcast::Sender<SoftReport>,
    mode: Arc<watch::Sender<PlatformMode>>,
    join_rule: Arc<watch::Sender<Option<JoinRule>>>,
}

/// Status of the exchange with other nodes.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct PeersStatus {
    /// Sequences in force on the nodes of each failure domain.
    pub(crate) fleet: FleetSummary,
    /// VMs to which a link is open.
    pub(crate) neighbours: Vec<VmName>,
    /// Highest sequence that this node knows of.
    pub(crate) highest: Sequence,
    /// Time in milliseconds since the platform last answered a reachable reader.
    pub(crate) platform_age_ms: Option<u64>,
    /// When this node learned that the platform was restored from an older copy.
    #[serde(skip)]
    pub(crate) restored_at: Option<Instant>,
    /// Whether this node reads the platform.
    pub(crate) is_relay: bool,
    /// Rule by which the node started to accept requests.
    pub(crate) joined: Option<JoinRule>,
    /// Why the node does not accept requests yet.
    pub(crate) waiting: Option<JoinWait>,
    /// Recently refused notes with their reasons, newest first.
    pub(crate) refused: Vec<(Sequence, Arc<str>)>,
}

/// State of the replica that a reader of the platform depends on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReaderState {
    /// Sequence in force.
    pub(crate) sequence: Sequence,
    /// Sequence of a missing note for which later notes wait.
    pub(crate) gap: Option<Sequence>,
    /// Number of nodes that may read the platform.
    pub(crate) readers: usize,
}

impl PeersHandle {
    /// Returns a handle that feeds inputs to the replica.
    pub(super) fn new(inputs: mpsc::Sender<Input>) -> Self {
        Self {
            inputs,
            status: Arc::default(),
            reports: broadcast::channel(MAX_BUFFERED_REPORTS).0,
            mode: Arc::new(watch::channel(PlatformMode::Off).0),
            join_rule: Arc::new(watch::channel(None).0),
        }
    }

    /// Returns a handle without a replica, to which the platform has never answered.
    #[cfg(test)]
    pub(crate) fn detached() -> Self {
        Self::new(mpsc::channel(1).0)
    }

    /// Returns the status of the exchange with other nodes.
    pub(crate) fn status(&self) -> Arc<PeersStatus> {
        Arc::clone(&self.status.lock())
    }

    /// Applies a drain order from an operator and returns the orders in force.
    pub(crate) async fn apply_order(&self, order: DrainOrder) -> DrainList {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::DrainOrder(order, reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Returns the verdict on a note, if the history still holds it.
    pub(crate) async fn verdict(&self, sequence: Sequence) -> Option<Verdict> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::Verdict(sequence, reply)).await;
        answer.await.ok().flatten()
    }

    /// Sends a report to all nodes, which keep it for a limited time.
    pub(crate) fn broadcast_report(&self, report: SoftReport) {
        let _ = self.inputs.try_send(Input::Report(report));
    }

    /// Returns a receiver of all reports that are new to this node, including its own.
    pub(crate) fn reports(&self) -> broadcast::Receiver<SoftReport> {
        self.reports.subscribe()
    }

    /// Returns a receiver of the mode in which the node reads the platform.
    pub(crate) fn mode(&self) -> watch::Receiver<PlatformMode> {
        self.mode.subscribe()
    }

    /// Waits until the node may accept requests.
    pub(crate) async fn wait_until_joined(&self) -> Option<JoinRule> {
        let mut join_rule = self.join_rule.subscribe();
        let rule = join_rule.wait_for(Option::is_some).await;
        rule.ok().and_then(|rule| *rule)
    }

    /// Applies values read from the platform and returns the resulting state.
    pub(crate) async fn apply_platform_values(&self, values: Vec<PlatformValue>) -> ReaderState {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(Input::PlatformValues(values, reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Records that the platform answered and that all values it holds were applied.
    pub(crate) async fn record_platform_answer(&self) {
        let _ = self.inputs.send(Input::PlatformAnswered).await;
    }

    /// Records that the platform answered a probe.
    pub(crate) async fn record_platform_probe(&self) {
        let _ = self.inputs.send(Input::PlatformProbed).await;
    }

    pub(super) fn set_status(&self, status: PeersStatus) {
        *self.status.lock() = Arc::new(status);
    }

    pub(super) fn set_mode(&self, mode: PlatformMode) {
        self.mode.send_replace(mode);
    }

    pub(super) fn set_join_rule(&self, rule: JoinRule) {
        self.join_rule.send_replace(Some(rule));
    }

    pub(super) fn publish_report(&self, report: SoftReport) {
        let _ = self.reports.send(report);
    }
}
