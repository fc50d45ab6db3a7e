//! Limits of what a connection of a caller may cost.

use std::time::Duration;

use wagtaillever_coordination::CallerLimits;

use crate::ingress::worker::Worker;

/// Time after which a connection without requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// Time within which a caller must send the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest head of a request, which is also the largest that the codec parses.
const HEAD_BYTES: usize = 128 << 10;
/// Requests of a connection that run at the same time.
const CAPACITY: usize = 8;

/// Limits of what a connection of a caller may cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLimits {
    /// Longest head of a request in bytes.
    pub(super) head_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub(super) head_timeout: Duration,
    /// Time for which a connection may stay open without requests.
    pub(super) idle_timeout: Duration,
    /// Requests that may be in flight.
    pub(super) capacity: usize,
}

impl ConnectionLimits {
    /// Returns the limits that are in force.
    pub(super) fn current(worker: &Worker) -> Self {
        let config = worker.routing().view.config.caller_limits;
        config.map_or_else(Self::default, Self::from)
    }

    /// Returns the time for which callers may reuse an idle connection. It is shorter than the time
    /// after which the node closes it, so that no request crosses the close.
    pub(super) fn reuse_time(&self) -> Duration {
        self.idle_timeout * 4 / 5
    }
}

impl From<CallerLimits> for ConnectionLimits {
    fn from(limits: CallerLimits) -> Self {
        let header_bytes = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
        Self {
            head_bytes: header_bytes.min(HEAD_BYTES),
            head_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
            capacity: CAPACITY,
        }
    }
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: HEAD_BYTES,
            head_timeout: HEAD_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            capacity: CAPACITY,
        }
    }
}
