//! Tokens of one organisation at a node that serves callers.

use std::time::{Duration, Instant};

use crate::{
    name::OrganisationName,
    organisation::QuotaRate,
    quota::{
        GRANT_TIME, HORIZON_S, OFFLINE_DELAY, OFFLINE_TIME, QuotaBounds, QuotaDemand, QuotaGrant,
        meter::Meter,
    },
    sequence::Sequence,
};

/// Share of the granted tokens below which more are requested before the next refresh.
const LOW_SHARE: f64 = 0.4;
/// Tokens of the bucket for each node from which on tokens needed ahead are rounded up.
const TOKENS_PER_NODE: f64 = 2.0;
/// Tokens needed ahead below which none are held.
const MIN_AHEAD: f64 = 0.1;
/// Size of a grant of which a node whose demand has ended gives back the rest before the next refresh.
const MIN_SURPLUS: f64 = 3.0;
/// Interval between requests of a node that has tokens or an offline rate, shorter than the silence
/// after which the shard owner deducts the offline rate.
pub(super) const REFRESH_INTERVAL: Duration = Duration::from_millis(700);
/// Shortest interval between requests for the same organisation.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time by which that interval grows with each listed node. At 2,000 nodes it is
/// [`REFRESH_INTERVAL`], so that the shard owner gets no more requests than for refreshes.
const MIN_INTERVAL_PER_NODE: Duration = Duration::from_micros(350);
/// Shortest interval after a grant of fewer tokens than wanted at a demand above the rate. At a lower
/// demand the refill serves waiting callers before they give up.
const SHORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time by which that interval grows with each listed node, so that the requests for an organisation
/// above its quota load the shard owner of a large fleet less.
const SHORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(3);
/// Time without use after which a node gives its share back.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Upper bound of the Retry-After of a refused caller.
const MAX_RETRY_S: f64 = 5.0;
/// Lower bound of the Retry-After of a refused caller.
const MIN_RETRY_S: f64 = 0.1;

/// Tokens of one organisation, demand for them, and the last request to the shard owner.
#[derive(Debug)]
pub(super) struct Tokens {
    limit: QuotaRate,
    /// Sequence of the configuration that lowered the limit or began it.
    limited_by: Sequence,
    granted: f64,
    /// Tokens of the last grant when it was applied.
    last_grant: f64,
    granted_until: Instant,
    /// Tokens that accrued without contact.
    accrued: f64,
    accrued_at: Instant,
    /// Part of a token from which accrual starts, different at each node, so that nodes without contact
    /// don't reach their first tokens together.
    phase: f64,
    /// Part of `accrued` that accrual started from.
    advance: f64,
    offline: f64,
    offline_until: Instant,
    confirmed: u64,
    received: Option<Instant>,
    asked: Option<Instant>,
    /// Time of the first request since the last reply.
    unanswered: Option<Instant>,
    /// Time of the first request since the last reply that did not fail at once.
    awaited: Option<Instant>,
    spent_since_ask: f64,
    /// Whether the last grant was short at a demand above the rate.
    is_exhausted: bool,
    refused: u32,
    waiting: usize,
    used: Instant,
    meter: Meter,
}

/// What tokens accrue by without contact.
#[derive(Clone, Copy, Debug)]
pub(super) struct Isolation {
    pub(super) bounds: QuotaBounds,
    pub(super) nodes: usize,
}

impl Tokens {
    /// Returns no tokens. Accrual without contact starts from `phase`, between 0 and 1.
    pub(super) fn new(limit: QuotaRate, limited_by: Sequence, phase: f64, now: Instant) -> Self {
        Self {
            limit,
            limited_by,
            granted: 0.0,
            last_grant: f64::INFINITY,
            granted_until: now,
            accrued: 0.0,
            accrued_at: now,
            phase,
            advance: 0.0,
            offline: 0.0,
            offline_until: now,
            confirmed: 0,
            received: None,
            asked: None,
            unanswered: None,
            awaited: None,
            spent_since_ask: 0.0,
            is_exhausted: false,
            refused: 0,
            waiting: 0,
            used: now,
            meter: Meter::new(now),
        }
    }

    /// Applies a new limit. A lower one ends what was granted by the older one.
    pub(super) fn set_limit(&mut self, limit: QuotaRate, sequence: Sequence) {
        if limit.per_second < self.limit.per_second || limit.burst < self.limit.burst {
            self.granted = self.granted.min(0.0);
            self.drop_accrued();
            self.offline = 0.0;
            self.limited_by = sequence;
        }
        self.limit = limit;
    }

    pub(super) fn count_request(&mut self, now: Instant) {
        self.meter.count(self.limit.per_second.max(1.0), now);
        self.used = self.used.max(now);
    }

