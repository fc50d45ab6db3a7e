//! How long requests take, by rank.

use std::{collections::BTreeMap, time::Duration};

use crate::admission::Rank;

/// Mean times of the requests of each kind of rank, and of all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct RankTimes {
    all: Times,
    times: BTreeMap<(u8, u32), Times>,
}

/// Mean times of the requests of one kind; zero where there was none yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// Time to the head of the answer.
    pub(super) latency: Duration,
    /// Time for which a slot is held.
    pub(super) held: Duration,
    /// Bytes of an answer's body.
    pub(super) bytes: u64,
}

/// Share of the newest sample in a mean.
const MEAN_SHARE: f64 = 0.1;

impl RankTimes {
    /// Returns the mean times of all requests.
    pub(super) fn all(&self) -> Times {
        self.all
    }

    /// Returns the mean times of a rank's requests; those of all stand in for what is not known.
    pub(super) fn of(&self, rank: Rank) -> Times {
        let times = self.times.get(&(rank.priority, rank.target_ms));
        let mut times = times.copied().unwrap_or_default();
        if times.latency.is_zero() {
            times.latency = self.all.latency;
        }
        if times.held.is_zero() {
            times.held = self.all.held;
        }
        times
    }

    /// Learns from an answer.
    pub(super) fn answered(&mut self, rank: Rank, latency: Duration) {
        self.all.latency = mean(self.all.latency, latency);
        let times = self.entry(rank);
        times.latency = mean(times.latency, latency);
    }

    /// Learns from a slot that was given back.
    pub(super) fn released(&mut self, rank: Rank, held: Duration) {
        self.all.held = mean(self.all.held, held);
        let times = self.entry(rank);
        times.held = mean(times.held, held);
    }

    /// Learns from an answer that was sent whole.
    pub(super) fn sent(&mut self, rank: Rank, bytes: u64) {
        let times = self.entry(rank);
        if times.bytes == 0 {
            times.bytes = bytes;
            return;
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let mean = (times.bytes as f64 * (1.0 - MEAN_SHARE) + bytes as f64 * MEAN_SHARE) as u64;
        times.bytes = mean;
    }

    fn entry(&mut self, rank: Rank) -> &mut Times {
        let key = (rank.priority, rank.target_ms);
        self.times.entry(key).or_default()
    }
}

/// Returns a moving mean with one more sample; zero stands for no sample yet.
fn mean(mean: Duration, sample: Duration) -> Duration {
    if mean.is_zero() {
        return sample;
    }
    mean.mul_f64(1.0 - MEAN_SHARE) + sample.mul_f64(MEAN_SHARE)
}
