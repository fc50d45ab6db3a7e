//! Service that exchanges release notes, drain orders and lists of VMs with other nodes.

mod core;
mod handle;
mod link;

pub(crate) use self::handle::{PeersHandle, PeersStatus, ReaderState};

use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use log::error;
use tokio::{sync::mpsc, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use self::{core::Core, link::Acceptor};
use crate::kernel::{Context, Service, StartError, StopDeadlines};

/// Maximum number of inputs queued for the replica.
const MAX_QUEUED_INPUTS: usize = 4096;

/// Service that exchanges release notes, drain orders and lists of VMs with other nodes.
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
            let (inputs, receiver) = mpsc::channel(MAX_QUEUED_INPUTS);
            let handle = PeersHandle::new(inputs.clone());
            let token = context.shutdown_token();
            let core = Core::new(context, handle.clone(), inputs.clone());
            let acceptor = Acceptor::new(inputs, core.link_context());
            let registry = context.registry();
            registry.publish("peers", handle);
            registry.publish_handler("control", Rc::new(acceptor));
            let core = actix_rt::spawn(core.run(receiver, token.clone()));
            actix_rt::spawn(abort_on_panic(core));
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self, _deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
        })
    }
}

/// Aborts the process when the event loop of the replica panics. Without the loop, the node would
/// serve forever with a configuration that is no longer updated.
async fn abort_on_panic(core: JoinHandle<()>) {
    if core.await.is_err_and(|err| err.is_panic()) {
        error!("the event loop of the replica panicked; aborting the process");
        std::process::abort();
    }
}
