//! Answers that are still to cross the link of the upstream's VM.

use std::time::Duration;

/// Bytes that running requests still put on the link, as far as they are known or expected.
///
/// Large answers share the link, so that beyond a few of them more at once only make all of them
/// late. What waits for the link then waits for a slot instead, where its rank counts.
#[derive(Clone, Debug, Default)]
pub(super) struct LinkBacklog {
    bytes_per_second: Option<u64>,
    bytes: u64,
}

/// Backlog with which a further large answer may begin: it keeps the link busy while the next
/// requests run, and is half of the time that requests wait in a full queue.
const BACKLOG_TARGET: Duration = Duration::from_millis(50);
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

    /// Returns whether an answer of so many bytes, which is there after `latency`, finds the link
    /// nearly free.
    pub(super) fn has_room(&self, bytes: u64, latency: Duration) -> bool {
        self.wait(bytes, 0, latency).is_zero()
    }

    /// Returns the time after which an answer of so many bytes may begin to be worked on, with
    /// `ahead` bytes of waiting requests before it.
    pub(super) fn wait(&self, bytes: u64, ahead: u64, latency: Duration) -> Duration {
        if bytes <= SMALL_BYTES {
            return Duration::ZERO;
        }
        let backlog = self.transfer(self.bytes.saturating_add(ahead));
        backlog.saturating_sub(latency + BACKLOG_TARGET)
    }

    /// Returns the time that an answer needs on the link, without others.
    pub(super) fn transfer(&self, bytes: u64) -> Duration {
        let Some(rate) = self.bytes_per_second.filter(|rate| *rate > 0) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / rate as f64;
        Duration::from_secs_f64(seconds)
    }
}
