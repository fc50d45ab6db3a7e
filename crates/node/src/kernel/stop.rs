//! Stops an HTTP server within the deadline of the node's stop.

use actix_web::dev::ServerHandle;
use log::warn;
use tokio::time::{Instant, timeout_at};

/// Stops a server when its calls in flight have finished, or at the deadline.
pub(crate) async fn stop_server(server: &ServerHandle, deadline: Instant) {
    if timeout_at(deadline, server.stop(true)).await.is_err() {
        warn!("stop deadline reached; not waiting for the server's open connections");
    }
}
