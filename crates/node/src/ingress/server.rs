//! HTTP server for callers.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use log::{info, warn};
use tokio::time::{sleep, timeout_at};
use tokio_util::task::TaskTracker;

use crate::{
    ingress::{
        handler::handle,
        open_calls::OpenCalls,
        worker::{SharedState, Worker},
    },
    kernel::StopDeadlines,
};

/// Time after which a connection without requests is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Largest number of open connections of callers.
const MAX_CONNECTIONS: usize = 4096;
/// Time within which a caller must send the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a stopping node still accepts connections so that callers learn of the stop,
/// including the `notice_ms` of the settings.
const STOP_NOTICE: Duration = Duration::from_secs(2);

/// HTTP server for callers with a single worker thread.
pub(super) struct Server {
    handle: ServerHandle,
    stop_delay: Duration,
    open_calls: OpenCalls,
    /// Open connections of callers.
    connections: TaskTracker,
    /// Addresses on which the server listens.
    pub(super) addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds the address for callers and starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub(super) fn start(shared: SharedState) -> io::Result<Self> {
        let address = shared.settings.callers;
        let times = shared.settings.limits.stop_times();
        let open_calls = shared.open_calls.clone();
        let stop_seconds = times.calls.as_secs() + 1;
        let connections = TaskTracker::new();
        let opened = connections.clone();
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
            .on_connect(move |_, data| {
                data.insert(opened.token());
            })
            .shutdown_timeout(stop_seconds)
            .disable_signals()
            .bind(address)?;
        let addresses = server.addrs();
        info!("listening for callers on {addresses:?}");
        let server = server.run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Self {
            handle,
            stop_delay: STOP_NOTICE.saturating_sub(times.notice),
            open_calls,
            connections,
            addresses,
        })
    }

    /// Keeps refusing new calls for the rest of [`STOP_NOTICE`], then accepts no more connections,
    /// closes idle ones and waits until the calls in flight have an answer. Answers that are not
    /// complete at the deadline are cut off.
    pub(super) async fn stop(self, deadlines: StopDeadlines) {
        sleep(self.stop_delay).await;
        info!(calls = self.open_calls.len(); "no longer accepting callers on {:?}", self.addresses);
        self.connections.close();
        let closed = async {
            tokio::select! {
                () = self.handle.stop(true) => {}
                // The server itself looks for closed connections once a second only.
                () = self.connections.wait() => {}
            }
        };
        if timeout_at(deadlines.answers, closed).await.is_err() {
            warn!("stop deadline reached; not waiting for the open connections of callers");
        }
        self.open_calls.record_cut();
    }
}
