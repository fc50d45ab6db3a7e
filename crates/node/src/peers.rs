//! Service that exchanges notes, orders and lists with other nodes.

mod core;
mod handle;
mod link;

pub(crate) use self::handle::{PeersHandle, PeersStatus, PlatformState};

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use log::error;
use tokio::{sync::mpsc, task::JoinHandle, time::Instant};
use tokio_util::sync::CancellationToken;

use self::{core::Core, link::Acceptor};
use crate::kernel::{Context, Service, StartError};

/// Inputs that wait for the replica at most.
const MAX_INPUTS: usize = 4096;

/// Service that exchanges notes, orders and lists with other nodes.
#[derive(Default)]
pub(crate) struct Peers {
    token: Option<CancellationToken>,
}

impl Service for Peers {
    fn name(&self) -> &'static str {
        "peers"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let (inputs, receiver) = mpsc::channel(MAX_INPUTS);
            let handle = PeersHandle::new(inputs.clone());
            let token = context.shutdown_token();
            let core = Core::new(context, handle.clone(), inputs.clone());
            let acceptor = Acceptor::new(inputs, core.link_context());
            let registry = context.registry();
            registry.publish("peers", handle);
            registry.publish_handler("control", Rc::new(acceptor));
            let core = actix_rt::spawn(core.run(receiver, token.clone()));
            actix_rt::spawn(end_with(core));
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self, _until: Instant) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
        })
    }
}

/// Ends the process when the loop broke an assertion: without it, the node would go on with what
/// it believes for good.
async fn end_with(core: JoinHandle<()>) {
    if core.await.is_err_and(|err| err.is_panic()) {
        error!("the loop that follows the configuration broke an assertion");
        std::process::abort();
    }
}
