//! Service that accepts HTTP requests of callers and forwards them to sidecars.

mod answer;
mod attempt;
mod body;
mod channel;
mod connection;
mod credential;
mod dispatch;
mod feedback;
mod fingerprint;
mod guards;
mod handler;
mod keepalive;
mod open_calls;
mod pool;
mod record;
mod refusal;
mod reply_body;
mod request;
mod routing;
mod server;
mod worker;

#[cfg(test)]
mod tests;

use futures_util::future::LocalBoxFuture;
use snafu::ResultExt;

use crate::{
    ingress::{open_calls::OpenCalls, server::Server, worker::SharedState},
    kernel::{BindSnafu, Context, Service, StartError, StopDeadlines},
    quota::QuotaHandle,
    stall::StallHandle,
};

/// HTTP front end of a node, registered as the service `ingress`.
#[derive(Default)]
pub(crate) struct Ingress {
    server: Option<Server>,
}

impl Service for Ingress {
    fn name(&self) -> &'static str {
        "ingress"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let settings = context.settings();
            let address = settings.callers;
            let shared = SharedState {
                settings: settings.clone(),
                view: context.view().clone(),
                timeline: context.timeline().clone(),
                stall: context.registry().find::<StallHandle>("stall")?,
                quota: context.registry().find::<QuotaHandle>("quota")?,
                open_calls: OpenCalls::default(),
                gate: context.stop_gate().clone(),
                body_budget: context.body_budget().clone(),
                cut: context.cut_token(),
                token: context.shutdown_token(),
            };
            let server = Server::start(shared).context(BindSnafu { address })?;
            self.server = Some(server);
            Ok(())
        })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(server) = self.server.take() {
                server.stop(deadlines).await;
            }
        })
    }
}
