//! Actor on the main thread that answers the admin interface's threads.

use actix::{Actor, Handler, Message, MessageResult, ResponseFuture};
use serde::Serialize;
use wagtaillever_coordination::{DrainOrder, NoteReport, Sequence, StatusReport, Verdict};

use crate::{admin::report, kernel::Context, peers::PeersHandle};

/// Actor that has access to the handles of the other services.
pub(crate) struct Queries {
    context: Context,
    /// Digest of the configuration at a sequence, as it takes long to work out.
    digest: (Sequence, u64),
}

impl Queries {
    /// Returns the actor of a node.
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

/// Asks for the node's status.
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub(crate) struct GetStatus;

/// Asks whether the node takes work.
#[derive(Message)]
#[rtype(result = "Readiness")]
pub(crate) struct GetReadiness;

/// Whether the node takes work.
#[derive(Serialize)]
pub(crate) struct Readiness {
    /// Whether it does.
    pub(crate) ready: bool,
    /// Phase of its life cycle.
    pub(crate) phase: &'static str,
    /// Sequence in force.
    pub(crate) note: Sequence,
    /// Why it takes no work.
    pub(crate) reason: Option<&'static str>,
}

/// Asks what became of a note.
#[derive(Message)]
#[rtype(result = "NoteReport")]
pub(crate) struct GetNote(pub(crate) Sequence);

/// Gives an order and asks for all orders in force; there is no answer while the node starts.
#[derive(Message)]
#[rtype(result = "Option<Vec<DrainOrder>>")]
pub(crate) struct GiveOrder(pub(crate) DrainOrder);

impl Handler<GetStatus> for Queries {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        let peers = self.peers().map(|peers| peers.status());
        let digest = self.digest();
        MessageResult(report::status(
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
        let reason = report::waiting(view.phase, &peers.unwrap_or_default());
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
            let verdict = verdict(peers, note).await;
            report::note(&view, &status, note, verdict)
        })
    }
}

async fn verdict(peers: Option<PeersHandle>, note: Sequence) -> Option<Verdict> {
    peers?.verdict(note).await
}

impl Handler<GiveOrder> for Queries {
    type Result = ResponseFuture<Option<Vec<DrainOrder>>>;

    fn handle(&mut self, GiveOrder(order): GiveOrder, _: &mut Self::Context) -> Self::Result {
        let peers = self.peers();
        Box::pin(async move {
            let orders = peers?.apply_order(order).await;
            Some(orders.iter().collect())
        })
    }
}
