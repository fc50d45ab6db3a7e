//! Deadlines of the node's stop, and the stop of an HTTP server.

use actix_web::dev::ServerHandle;
use log::warn;
use tokio::time::{Instant, timeout_at};

use crate::settings::StopTimes;

/// Deadlines of a stop, the same for all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopDeadlines {
    /// When calls in flight are given up and their callers get an answer that says so.
    pub(crate) calls: Instant,
    /// Until when callers get their answers. Connections that are still in use then are closed.
    pub(crate) answers: Instant,
    /// When the process ends. Connections of other nodes are closed until then, so that no call that
    /// is on its way is left with an unknown outcome.
    pub(crate) end: Instant,
}

impl StopDeadlines {
    /// Returns the deadlines of a stop that was requested at a time.
    pub(crate) fn new(requested_at: Instant, times: StopTimes) -> Self {
        Self {
            calls: requested_at + times.calls,
            answers: requested_at + times.answers,
            end: requested_at + times.end,
        }
    }
}

/// Stops a server when its calls in flight have finished, or at the deadline.
pub(crate) async fn stop_server(server: &ServerHandle, deadline: Instant) {
    if timeout_at(deadline, server.stop(true)).await.is_err() {
        warn!("stop deadline reached; not waiting for the server's open connections");
    }
}
