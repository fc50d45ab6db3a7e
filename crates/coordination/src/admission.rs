//! Admission control: how many requests an upstream runs at once, and which requests are queued.

mod adaptive;
mod alone;
mod cold;
mod contact;
mod estimate;
mod link;
mod pace;
mod queue;
mod ramp;
mod rank;
mod rates;
mod request;
mod reserve;
mod sample;
mod slowdown;
mod start_log;
mod stated;
mod stats;
#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use crate::{
    admission::{
        adaptive::AdaptiveLimit,
        alone::{AloneQueue, MAX_QUEUED_ALONE},
        contact::Contact,
        estimate::expiry,
        link::LinkBacklog,
        ramp::Ramp,
        rank::RankedQueue,
        rates::RateLimits,
        reserve::Reservation,
        slowdown::SlowdownDetector,
        stats::RankStats,
    },
    statement::{RequestRate, StatedLimit},
};

pub use self::{
    rank::Rank,
    request::{
        AdmissionDecision, AdmissionRequest, QueueDecision, QueueTicket, Rejection, RejectionCause,
        StartMark,
    },
    sample::{Sample, SampleResult},
};

/// Admission control of one upstream.
///
/// The concurrency limit is the minimum of the upstream's slots, the adaptive limit (derived from
/// latency and failures) and the limit of the slow start of a cold upstream (ramp). The rate at
/// which requests start is limited by the cold rate and by what the upstream states. Requests above
/// the limits wait in a bounded queue, ordered by rank and fair between callers, or are refused at
/// once if they cannot be served in time.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    adaptive_limit: AdaptiveLimit,
    ramp: Ramp,
    rates: RateLimits,
    link_backlog: LinkBacklog,
    queue: RankedQueue,
    stats: RankStats,
    slowdown: SlowdownDetector,
    alone_queue: AloneQueue,
    active: u32,
    start_count: u64,
    shed_history: u8,
    contact: Contact,
    reservation: Reservation,
}

/// Limits and switches of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Number of requests that the upstream can run at once.
    pub slots: u32,
    /// Whether latency and failures adjust the limit.
    pub adaptive: bool,
    /// Whether requests are limited at all; otherwise each one starts at once.
    pub has_limit: bool,
    /// Whether an upstream gets a slow start after it was started or restarted.
    pub has_ramp: bool,
    /// Requests per second that a cold upstream can handle, if its service configures this rate; it
    /// replaces the ramp.
    pub cold_per_second: Option<u32>,
    /// Requests that may start at once at the cold rate, which is then spread evenly over time; if
    /// `None`, it limits the starts within each second only.
    pub cold_burst: Option<u32>,
    /// Bandwidth of the link of the upstream's VM in bytes per second, if known.
    pub link_rate: Option<u64>,
}

/// Approximate time that a request spends in a full queue.
const TARGET_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Minimum number of requests that the queue has room for.
const MIN_QUEUED: usize = 4;
/// Maximum number of queued requests.
const MAX_QUEUED: usize = 1024;
/// Minimum time after which a refused request is worth sending again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Share of the slack before its target time that a request may spend in the queue. The rest allows
/// for variation in the duration of the request itself.
const MAX_SLACK_SHARE: f64 = 0.7;
/// Number of shed requests among the last eight results that indicates a restart.
const SHED_BURST: u32 = 4;

impl Admission {
    /// Returns the admission control of an upstream that was never contacted.
    #[must_use]
    pub fn new(settings: AdmissionSettings, now: Instant) -> Self {
        let mut admission = Self {
            settings,
            adaptive_limit: AdaptiveLimit::new(settings.slots),
            ramp: Ramp::default(),
            rates: RateLimits::new(settings.cold_per_second, settings.cold_burst),
            link_backlog: LinkBacklog::new(settings.link_rate),
            queue: RankedQueue::default(),
            stats: RankStats::default(),
            slowdown: SlowdownDetector::default(),
            alone_queue: AloneQueue::default(),
            active: 0,
            start_count: 0,
            shed_history: 0,
            contact: Contact::default(),
            reservation: Reservation::default(),
        };
        admission.record_restart(now);
        admission
    }

