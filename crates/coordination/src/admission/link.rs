//! Answers that are still to cross the link of the upstream's VM.

use std::time::Duration;

use crate::admission::times::Times;

/// Bytes that running requests still put on the link, as far as they are known or expected.
///
/// Large answers share the link, so that beyond a few of them more at once only make all of them
/// late. What waits for the link then waits for a slot instead, where its rank counts.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkBacklog {
    bytes_per_second: Option<u64>,
    bytes: u64,
}

/// Longest backlog with which a further large answer may begin: the time for which requests wait in
/// a full queue.
const MAX_BACKLOG: Duration = Duration::from_millis(100);
/// The same as a part of the time within which the answer is wanted, as a divisor.
const BACKLOG_PART: u32 = 10;
/// Largest answer that the link's backlog doesn't delay, in bytes: the share of one flow-control
/// window, which the link gives to each answer in turn.
const SMALL_BYTES: u64 = 16 << 10;

impl LinkBacklog {
    /// Returns the backlog of an idle link; one whose rate is not known never holds anything back.
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

    /// Adds an answer that is expected or known.
    pub(super) fn add(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Takes off what was sent or will not be sent.
    pub(super) fn remove(&mut self, bytes: u64) {
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns the time that the link needs for what is to cross it.
    pub(super) fn backlog(&self) -> Duration {
        self.transfer(self.bytes)
    }

    /// Returns whether a further answer finds the link nearly free when it is there.
    pub(super) fn has_room(&self, times: Times, wanted: Duration) -> bool {
        self.wait(times, wanted, 0).is_zero()
    }

    /// Returns the time after which a request may begin whose answer is wanted within a time, with
    /// `ahead` bytes of waiting requests before it.
    pub(super) fn wait(&self, times: Times, wanted: Duration, ahead: u64) -> Duration {
        if self.is_small(times.bytes) {
            return Duration::ZERO;
        }
        let backlog = self.transfer(self.bytes.saturating_add(ahead));
        let allowed = (wanted / BACKLOG_PART).min(MAX_BACKLOG);
        backlog.saturating_sub(times.latency + allowed)
    }

    /// Returns whether the link delays an answer of so many bytes little, or its rate is not known.
    pub(super) fn is_small(&self, bytes: u64) -> bool {
        bytes <= SMALL_BYTES || self.bytes_per_second.is_none()
    }

    /// Returns the time that an answer needs on the link, without others.
    fn transfer(&self, bytes: u64) -> Duration {
        let Some(rate) = self.bytes_per_second.filter(|rate| *rate > 0) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / rate as f64;
        Duration::from_secs_f64(seconds)
    }
}
