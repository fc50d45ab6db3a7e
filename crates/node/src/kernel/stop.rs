//! Stop of an HTTP server within the time that the whole stop has.

use actix_web::dev::ServerHandle;
use log::warn;
use tokio::time::{Instant, timeout_at};

/// Stops a server after its calls in flight are finished, `until` at the latest.
pub(crate) async fn stop_server(server: &ServerHandle, until: Instant) {
    if timeout_at(until, server.stop(true)).await.is_err() {
        warn!("the stop does not wait any longer for connections of callers");
    }
}