    /// Decides whether a new request starts, is queued or is refused.
    pub fn submit(&mut self, mut request: AdmissionRequest, now: Instant) -> AdmissionDecision {
        if !self.settings.has_limit {
            self.count_start(now);
            return AdmissionDecision::Start;
        }
        if let Some(pause) = self.ramp.pause_left(now) {
            return AdmissionDecision::Refuse(rejection(RejectionCause::Down, pause));
        }
        if request.alone {
            return self.submit_alone(request, now);
        }
        let time = self.estimated_duration(request.rank);
        request.rank.is_late |= self.is_late(&request, time, now);
        self.reservation.record(request.rank, now);
        let is_next = self.queue.is_empty() && self.has_link_capacity(request.rank);
        let is_free = self.has_capacity(request.rank, now);
        if is_next && is_free && !self.alone_queue.blocks_others(now) {
            self.start(now);
            return AdmissionDecision::Start;
        }
        let wait = self.estimated_wait(request.rank, now);
        if request.rank.is_late && self.rates.spacing(now).is_some() {
            let wait = wait.max(self.rates.cold().time_left(now));
            return AdmissionDecision::Refuse(rejection(RejectionCause::QueueFull, wait));
        }
        if now + wait + time > request.deadline {
            return AdmissionDecision::Refuse(rejection(RejectionCause::DeadlineExceeded, wait));
        }
        if !self.can_queue(&request, wait, time, now) {
            return AdmissionDecision::Refuse(rejection(RejectionCause::QueueFull, wait));
        }
        request.expires_at = Some(expiry(&request, time, now));
        AdmissionDecision::Wait(self.queue.push(request))
    }

    /// Returns the next queued request that starts or is refused; callers repeat this until `None`.
    pub fn next_decision(&mut self, now: Instant) -> Option<QueueDecision> {
        let wait = self.estimated_wait(Rank::LAST, now);
        if let Some(ticket) = self.queue.take_evicted() {
            return Some(QueueDecision::Refuse(
                ticket,
                rejection(RejectionCause::QueueFull, wait),
            ));
        }
        if let Some(ticket) = self.queue.pop_expired(now) {
            return Some(QueueDecision::Refuse(
                ticket,
                rejection(RejectionCause::DeadlineExceeded, wait),
            ));
        }
        if let Some(pause) = self.ramp.pause_left(now) {
            let (ticket, _) = self.alone_queue.pop(now).or_else(|| self.queue.pop())?;
            return Some(QueueDecision::Refuse(
                ticket,
                rejection(RejectionCause::Down, pause),
            ));
        }
        if let Some(decision) = self.next_alone(now) {
            return Some(decision);
        }
        if self.alone_queue.blocks_others(now) {
            return None;
        }
        let rank = self
            .queue
            .ranks()
            .find(|rank| self.has_link_capacity(*rank))?;
        if !self.has_capacity(rank, now) {
            return None;
        }
        let (ticket, request) = self.queue.pop_rank(rank)?;
        if now + self.estimated_duration(request.rank) > request.deadline {
            return Some(QueueDecision::Refuse(
                ticket,
                rejection(RejectionCause::DeadlineExceeded, wait),
            ));
        }
        self.start(now);
        Some(QueueDecision::Start(ticket))
    }

    /// Removes a request from the queue; returns whether it was still queued.
    pub fn cancel(&mut self, ticket: QueueTicket) -> bool {
        self.alone_queue.remove(ticket) || self.queue.remove(ticket)
    }

    /// Updates the limits from a request that was started.
    pub fn observe(&mut self, sample: Sample, now: Instant) {
        self.shed_history = self.shed_history << 1 | u8::from(sample.result == SampleResult::Shed);
        match sample.result {
            SampleResult::Answered => {
                let baseline = self.stats.of(sample.rank).latency;
                let is_slow = self.slowdown.record_response(sample.latency, baseline);
                if is_slow && self.settings.adaptive && !self.ramp.is_cold() {
                    self.record_restart(now);
                }
                self.stats.record_latency(sample.rank, sample.latency);
                self.adaptive_limit
                    .record_response(sample.latency, self.active, now);
                self.ramp
                    .record_response(sample.started, sample.latency, self.settings.slots, now);
            }
            SampleResult::Shed if self.shed_history.count_ones() >= SHED_BURST => {
                self.shed_history = 0;
                self.adaptive_limit.record_failure(now);
                self.ramp.record_failure(sample.started, now);
                if !self.ramp.is_cold() {
                    self.record_restart(now);
                }
            }
            SampleResult::Shed | SampleResult::Failed => {
                self.adaptive_limit.record_failure(now);
                self.ramp.record_failure(sample.started, now);
            }
            SampleResult::Refused => {
                self.record_restart(now);
                self.ramp.record_refusal(sample.started, now);
            }
            SampleResult::Abandoned => {}
        }
    }

