//! HTTP server for callers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use log::info;
use tokio::time::Instant;

use crate::{
    ingress::{
        handler::handle,
        worker::{Shared, Worker},
    },
    kernel::stop_server,
};

/// Time for which a connection without requests stays open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Connections of callers that a node holds.
const MAX_CONNECTIONS: usize = 4096;
/// Time in which a caller must have sent the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a stopping node tells callers of its stop, the notice of the settings included.
const STOP_NOTICE: Duration = Duration::from_secs(2);

/// HTTP server for callers, on one thread of its own.
pub(super) struct Server {
    handle: ServerHandle,
    notice: Duration,
    /// Addresses on which callers are served.
    pub(super) addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds the address for callers and serves them.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be bound.
    pub(super) fn start(shared: Shared) -> io::Result<Self> {
        let address = shared.settings.callers;
        let notice = Duration::from_millis(shared.settings.limits.notice_ms);
        let stop_seconds = shared.settings.limits.stop_ms.div_ceil(1000);
        let app = move || {
            let worker = web::Data::new(Rc::clone(&Worker::spawn(shared.clone())));
            App::new().app_data(worker).default_service(web::to(handle))
        };
        let server = HttpServer::new(app)
            .workers(1)
            .keep_alive(KEEP_ALIVE)
            .client_request_timeout(HEAD_TIMEOUT)
            .h1_allow_half_closed(false)
            .tcp_nodelay(true)
            .max_connections(MAX_CONNECTIONS)
            .shutdown_timeout(stop_seconds)
            .disable_signals()
            .bind(address)?;
        let addresses = server.addrs();
        info!("callers are served on {addresses:?}");
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            handle,
            notice: STOP_NOTICE.saturating_sub(notice),
            addresses,
        })
    }

    /// Refuses new calls for a moment, then takes no more connections and waits for the calls
    /// in flight; those that are left when their time is over are cut.
    pub(super) async fn stop(self, until: Instant) {
        tokio::time::sleep(self.notice).await;
        info!("no more calls are taken on {:?}", self.addresses);
        stop_server(&self.handle, until).await;
    }
}
