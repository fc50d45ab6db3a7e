//! Decides how many requests an upstream runs at once, and who waits.

mod adaptive;
mod alone;
mod ask;
mod cold;
mod link;
mod queue;
mod ramp;
mod rank;
mod sample;
mod slowdown;
#[cfg(test)]
mod tests;
mod times;

use std::time::{Duration, Instant};

use crate::admission::{
    adaptive::AdaptiveLimit,
    alone::{AloneQueue, MAX_ALONE},
    cold::ColdRate,
    link::LinkBacklog,
    ramp::Ramp,
    rank::RankedQueue,
    slowdown::SlowdownDetector,
    times::RankTimes,
};

pub use self::{
    ask::{
        AdmissionDecision, AdmissionRequest, QueueDecision, QueueTicket, Rejection, RejectionCause,
        StartMark,
    },
    rank::Rank,
    sample::{Sample, SampleResult},
};

/// Admission to one upstream.
///
/// The limit is the lowest of the upstream's slots, of what latency and
/// failures show (adaptive limit) and of what a cold start bears (ramp). What
/// exceeds it waits in a bounded queue, by rank and fair between callers, or is
/// refused at once when it can't be served in time.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    adaptive: AdaptiveLimit,
    ramp: Ramp,
    cold: ColdRate,
    link: LinkBacklog,
    queue: RankedQueue,
    times: RankTimes,
    slowdown: SlowdownDetector,
    alone: AloneQueue,
    active: u32,
    starts: u64,
    recent: u8,
}

/// Bounds and switches of an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Whether latency and failures lower the limit.
    pub adaptive: bool,
    /// Whether there is a limit at all.
    pub has_limit: bool,
    /// Whether an upstream that started gets a trickle first.
    pub has_ramp: bool,
    /// Requests a second that a cold upstream bears, where its service states it; there is no
    /// ramp then.
    pub cold_per_second: Option<u32>,
    /// Bytes a second that the link of the upstream's VM carries, where they are known.
    pub link_rate: Option<u64>,
}

/// Time for which requests wait in a full queue, about.
const QUEUE_TARGET: Duration = Duration::from_millis(100);
/// Requests that may wait in any case.
const MIN_QUEUED: usize = 4;
/// Most requests that wait.
const MAX_QUEUED: usize = 1024;
/// Shortest time after which a refused request is worth a resend.
const MIN_AFTER: Duration = Duration::from_millis(10);
/// Share of the time that a request can wait and still be in time for which it is let wait: the
/// time that it takes itself varies.
const WAIT_SHARE: f64 = 0.7;
/// Sheds among the last eight results that stand for a restart.
const SHED_BURST: u32 = 4;