    /// Spends a token if there is one.
    pub(super) fn spend(&mut self, isolation: Isolation, now: Instant) -> bool {
        self.roll(isolation, now);
        if self.granted >= 1.0 {
            self.granted -= 1.0;
        } else if self.granted.max(0.0) + self.accrued >= 1.0 {
            self.accrued -= 1.0 - self.granted.max(0.0);
            self.granted = self.granted.min(0.0);
        } else {
            return false;
        }
        self.spent_since_ask += 1.0;
        true
    }

    /// Returns whether a reply of the shard owner can bring tokens soon.
    pub(super) fn can_wait(&self, nodes: usize, now: Instant) -> bool {
        let is_late = |at: Instant| now.saturating_duration_since(at) >= MIN_REPLY_WAIT;
        if self.awaited.is_some_and(is_late) || self.is_offline(now) {
            return false;
        }
        let age = self.received.map(|at| now.saturating_duration_since(at));
        !self.is_exhausted || age.is_none_or(|age| age >= short_interval(nodes))
    }

    /// Returns the time after which a refused caller may try again. Callers refused since the last
    /// grant get times one after the other, as tokens arrive. With contact, the first one
    /// gets the time of the next possible request to the shard owner.
    pub(super) fn refuse(&mut self, isolation: Isolation, now: Instant) -> Duration {
        let earlier = f64::from(self.refused);
        self.refused = self.refused.saturating_add(1);
        let isolated = isolation.bounds.isolated_rate(self.limit, isolation.nodes);
        let share = self.offline.max(isolated);
        let seconds = if self.is_offline(now) {
            (earlier + 1.0) / share.max(f64::MIN_POSITIVE)
        } else {
            #[allow(clippy::cast_precision_loss)]
            let even = self.limit.per_second / isolation.nodes.max(1) as f64;
            let next = self
                .asked
                .map_or(now, |at| at + self.spacing(isolation.nodes));
            let delay = next.saturating_duration_since(now).as_secs_f64();
            delay + earlier / share.max(even).max(f64::MIN_POSITIVE)
        };
        Duration::from_secs_f64(seconds.clamp(MIN_RETRY_S, MAX_RETRY_S))
    }

    pub(super) fn add_waiting(&mut self) {
        self.waiting += 1;
    }

    pub(super) fn remove_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether a request to the shard owner is due.
    pub(super) fn is_due(&self, isolation: Isolation, now: Instant) -> bool {
        let Some(asked) = self.asked else {
            return true;
        };
        let age = now.saturating_duration_since(asked);
        let min = min_interval(isolation.nodes);
        let spacing = self.spacing(isolation.nodes);
        let ahead = self.ahead(isolation, now);
        let is_needed = self.waiting > 0 || self.granted < ahead.min(self.last_grant) * LOW_SHARE;
        // The shard owner takes the last grant for unspent until the next request of the node.
        let is_surplus = (MIN_SURPLUS..f64::MAX).contains(&self.last_grant) && ahead <= 0.0;
        let is_changed = (is_needed && age >= spacing) || (is_surplus && age >= min);
        is_changed || age >= REFRESH_INTERVAL
    }

    /// Returns whether a request for another organisation of the shard takes this one along.
    pub(super) fn joins(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < REFRESH_INTERVAL / 2;
        !self.asked.is_some_and(is_recent)
    }