    /// Releases a slot that was occupied for the time `held`.
    ///
    /// # Panics
    ///
    /// Panics when more slots are released than were taken.
    pub fn release(&mut self, held: Duration, alone: bool, rank: Rank) {
        if alone {
            self.alone_queue.finish();
        }
        self.active = self.active.checked_sub(1).expect("a slot was taken");
        self.stats.record_slot_time(rank, held);
    }

    /// Adds the expected response of a request that was just started to the link backlog; returns
    /// its expected size in bytes.
    pub fn expect_response(&mut self, rank: Rank) -> u64 {
        let bytes = self.stats.of(rank).response_bytes;
        self.link_backlog.add(bytes);
        bytes
    }

    /// Corrects the remaining bytes of a response in the link backlog, when its length becomes
    /// known or a part of it was sent.
    pub fn update_response(&mut self, old_bytes: u64, new_bytes: u64) {
        self.link_backlog.remove(old_bytes);
        self.link_backlog.add(new_bytes);
    }

    /// Returns the time that the link needs to send the responses of the running requests; zero if
    /// its bandwidth is unknown.
    #[must_use]
    pub fn link_backlog(&self) -> Duration {
        self.link_backlog.backlog()
    }

    /// Records the length of a complete response in bytes.
    pub fn record_length(&mut self, rank: Rank, bytes: u64) {
        self.stats.record_length(rank, bytes);
    }

    /// Records that the upstream has probably restarted and is cold.
    pub fn record_restart(&mut self, now: Instant) {
        let is_ramped = self.settings.has_ramp && self.settings.cold_per_second.is_none();
        if is_ramped && self.settings.slots > 1 {
            self.ramp.start(now);
        }
    }

    /// Sets how long the upstream stays cold, as reported by its platform or by the upstream.
    pub fn set_cold_for(&mut self, time: Duration, now: Instant) {
        self.rates.cold_mut().set_cold_until(now + time);
    }

    /// Assumes that an earlier sidecar process started as many requests as it was allowed to, just
    /// before this process started: a second's worth, or the burst where starts are spread evenly.
    pub fn assume_prior_starts(&mut self, started_at: Instant) {
        self.rates.fill(started_at);
    }

    /// Returns the time until the limits on the rate allow the next queued request to start; `None`
    /// if nothing is queued or no rate holds it back.
    #[must_use]
    pub fn next_start_in(&self, now: Instant) -> Option<Duration> {
        let best = self.queue.ranks().next();
        let reserve = best.map_or(0, |rank| self.reserve(rank, now));
        let wait = self.rates.queue_wait(0, reserve, now);
        (self.queued() > 0 && !wait.is_zero()).then_some(wait)
    }

    /// Takes over the starts of requests that count for the same address, because the upstream there
    /// has restarted.
    pub fn inherit_starts(&mut self, earlier: &Self) {
        self.rates.inherit_starts(&earlier.rates);
    }

    /// Limits an upstream of which nothing is known to one request at a time until it has answered,
    /// because it may have stated a limit to an earlier sidecar process.
    pub fn await_first_answer(&mut self) {
        self.contact = Contact::Unused;
    }

    /// Records the limit stated in an answer to a request that was sent at `sent_at`; returns
    /// whether the limit in force changed.
    pub fn record_stated_limit(
        &mut self,
        limit: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        self.contact = Contact::Answered;
        self.rates.record_stated(limit, sent_at, now)
    }

    /// Returns the limit in force that the upstream states.
    #[must_use]
    pub fn stated_limit(&self) -> Option<RequestRate> {
        self.rates.stated()
    }

    /// Returns the time until the stated limit allows a health check.
    #[must_use]
    pub fn health_check_delay(&self, now: Instant) -> Duration {
        self.rates.stated_delay(now)
    }

    /// Records that a health check is sent, which counts as a request if the upstream states a
    /// limit.
    pub fn record_health_check(&mut self, now: Instant) {
        if self.rates.stated().is_some() {
            self.rates.record_start(now);
        }
    }