impl Admission {
    /// Returns the admission to an upstream that was never contacted.
    #[must_use]
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        let mut admission = Self {
            settings,
            adaptive: AdaptiveLimit::new(settings.slots),
            ramp: Ramp::default(),
            cold: ColdRate::new(settings.cold_per_second),
            link: LinkBacklog::new(settings.link_rate),
            queue: RankedQueue::default(),
            times: RankTimes::default(),
            slowdown: SlowdownDetector::default(),
            alone: AloneQueue::default(),
            active: 0,
            starts: 0,
            recent: 0,
        };
        admission.record_restart(now);
        admission
    }

    /// Decides on a request that arrives.
    pub fn submit(&mut self, mut ask: AdmissionRequest, now: Instant) -> AdmissionDecision {
        if !self.settings.has_limit {
            self.count_start(now);
            return AdmissionDecision::Start;
        }
        if let Some(after) = self.ramp.down_for(now) {
            return AdmissionDecision::Refuse(reject(RejectionCause::Down, after));
        }
        if ask.alone {
            return self.arrive_alone(ask, now);
        }
        let is_first = self.queue.is_empty() && self.has_link_room(ask.rank);
        if is_first && self.has_room(now) && !self.alone.holds_others(now) {
            self.start(now);
            return AdmissionDecision::Start;
        }
        let time = self.time_of(ask.rank);
        ask.rank.is_late |= ask.target.is_some_and(|target| now + time > target);
        let wait = self.wait_of(ask.rank, now);
        if now + wait + time > ask.deadline {
            return AdmissionDecision::Refuse(reject(RejectionCause::DeadlineExceeded, wait));
        }
        if !self.has_place(&ask, wait, time, now) {
            return AdmissionDecision::Refuse(reject(RejectionCause::QueueFull, wait));
        }
        ask.expires_at = Some(patience(&ask, time, now));
        AdmissionDecision::Wait(self.queue.push(ask))
    }

    /// Returns whether one more request may wait. One whose caller wants the answer by a time may
    /// wait as long as it can still be in time; the others share a bounded queue.
    fn has_place(
        &mut self,
        ask: &AdmissionRequest,
        wait: Duration,
        time: Duration,
        now: Instant,
    ) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        let is_known = !self.times.all().held.is_zero();
        match ask.target.filter(|_| is_known && !ask.rank.is_late) {
            Some(target) => {
                let slack = target.saturating_duration_since(now);
                wait <= slack.saturating_sub(time).mul_f64(WAIT_SHARE)
            }
            None if is_known && ask.target.is_some() => wait <= QUEUE_TARGET,
            None => self.queue.len() < self.queue_bound() || self.queue.make_room(ask),
        }
    }

    /// Returns the next waiting request that has its turn; to be called until it is `None`.
    pub fn next_decision(&mut self, now: Instant) -> Option<QueueDecision> {
        let wait = self.wait_of(Rank::LAST, now);
        if let Some(ticket) = self.queue.take_evicted() {
            return Some(QueueDecision::Refuse(
                ticket,
                reject(RejectionCause::QueueFull, wait),
            ));
        }
        if let Some(ticket) = self.queue.pop_expired(now) {
            return Some(QueueDecision::Refuse(
                ticket,
                reject(RejectionCause::DeadlineExceeded, wait),
            ));
        }
        if let Some(after) = self.ramp.down_for(now) {
            let (ticket, _) = self.alone.pop(now).or_else(|| self.queue.pop())?;
            return Some(QueueDecision::Refuse(
                ticket,
                reject(RejectionCause::Down, after),
            ));
        }
        if let Some(turn) = self.next_alone(now) {
            return Some(turn);
        }
        if !self.has_room(now) || self.alone.holds_others(now) {
            return None;
        }
        let rank = self.queue.ranks().find(|rank| self.has_link_room(*rank))?;
        let (ticket, ask) = self.queue.pop_rank(rank)?;
        if now + self.time_of(ask.rank) > ask.deadline {
            return Some(QueueDecision::Refuse(
                ticket,
                reject(RejectionCause::DeadlineExceeded, wait),
            ));
        }
        self.start(now);
        Some(QueueDecision::Start(ticket))
    }

    /// Takes a waiting request out; returns whether it still waited.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.alone.remove(ticket) || self.queue.remove(ticket)
    }

    /// Learns from a request that ran.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        self.recent = self.recent << 1 | u8::from(sample.result == SampleResult::Shed);
        match sample.result {
            SampleResult::Answered => {
                let usual = self.times.of(sample.rank).latency;
                let is_slow = self.slowdown.answered(sample.latency, usual);
                if is_slow && self.settings.adaptive && !self.ramp.is_cold() {
                    self.record_restart(now);
                }
                self.times.answered(sample.rank, sample.latency);
                self.adaptive.answered(sample.latency, self.active, now);
                self.ramp
                    .answered(sample.started, sample.latency, self.settings.slots, now);
            }
            SampleResult::Shed if self.recent.count_ones() >= SHED_BURST => {
                self.recent = 0;
                self.adaptive.failed(now);
                self.ramp.failed(sample.started, now);
                if !self.ramp.is_cold() {
                    self.record_restart(now);
                }
            }
            SampleResult::Shed | SampleResult::Failed => {
                self.adaptive.failed(now);
                self.ramp.failed(sample.started, now);
            }
            SampleResult::Refused => {
                self.record_restart(now);
                self.ramp.refused(sample.started, now);
            }
            SampleResult::Abandoned => {}
        }
    }

    /// Gives a slot back that was held for a time.
    ///
    /// # Panics
    ///
    /// Panics when more slots are given back than were taken.
    pub fn release(&mut self, held: Duration, alone: bool, rank: Rank) {
        if alone {
            self.alone.finish();
        }
        self.active = self.active.checked_sub(1).expect("a slot was taken");
        self.times.released(rank, held);
    }

    /// Counts the answer to a request that was just started as one that is to cross the link;
    /// returns the bytes that are expected of it.
    pub fn expect_response(&mut self, rank: Rank) -> u64 {
        let bytes = self.times.of(rank).bytes;
        self.link.add(bytes);
        bytes
    }

    /// Corrects what is expected of an answer, when its length is told or when a part of it was
    /// sent.
    pub fn update_response(&mut self, before: u64, now: u64) {
        self.link.remove(before);
        self.link.add(now);
    }

    /// Returns the time that the link needs for the answers of requests that run; zero where its rate
    /// is not known.
    #[must_use]
    pub fn link_backlog(&self) -> Duration {
        self.link.backlog()
    }

    /// Learns the length of a whole answer in bytes.
    pub fn record_length(&mut self, rank: Rank, bytes: u64) {
        self.times.sent(rank, bytes);
    }

    /// Takes note of a sign that the upstream has restarted and is cold.
    pub fn record_restart(&mut self, now: Instant) {
        let is_ramped = self.settings.has_ramp && self.settings.cold_per_second.is_none();
        if is_ramped && self.settings.slots > 1 {
            self.ramp.start(now);
        }
    }

    /// Takes note of how long the upstream stays cold, as its platform or itself tells.
    pub fn set_cold_for(&mut self, time: Duration, now: Instant) {
        self.cold.set_until(now + time);
    }

    /// Counts on an earlier process beside the upstream, which may have started as many requests as
    /// a cold upstream bears just before this process began.
    pub fn assume_prior_starts(&mut self, began: Instant) {
        self.cold.fill(began);
    }

    /// Takes in changed bounds; a lower limit holds for what starts from now on.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
        self.cold.set_rate(settings.cold_per_second);
        self.link.set_rate(settings.link_rate);
        self.adaptive.set_slots(settings.slots);
    }

    /// Returns how many requests may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if !self.settings.has_limit {
            return u32::MAX;
        }
        let mut limit = self.settings.slots;
        if self.settings.adaptive {
            limit = limit.min(self.adaptive.limit());
        }
        if let Some(cold) = self.ramp.limit() {
            limit = limit.min(cold);
        }
        limit.max(1)
    }

    /// Returns how many requests can be expected to run at once, also by the rate of a cold upstream.
    #[must_use]
    pub fn expected_limit(&self, now: Instant) -> u32 {
        let limit = self.limit();
        self.cold
            .concurrency(self.times.all().latency, now)
            .map_or(limit, |cold| cold.min(limit))
    }

    /// Returns whether the upstream still gets less than it can bear when warm.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.ramp.is_cold() || self.cold.is_cold(now)
    }

    /// Returns a mark of the request that was started last, for [`Self::ran_alone`].
    #[must_use]
    pub fn start_mark(&self) -> StartMark {
        StartMark((self.active == 1).then_some(self.starts))
    }

    /// Returns whether nothing has run beside the request that was started at a mark.
    #[must_use]
    pub fn ran_alone(&self, mark: StartMark) -> bool {
        mark.0 == Some(self.starts)
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + self.alone.len()
    }

    fn arrive_alone(&mut self, ask: AdmissionRequest, now: Instant) -> AdmissionDecision {
        if self.active == 0 && self.alone.len() == 0 && self.cold.has_room(now) {
            self.start(now);
            self.alone.start(now);
            return AdmissionDecision::Start;
        }
        if self.alone.is_full() {
            let wait = self.times.all().held * MAX_ALONE;
            return AdmissionDecision::Refuse(reject(RejectionCause::QueueFull, wait));
        }
        let ticket = self.queue.issue();
        self.alone.push(ticket, ask, now);
        AdmissionDecision::Wait(ticket)
    }

    fn next_alone(&mut self, now: Instant) -> Option<QueueDecision> {
        let is_free = self.active == 0 || self.has_room(now) && self.alone.waited_enough(now);
        if self.alone.is_running() || !is_free || !self.cold.has_room(now) {
            return None;
        }
        let (ticket, ask) = self.alone.pop(now)?;
        let times = self.times.all();
        if now + times.latency > ask.deadline {
            let rejection = reject(RejectionCause::DeadlineExceeded, times.held);
            return Some(QueueDecision::Refuse(ticket, rejection));
        }
        if self.active == 0 {
            self.alone.start(now);
        } else {
            self.alone.start_beside();
        }
        self.start(now);
        Some(QueueDecision::Start(ticket))
    }

    fn has_room(&self, now: Instant) -> bool {
        self.active < self.limit() && self.cold.has_room(now)
    }

    fn count_start(&mut self, now: Instant) {
        self.active += 1;
        self.starts += 1;
        self.cold.start(now);
    }

    fn start(&mut self, now: Instant) {
        self.count_start(now);
        assert!(
            self.active <= self.settings.slots,
            "an upstream must not get more than its slots"
        );
    }

    /// Returns whether the link has room for one more answer to a request of a rank.
    fn has_link_room(&self, rank: Rank) -> bool {
        self.link.has_room(self.times.of(rank), rank.wanted())
    }

    /// Returns the time that a request of a rank waits behind the others, about.
    fn wait_of(&self, rank: Rank, now: Instant) -> Duration {
        let over = self.active.saturating_sub(self.limit());
        let mut ahead = 0;
        let mut ahead_bytes = 0;
        let mut work = self.times.all().held * over;
        for (rank, waiting) in self.queue.up_to(rank) {
            ahead += waiting;
            let times = self.times.of(rank);
            work += times.held * u32::try_from(waiting).unwrap_or(u32::MAX);
            ahead_bytes += times.bytes * waiting as u64;
        }
        let wait = work / self.limit();
        let times = self.times.of(rank);
        let link = self.link.wait(times, rank.wanted(), ahead_bytes);
        wait.max(self.cold.wait_behind(ahead, now)).max(link)
    }

    /// Returns the time from the start of a request of a rank until its whole answer is sent, about.
    fn time_of(&self, rank: Rank) -> Duration {
        let times = self.times.of(rank);
        if self.link.is_small(times.bytes) {
            return times.latency;
        }
        times.held.max(times.latency)
    }

    fn queue_bound(&self) -> usize {
        let limit = self.limit() as usize;
        let least = limit.clamp(MIN_QUEUED, MAX_QUEUED);
        let held = self.times.all().held;
        if held.is_zero() {
            return least;
        }
        let rounds = QUEUE_TARGET.as_secs_f64() / held.as_secs_f64();
        let bound = (limit as f64 * rounds) as usize;
        bound.clamp(least, MAX_QUEUED)
    }
}

/// Returns until when a request waits: as long as it can be answered at all, or, if its answer is
/// late in any case, for a short time.
fn patience(ask: &AdmissionRequest, time: Duration, now: Instant) -> Instant {
    let last = ask.deadline.checked_sub(time).unwrap_or(now);
    if ask.rank.is_late {
        return last.min(now + QUEUE_TARGET * 2);
    }
    last
}

fn reject(cause: RejectionCause, after: Duration) -> Rejection {
    Rejection {
        cause,
        retry_after: after.max(MIN_AFTER),
    }
}
