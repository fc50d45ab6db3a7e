//! Backlog of response bytes on the network link of the upstream's VM.

use std::time::Duration;

use crate::admission::stats::RequestStats;

/// Known or expected bytes that the running requests have still to send over the link.
///
/// Large responses share the bandwidth of the link, so running more than a few of them at once only
/// delays them all. Requests beyond that wait in the admission queue instead, which orders them by
/// rank.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkBacklog {
    bytes_per_second: Option<u64>,
    bytes: u64,
}

/// Maximum backlog at which another large response may start; equals the time that requests
/// spend in a full queue.
const MAX_BACKLOG: Duration = Duration::from_millis(100);
/// Divisor of the target latency that gives the maximum backlog, up to [`MAX_BACKLOG`].
const BACKLOG_DIVISOR: u32 = 10;
/// Largest response in bytes that the backlog does not delay: one flow-control window, which the
/// link grants to each response in turn.
const SMALL_RESPONSE_BYTES: u64 = 16 << 10;

impl LinkBacklog {
    /// Returns the backlog of an idle link; a link of unknown rate delays no request.
    pub(super) fn new(bytes_per_second: Option<u64>) -> Self {
        Self {
            bytes_per_second,
            bytes: 0,
        }
    }

    /// Changes the rate of the link.
    pub(super) fn set_rate(&mut self, bytes_per_second: Option<u64>) {
        self.bytes_per_second = bytes_per_second;
    }

    /// Adds bytes of a response, known or expected.
    pub(super) fn add(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Removes bytes that were sent or will not be sent.
    pub(super) fn remove(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns the time that the link needs to send the backlog.
    pub(super) fn backlog(&self) -> Duration {
        self.transfer_time(self.bytes)
    }

    /// Returns whether the backlog will be short when the response of another request is ready.
    pub(super) fn has_capacity(&self, stats: RequestStats, target: Duration) -> bool {
        self.start_delay(stats, target, 0).is_zero()
    }

    /// Returns how long a request with a target latency must wait before it may start, with `ahead`
    /// response bytes of queued requests before it.
    pub(super) fn start_delay(
        &self,
        stats: RequestStats,
        target: Duration,
        ahead: u64,
    ) -> Duration {
        if self.is_small(stats.response_bytes) {
            return Duration::ZERO;
        }
        let backlog = self.transfer_time(self.bytes.saturating_add(ahead));
        let max_backlog = (target / BACKLOG_DIVISOR).min(MAX_BACKLOG);
        backlog.saturating_sub(stats.latency + max_backlog)
    }

    /// Returns whether the backlog hardly delays a response of this size, or the rate is unknown.
    pub(super) fn is_small(&self, bytes: u64) -> bool {
        bytes <= SMALL_RESPONSE_BYTES || self.bytes_per_second.is_none()
    }

    /// Returns the time that the bytes need on an otherwise idle link.
    fn transfer_time(&self, bytes: u64) -> Duration {
        let Some(rate) = self.bytes_per_second.filter(|rate| *rate > 0) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / rate as f64;
        Duration::from_secs_f64(seconds)
    }
}
