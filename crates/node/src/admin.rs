//! Admin interface: HTTP service for operators and health probes.

mod exporter;
mod queries;
mod report;
mod routes;
#[cfg(test)]
mod tests;
mod token;

use std::net::{SocketAddr, TcpListener};

use actix::Actor;
use actix_web::{App, HttpServer, dev::ServerHandle, web};
use futures_util::future::LocalBoxFuture;
use log::info;
use snafu::ResultExt;

use crate::{
    admin::{exporter::Exporter, queries::Queries, routes::Shared, token::Guard},
    kernel::{BindSnafu, Context, Service, StartError, StopDeadlines, stop_server},
};

/// Service that runs the HTTP servers of the admin interface.
#[derive(Default)]
pub(crate) struct Admin {
    servers: Vec<ServerHandle>,
}

/// Number of worker threads of each HTTP server.
const WORKERS: usize = 1;
/// Maximum number of open connections per worker.
const MAX_CONNECTIONS: usize = 64;
/// Time that a shutdown waits for requests in flight, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

impl Service for Admin {
    fn name(&self) -> &'static str {
        "admin"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let settings = context.settings();
            let shared = Shared {
                timeline: context.timeline().clone(),
                queries: Queries::new(context.clone()).start(),
                exporter: Exporter::install(),
                guard: Guard::new(context.settings().token.clone()),
            };
            self.serve(settings.admin, &shared, routes::configure)?;
            if let Some(probes) = settings.probes {
                self.serve(probes, &shared, routes::configure_probes)?;
            }
            Ok(())
        })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            for server in self.servers.drain(..) {
                stop_server(&server, deadlines.end).await;
            }
        })
    }
}

impl Admin {
    fn serve(
        &mut self,
        address: SocketAddr,
        shared: &Shared,
        routes: fn(&mut web::ServiceConfig),
    ) -> Result<(), StartError> {
        let listener = TcpListener::bind(address).context(BindSnafu { address })?;
        let shared = shared.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(shared.clone()))
                .configure(routes)
        })
        .workers(WORKERS)
        .max_connections(MAX_CONNECTIONS)
        .disable_signals()
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .listen(listener)
        .context(BindSnafu { address })?
        .run();
        info!("admin interface listens on {address}");
        self.servers.push(server.handle());
        actix_rt::spawn(server);
        Ok(())
    }
}
