//! Mean duration and size of requests by rank.

use std::{collections::BTreeMap, time::Duration};

use crate::admission::Rank;

/// Means over the requests of each priority and target latency, and over all requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RankStats {
    all: RequestStats,
    by_rank: BTreeMap<(u8, u32), RequestStats>,
}

/// Means over a group of requests; zero while there is no sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestStats {
    /// Time from the start to the head of the response.
    pub(super) latency: Duration,
    /// Time for which a request occupies a slot.
    pub(super) slot_time: Duration,
    /// Size of the response body in bytes.
    pub(super) response_bytes: u64,
}

/// Weight of the newest sample in a mean.
const SAMPLE_WEIGHT: f64 = 0.1;

impl RankStats {
    /// Returns the means over all requests.
    pub(super) fn all(&self) -> RequestStats {
        self.all
    }

    /// Returns the means of a rank; the means over all requests replace times without samples.
    pub(super) fn of(&self, rank: Rank) -> RequestStats {
        let stats = self.by_rank.get(&(rank.priority, rank.target_ms));
        let mut stats = stats.copied().unwrap_or_default();
        if stats.latency.is_zero() {
            stats.latency = self.all.latency;
        }
        if stats.slot_time.is_zero() {
            stats.slot_time = self.all.slot_time;
        }
        stats
    }

    /// Records the latency of a response.
    pub(super) fn record_latency(&mut self, rank: Rank, latency: Duration) {
        self.all.latency = mean(self.all.latency, latency);
        let stats = self.entry(rank);
        stats.latency = mean(stats.latency, latency);
    }

    /// Records how long a released slot was occupied.
    pub(super) fn record_slot_time(&mut self, rank: Rank, slot_time: Duration) {
        self.all.slot_time = mean(self.all.slot_time, slot_time);
        let stats = self.entry(rank);
        stats.slot_time = mean(stats.slot_time, slot_time);
    }

    /// Records the size of a response that was sent completely.
    pub(super) fn record_length(&mut self, rank: Rank, response_bytes: u64) {
        let stats = self.entry(rank);
        if stats.response_bytes == 0 {
            stats.response_bytes = response_bytes;
            return;
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let mean = (stats.response_bytes as f64 * (1.0 - SAMPLE_WEIGHT)
            + response_bytes as f64 * SAMPLE_WEIGHT) as u64;
        stats.response_bytes = mean;
    }

    fn entry(&mut self, rank: Rank) -> &mut RequestStats {
        let key = (rank.priority, rank.target_ms);
        self.by_rank.entry(key).or_default()
    }
}

/// Returns a moving mean updated with a sample; a mean of zero has no samples.
fn mean(mean: Duration, sample: Duration) -> Duration {
    if mean.is_zero() {
        return sample;
    }
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