    /// Returns whether nothing is left to give back or to keep.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        let is_released = self.confirmed > 0
            && self.unanswered.is_none()
            && self.granted <= 0.0
            && self.offline <= 0.0;
        let idle = now.saturating_duration_since(self.used);
        self.waiting == 0
            && ((self.is_idle(now) && is_released) || idle >= IDLE_TIME + OFFLINE_TIME)
    }

    /// Returns the demand for a request that is sent now.
    pub(super) fn ask(
        &mut self,
        organisation: &OrganisationName,
        isolation: Isolation,
        now: Instant,
    ) -> QuotaDemand {
        self.roll(isolation, now);
        self.asked = Some(now);
        self.unanswered.get_or_insert(now);
        self.awaited.get_or_insert(now);
        self.spent_since_ask = 0.0;
        let is_idle = self.is_idle(now);
        let per_second = self.meter.rate(now);
        #[allow(clippy::cast_precision_loss)]
        let wanted = self.ahead(isolation, now) + self.waiting as f64;
        let left = self.offline_until.saturating_duration_since(now);
        let is_offline = self.is_offline(now);
        let wanted = if is_idle { 0.0 } else { wanted };
        // A node that wants nothing keeps what accrued without contact for its next request.
        let returned = if wanted > 0.0 {
            self.accrued - self.advance
        } else {
            0.0
        };
        let demand = QuotaDemand {
            organisation: organisation.clone(),
            confirmed: self.confirmed,
            held: self.granted + returned,
            wanted,
            per_second: if is_idle { 0.0 } else { per_second },
            offline: if left.is_zero() { 0.0 } else { self.offline },
            offline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            is_offline,
        };
        if demand.wanted <= 0.0 {
            self.granted = 0.0;
            if !is_offline {
                self.drop_accrued();
            }
        }
        if is_idle {
            self.offline = 0.0;
        }
        demand
    }

    /// Records that the request sent at `sent` failed at once, so that callers may wait for the next.
    pub(super) fn fail(&mut self, sent: Instant) {
        if self.awaited == Some(sent) {
            self.awaited = None;
        }
    }

    /// Gives everything back with the next request.
    pub(super) fn release(&mut self, now: Instant) {
        self.used = now.checked_sub(IDLE_TIME).unwrap_or(now);
        self.asked = None;
    }

    /// Applies the grant for the request `number` sent at `asked`, unless it follows an older limit.
    pub(super) fn apply(
        &mut self,
        grant: &QuotaGrant,
        number: u64,
        sequence: Sequence,
        now: Instant,
    ) {
        let asked = self.asked.unwrap_or(now);
        self.confirmed = number;
        self.unanswered = None;
        self.awaited = None;
        self.received = Some(now);
        self.refused = 0;
        self.drop_accrued();
        if sequence < self.limited_by {
            self.granted = 0.0;
            self.offline = 0.0;
            return;
        }
        self.granted = grant.tokens - self.spent_since_ask;
        self.last_grant = self.granted.max(1.0);
        self.granted_until = asked + GRANT_TIME;
        self.offline = grant.offline;
        self.offline_until = asked + OFFLINE_TIME;
        self.is_exhausted = grant.is_short && grant.is_above_rate;
    }

    /// Returns the limit, the unspent tokens, the offline rate and the time of the last grant.
    pub(super) fn status(&self) -> (QuotaRate, f64, f64, Option<Instant>) {
        let unspent = self.granted.max(0.0) + self.accrued;
        (self.limit, unspent, self.offline, self.received)
    }

    /// Returns the whole tokens that recent demand needs ahead. Rounding up saves requests if the bucket
    /// has enough tokens for all nodes.
    fn ahead(&self, isolation: Isolation, now: Instant) -> f64 {
        if self.meter.has_ended(now) {
            return 0.0;
        }
        let needed = self.meter.rate(now) * HORIZON_S;
        #[allow(clippy::cast_precision_loss)]
        let nodes = isolation.nodes as f64;
        let is_ample = isolation.bounds.depth(self.limit) >= TOKENS_PER_NODE * nodes;
        if is_ample && needed > MIN_AHEAD {
            needed.ceil()
        } else {
            needed.floor()
        }
    }

    /// Returns the shortest interval between requests that bring tokens.
    fn spacing(&self, nodes: usize) -> Duration {
        if self.is_exhausted {
            short_interval(nodes)
        } else {
            min_interval(nodes)
        }
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.waiting == 0 && now.saturating_duration_since(self.used) >= IDLE_TIME
    }

    fn is_offline(&self, now: Instant) -> bool {
        self.unanswered.is_some_and(|at| now >= at + OFFLINE_DELAY)
    }

    fn drop_accrued(&mut self) {
        self.accrued = 0.0;
        self.advance = 0.0;
    }

    /// Ends what has expired, and accrues tokens without contact, for one second at most.
    fn roll(&mut self, isolation: Isolation, now: Instant) {
        if now >= self.granted_until {
            self.granted = self.granted.min(0.0);
        }
        let Some(begin) = self.unanswered.map(|at| at + OFFLINE_DELAY) else {
            return;
        };
        let since = self.accrued_at.max(begin);
        if now <= since {
            return;
        }
        if since == begin {
            self.accrued = self.phase;
            self.advance = self.phase;
        }
        self.accrued_at = now;
        let isolated = isolation.bounds.isolated_rate(self.limit, isolation.nodes);
        let has_rate = self.offline > 0.0 && now < self.offline_until;
        let rate = if has_rate { self.offline } else { isolated };
        let accrued = self.accrued + rate * (now - since).as_secs_f64();
        self.accrued = accrued.min(rate.max(1.0));
    }
}

/// Time for which the shard owner's reply is awaited, unless there was none recently.
const MIN_REPLY_WAIT: Duration = Duration::from_millis(300);

fn min_interval(nodes: usize) -> Duration {
    interval_per_node(MIN_INTERVAL_PER_NODE, nodes).max(MIN_INTERVAL)
}

fn short_interval(nodes: usize) -> Duration {
    let interval = interval_per_node(SHORT_INTERVAL_PER_NODE, nodes);
    interval.clamp(SHORT_INTERVAL, REFRESH_INTERVAL)
}

fn interval_per_node(part: Duration, nodes: usize) -> Duration {
    part.saturating_mul(u32::try_from(nodes).unwrap_or(u32::MAX))
}
