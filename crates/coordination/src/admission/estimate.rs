//! Estimates of waits and durations, and whether a request may start or be queued.

use std::time::{Duration, Instant};

use crate::admission::{
    Admission, AdmissionRequest, MAX_QUEUED, MAX_SLACK_SHARE, MIN_QUEUED, TARGET_QUEUE_TIME,
    rank::Rank,
};

impl Admission {
    /// Returns whether a request counts as late: it will miss its target time or, while starts are
    /// spread evenly, has missed it already. A cold upstream is slow for all requests, and those that
    /// came just now may be calls whose callers are served in time by a later answer.
    pub(super) fn is_late(&self, request: &AdmissionRequest, time: Duration, now: Instant) -> bool {
        let time = match self.rates.spacing(now) {
            Some(_) => Duration::ZERO,
            None => time,
        };
        request.target.is_some_and(|target| now + time > target)
    }

    /// Returns whether one more request may be queued.
    ///
    /// A request with a target time may be queued as long as it can still meet that time; the
    /// others share a bounded queue.
    pub(super) fn can_queue(
        &mut self,
        request: &AdmissionRequest,
        wait: Duration,
        time: Duration,
        now: Instant,
    ) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let has_samples = !self.stats.all().slot_time.is_zero();
        match request
            .target
            .filter(|_| has_samples && !request.rank.is_late)
        {
            Some(target) => {
                let slack = target.saturating_duration_since(now);
                let max_wait = slack.saturating_sub(time).mul_f64(MAX_SLACK_SHARE);
                let is_paced = self.rates.spacing(now).is_some();
                wait <= max_wait || is_paced && wait <= TARGET_QUEUE_TIME
            }
            None if has_samples && request.target.is_some() => wait <= TARGET_QUEUE_TIME,
            None => self.queue.len() < self.queue_bound() || self.queue.make_room(request),
        }
    }

    /// Returns whether a request of a rank may start: a slot is free, and the limits on the rate allow
    /// it without using up what is reserved for better ranks.
    pub(super) fn has_capacity(&self, rank: Rank, now: Instant) -> bool {
        self.has_slot(now) && self.rates.can_start(self.reserve(rank, now), now)
    }

    pub(super) fn has_slot(&self, now: Instant) -> bool {
        let limit = match self.contact.is_limited(now) {
            true => 1,
            false => self.limit(),
        };
        self.active < limit
    }

    /// Returns how many starts of the burst a request of a rank leaves to others.
    pub(super) fn reserve(&self, rank: Rank, now: Instant) -> u32 {
        let spacing = self.rates.spacing(now);
        spacing.map_or(0, |spacing| {
            self.reservation.reserve(rank, spacing.burst(), now)
        })
    }

    /// Returns whether the link can take the response to one more request of a rank.
    pub(super) fn has_link_capacity(&self, rank: Rank) -> bool {
        self.link_backlog
            .has_capacity(self.stats.of(rank), rank.target())
    }

    /// Returns the estimated time that a request of a rank spends in the queue.
    pub(super) fn estimated_wait(&self, rank: Rank, now: Instant) -> Duration {
        let excess = self.active.saturating_sub(self.limit());
        let mut ahead = 0;
        let mut ahead_bytes = 0;
        let mut work = self.stats.all().slot_time * excess;
        for (rank, count) in self.queue.counts_through(rank) {
            ahead += count;
            let stats = self.stats.of(rank);
            work += stats.slot_time * u32::try_from(count).unwrap_or(u32::MAX);
            ahead_bytes += stats.response_bytes * count as u64;
        }
        let wait = work / self.limit();
        let stats = self.stats.of(rank);
        let link = self
            .link_backlog
            .start_delay(stats, rank.target(), ahead_bytes);
        let reserve = self.reserve(rank, now);
        wait.max(self.rates.queue_wait(ahead, reserve, now))
            .max(link)
    }

    /// Returns the estimated time from the start of a request of a rank until its response is sent.
    pub(super) fn estimated_duration(&self, rank: Rank) -> Duration {
        let stats = self.stats.of(rank);
        if self.link_backlog.is_small(stats.response_bytes) {
            return stats.latency;
        }
        stats.slot_time.max(stats.latency)
    }

    pub(super) fn queue_bound(&self) -> usize {
        let limit = self.limit() as usize;
        let min_bound = limit.clamp(MIN_QUEUED, MAX_QUEUED);
        let slot_time = self.stats.all().slot_time;
        if slot_time.is_zero() {
            return min_bound;
        }
        let rounds = TARGET_QUEUE_TIME.as_secs_f64() / slot_time.as_secs_f64();
        let bound = (limit as f64 * rounds) as usize;
        bound.clamp(min_bound, MAX_QUEUED)
    }
}

/// Returns until when a request may stay queued: as long as it can meet its deadline, or only for a
/// short time if it misses its target time in any case.
pub(super) fn expiry(request: &AdmissionRequest, time: Duration, now: Instant) -> Instant {
    let last = request.deadline.checked_sub(time).unwrap_or(now);
    if request.rank.is_late {
        return last.min(now + TARGET_QUEUE_TIME * 2);
    }
    last
}
