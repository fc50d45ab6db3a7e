//! Hybrid logical clock.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Timestamp of a hybrid logical clock: wall-clock time, then a counter.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    bincode::Encode,
    bincode::Decode,
)]
pub(crate) struct Timestamp {
    /// Milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    /// Counter of timestamps with the same wall-clock time.
    pub(crate) counter: u32,
}

/// Monotonic clock that never falls behind an observed timestamp.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clock {
    last: Arc<Mutex<Timestamp>>,
}

impl Clock {
    /// Returns a timestamp greater than all that were returned or observed before.
    pub(crate) fn tick(&self) -> Timestamp {
        let mut last = self.last.lock();
        *last = next_timestamp(*last, wall_clock_ms());
        *last
    }

    /// Advances the clock to a timestamp received from another process.
    pub(crate) fn observe(&self, timestamp: Timestamp) {
        let mut last = self.last.lock();
        *last = (*last).max(timestamp);
    }
}

fn next_timestamp(last: Timestamp, wall_ms: u64) -> Timestamp {
    if wall_ms > last.wall_ms {
        return Timestamp {
            wall_ms,
            counter: 0,
        };
    }
    Timestamp {
        wall_ms: last.wall_ms,
        counter: last.counter + 1,
    }
}

fn wall_clock_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
