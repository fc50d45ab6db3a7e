//! Deadlines of the node's stop, the calls that it still passes on, and the stop of an HTTP server.

use std::{future::pending, sync::Arc};

use actix_web::dev::ServerHandle;
use log::{info, warn};
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

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

/// Decides which calls a stopping node still passes on to upstreams.
///
/// After the notice period, a call that is not passed on yet is passed on only if it ends before calls in
/// flight are given up, even if it takes all the time that its route and its caller allow. Other calls are
/// refused, as the stop could break them off while an upstream works on them.
#[derive(Clone, Debug)]
pub(crate) struct StopGate {
    /// When calls in flight are given up, once the notice period is over.
    calls: Arc<watch::Sender<Option<Instant>>>,
}

impl Default for StopGate {
    fn default() -> Self {
        Self {
            calls: Arc::new(watch::Sender::new(None)),
        }
    }
}

impl StopGate {
    /// Ends the notice period of a stop that gives up calls at a time.
    pub(crate) fn close(&self, calls: Instant) {
        let left_ms = calls.saturating_duration_since(Instant::now()).as_millis() as u64;
        info!(left_ms; "passing on no more calls that may outlast the stop");
        self.calls.send_replace(Some(calls));
    }

    /// Returns whether a call with a deadline must no longer be passed on.
    pub(crate) fn refuses(&self, deadline: std::time::Instant) -> bool {
        let calls = *self.calls.borrow();
        calls.is_some_and(|calls| Instant::from_std(deadline) > calls)
    }

    /// Waits until a call with a deadline must no longer be passed on, forever if the stop leaves it its
    /// whole time.
    pub(crate) async fn wait_until_refused(&self, deadline: std::time::Instant) {
        let mut closed = self.calls.subscribe();
        // The sender lives as long as this gate.
        let _ = closed.wait_for(Option::is_some).await;
        if !self.refuses(deadline) {
            pending().await
        }
    }
}

/// Stops a server when its calls in flight have finished, or at the deadline.
pub(crate) async fn stop_server(server: &ServerHandle, deadline: Instant) {
    if timeout_at(deadline, server.stop(true)).await.is_err() {
        warn!("stop deadline reached; not waiting for the server's open connections");
    }
}
