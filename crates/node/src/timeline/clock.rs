//! Hybrid logical clock.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Time stamp of a hybrid logical clock: wall time, then a counter within it.
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
    /// Counter of events within the millisecond.
    pub(crate) counter: u32,
}

/// Clock that never goes back and never falls behind a time stamp that it has seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clock {
    last: Arc<Mutex<Timestamp>>,
}

impl Clock {
    /// Returns a time stamp after all that were returned or observed before.
    pub(crate) fn tick(&self) -> Timestamp {
        let mut last = self.last.lock();
        *last = following(*last, wall_ms());
        *last
    }

    /// Takes in a time stamp from another process.
    pub(crate) fn observe(&self, seen: Timestamp) {
        let mut last = self.last.lock();
        *last = (*last).max(seen);
    }
}

fn following(last: Timestamp, wall_ms: u64) -> Timestamp {
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

fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
