//! Actor on the main thread that handles requests of the admin interface's worker threads.

use actix::{Actor, Handler, Message, MessageResult, ResponseFuture};
use serde::Serialize;
use wagtaillever_coordination::{DrainOrder, NoteReport, Sequence, StatusReport, Verdict};

use crate::{admin::report, kernel::Context, peers::PeersHandle};

/// Actor that handles admin requests with the handles of the other services, which only the main
/// thread can access.
pub(crate) struct Queries {
    context: Context,
    /// Digest of the configuration at a sequence, cached because it is expensive to compute.
    digest: (Sequence, u64),
}

impl Queries {
    /// Creates the actor from the shared parts of the node.
    pub(crate) fn new(context: Context) -> Self {
        let config = &context.view().load().config;
        let digest = (config.sequence, config.digest());
        Self { context, digest }
    }

    fn peers(&self) -> Option<PeersHandle> {
        self.context.registry().find("peers").ok()
    }

    fn digest(&mut self) -> u64 {
        let config = &self.context.view().load().config;
        if self.digest.0 != config.sequence {
            self.digest = (config.sequence, config.digest());
        }
        self.digest.1
    }
}

impl Actor for Queries {
    type Context = actix::Context<Self>;
}

/// Requests the status of the node.
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub(crate) struct GetStatus;

/// Requests the readiness of the node.
#[derive(Message)]
#[rtype(result = "Readiness")]
pub(crate) struct GetReadiness;

/// Readiness of the node, as returned by `/ready`.
#[derive(Serialize)]
pub(crate) struct Readiness {
    /// Whether the node accepts requests.
    pub(crate) ready: bool,
    /// Phase of the node's life cycle.
    pub(crate) phase: &'static str,
    /// Sequence of the configuration in force.
    pub(crate) note: Sequence,
    /// Reason why the node is not ready.
    pub(crate) reason: Option<&'static str>,
}

/// Requests the report on a release note.
#[derive(Message)]
#[rtype(result = "NoteReport")]
pub(crate) struct GetNote(pub(crate) Sequence);

/// Applies a drain order and requests all orders in force; `None` while the node is starting.
#[derive(Message)]
#[rtype(result = "Option<Vec<DrainOrder>>")]
pub(crate) struct ApplyOrder(pub(crate) DrainOrder);

impl Handler<GetStatus> for Queries {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        let peers = self.peers().map(|peers| peers.status());
        let digest = self.digest();
        MessageResult(report::status_report(
            &self.context,
            &peers.unwrap_or_default(),
            digest,
        ))
    }
}

impl Handler<GetReadiness> for Queries {
    type Result = MessageResult<GetReadiness>;

    fn handle(&mut self, _: GetReadiness, _: &mut Self::Context) -> Self::Result {
        let view = self.context.view().load();
        let peers = self.peers().map(|peers| peers.status());
        let reason = report::not_ready_reason(view.phase, &peers.unwrap_or_default());
        MessageResult(Readiness {
            ready: reason.is_none(),
            phase: view.phase.as_str(),
            note: view.config.sequence,
            reason,
        })
    }
}

impl Handler<GetNote> for Queries {
    type Result = ResponseFuture<NoteReport>;

    fn handle(&mut self, GetNote(note): GetNote, _: &mut Self::Context) -> Self::Result {
        let view = self.context.view().load();
        let peers = self.peers();
        Box::pin(async move {
            let status = peers.as_ref().map(PeersHandle::status).unwrap_or_default();
            let verdict = find_verdict(peers, note).await;
            report::note_report(&view, &status, note, verdict)
        })
    }
}

async fn find_verdict(peers: Option<PeersHandle>, note: Sequence) -> Option<Verdict> {
    peers?.verdict(note).await
}

impl Handler<ApplyOrder> for Queries {
    type Result = ResponseFuture<Option<Vec<DrainOrder>>>;

    fn handle(&mut self, ApplyOrder(order): ApplyOrder, _: &mut Self::Context) -> Self::Result {
        let peers = self.peers();
        Box::pin(async move {
            let orders = peers?.apply_order(order).await;
            Some(orders.iter().collect())
        })
    }
}