    /// Applies changed settings; a lower limit only affects requests that start later.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        self.settings = settings;
        if settings.cold_per_second.is_some() {
            self.ramp.finish();
        }
        let cold = self.rates.cold_mut();
        cold.set_rate(settings.cold_per_second, settings.cold_burst);
        self.link_backlog.set_rate(settings.link_rate);
        self.adaptive_limit.set_slots(settings.slots);
    }

    /// Returns how many requests may run at once.
    #[must_use]
    pub fn limit(&self) -> u32 {
        if !self.settings.has_limit {
            return u32::MAX;
        }
        let mut limit = self.settings.slots;
        if self.settings.adaptive {
            limit = limit.min(self.adaptive_limit.limit());
        }
        if let Some(ramp_limit) = self.ramp.limit() {
            limit = limit.min(ramp_limit);
        }
        limit.max(1)
    }

    /// Returns how many requests are expected to run at once, taking the limits on the rate into
    /// account.
    #[must_use]
    pub fn expected_limit(&self, now: Instant) -> u32 {
        let limit = self.limit();
        self.rates
            .concurrency(self.stats.all().latency, now)
            .map_or(limit, |running| running.min(limit))
    }

    /// Returns whether the upstream is still limited below its warm capacity.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.ramp.is_cold() || self.rates.cold().is_cold(now)
    }

    /// Returns whether the upstream gets fewer requests than it has capacity for when warm, because it
    /// is cold or states a limit.
    #[must_use]
    pub fn is_throttled(&self, now: Instant) -> bool {
        self.is_cold(now) || self.rates.stated().is_some()
    }

    /// Returns a mark of the request that was started last, for use with [`Self::ran_alone`].
    #[must_use]
    pub fn start_mark(&self) -> StartMark {
        StartMark((self.active == 1).then_some(self.start_count))
    }

    /// Returns whether the request that was started at a mark has run without others in parallel.
    #[must_use]
    pub fn ran_alone(&self, mark: StartMark) -> bool {
        mark.0 == Some(self.start_count)
    }

    /// Returns how many requests are running.
    #[must_use]
    pub fn active(&self) -> u32 {
        self.active
    }

    /// Returns how many requests are queued.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len() + self.alone_queue.len()
    }

    fn submit_alone(&mut self, request: AdmissionRequest, now: Instant) -> AdmissionDecision {
        if self.active == 0 && self.alone_queue.len() == 0 && self.rates.can_start(0, now) {
            self.start(now);
            self.alone_queue.start(now);
            return AdmissionDecision::Start;
        }
        if self.alone_queue.is_full() {
            let wait = self.stats.all().slot_time * MAX_QUEUED_ALONE;
            return AdmissionDecision::Refuse(rejection(RejectionCause::QueueFull, wait));
        }
        let ticket = self.queue.issue_ticket();
        self.alone_queue.push(ticket, request, now);
        AdmissionDecision::Wait(ticket)
    }

    fn next_alone(&mut self, now: Instant) -> Option<QueueDecision> {
        let is_free = self.active == 0 || self.has_slot(now) && self.alone_queue.is_overdue(now);
        if self.alone_queue.is_running() || !is_free || !self.rates.can_start(0, now) {
            return None;
        }
        let (ticket, request) = self.alone_queue.pop(now)?;
        let stats = self.stats.all();
        if now + stats.latency > request.deadline {
            let rejection = rejection(RejectionCause::DeadlineExceeded, stats.slot_time);
            return Some(QueueDecision::Refuse(ticket, rejection));
        }
        if self.active == 0 {
            self.alone_queue.start(now);
        } else {
            self.alone_queue.start_concurrent();
        }
        self.start(now);
        Some(QueueDecision::Start(ticket))
    }

    fn count_start(&mut self, now: Instant) {
        self.active += 1;
        self.start_count += 1;
        self.rates.record_start(now);
        self.contact.record_start(now);
    }

    fn start(&mut self, now: Instant) {
        self.count_start(now);
        assert!(
            self.active <= self.settings.slots,
            "an upstream must not run more requests than it has slots"
        );
    }
}

fn rejection(cause: RejectionCause, after: Duration) -> Rejection {
    Rejection {
        cause,
        retry_after: after.max(MIN_RETRY_AFTER),
    }
}
