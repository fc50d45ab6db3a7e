//! Actor on the main thread that answers the admin interface's threads.

use std::collections::BTreeMap;

use actix::{Actor, Handler, Message};
use wagtaillever_coordination::{
    DrainOrder, NoteReport, NoteVerdict, Sequence, SpreadReport, StatusReport,
};

use crate::{kernel::Context, peers::PeersHandle};

/// Actor that has access to the handles of the other services.
pub(crate) struct Queries {
    context: Context,
}

impl Queries {
    /// Returns the actor of a node.
    pub(crate) fn new(context: Context) -> Self {
        Self { context }
    }
}

impl Actor for Queries {
    type Context = actix::Context<Self>;
}

/// Asks for the node's status.
#[derive(Message)]
#[rtype(result = "StatusReport")]
pub(crate) struct GetStatus;

/// Asks what became of a note.
#[derive(Message)]
#[rtype(result = "NoteReport")]
pub(crate) struct GetNote(pub(crate) Sequence);

/// Gives an order and asks for all orders in force.
#[derive(Message)]
#[rtype(result = "Vec<DrainOrder>")]
pub(crate) struct GiveOrder(pub(crate) DrainOrder);

impl Handler<GetStatus> for Queries {
    type Result = actix::MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        let settings = self.context.settings();
        let view = self.context.view().load();
        actix::MessageResult(StatusReport {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation: self.context.incarnation(),
            phase: view.phase.as_str().into(),
            note: view.config.sequence,
            digest: format!("{:016x}", view.config.digest()),
            age_ms: None,
            gap: None,
            peers: Vec::new(),
            fleet: BTreeMap::new(),
            refused: Vec::new(),
            orders: view.drains.iter().collect(),
        })
    }
}

impl Handler<GetNote> for Queries {
    type Result = actix::MessageResult<GetNote>;

    fn handle(&mut self, GetNote(note): GetNote, _: &mut Self::Context) -> Self::Result {
        let in_force = self.context.view().load().config.sequence;
        let is_folded = note <= in_force;
        let own = SpreadReport {
            nodes: 1,
            reached: is_folded.into(),
            laggards: Vec::new(),
        };
        actix::MessageResult(NoteReport {
            note,
            verdict: if is_folded {
                NoteVerdict::Folded
            } else {
                NoteVerdict::Pending
            },
            reason: None,
            fleet: BTreeMap::from([(self.context.settings().domain.clone(), own)]),
        })
    }
}

impl Handler<GiveOrder> for Queries {
    type Result = actix::ResponseFuture<Vec<DrainOrder>>;

    fn handle(&mut self, GiveOrder(order): GiveOrder, _: &mut Self::Context) -> Self::Result {
        let peers = self.context.registry().find::<PeersHandle>("peers");
        let view = self.context.view().clone();
        Box::pin(async move {
            let drains = match peers {
                Ok(peers) => peers.order(order).await,
                Err(_) => view.load().drains.as_ref().clone(),
            };
            drains.iter().collect()
        })
    }
}
