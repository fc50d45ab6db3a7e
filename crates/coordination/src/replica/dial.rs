//! Dial attempts by address.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;

use super::output::LinkId;
use crate::backoff::Backoff;

/// Backoff between attempts to dial one address.
const REDIAL_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(400),
    limit: Duration::from_secs(8),
};
/// Time after which the next candidate is dialled in parallel to a slow attempt.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(300);
/// Delay before this node's own address is dialled again.
const OWN_ADDRESS_DELAY: Duration = Duration::from_secs(3600);

/// State of all dialled addresses.
#[derive(Clone, Debug, Default)]
pub(super) struct DialTable {
    dials: BTreeMap<SocketAddr, Dial>,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    phase: Phase,
    failures: u32,
    next_attempt: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Dialing(Instant),
    Linked(LinkId),
}

/// State of an address with respect to dialling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DialState {
    /// The address may be dialled.
    Ready,
    /// An attempt started less than `HEDGE_DELAY` ago.
    Pending,
    /// An attempt has been running for `HEDGE_DELAY` or longer.
    Slow,
    /// A link to the address exists.
    Linked(LinkId),
    /// The last attempt failed, or the address is this node's own, and the delay has not passed.
    BackingOff,
}

impl DialTable {
    /// Returns the state of an address.
    pub(super) fn state(&self, address: SocketAddr, now: Instant) -> DialState {
        let Some(dial) = self.dials.get(&address) else {
            return DialState::Ready;
        };
        match dial.phase {
            Phase::Linked(link) => DialState::Linked(link),
            Phase::Dialing(since) if now.saturating_duration_since(since) < HEDGE_DELAY => {
                DialState::Pending
            }
            Phase::Dialing(_) => DialState::Slow,
            Phase::Idle if dial.next_attempt > now => DialState::BackingOff,
            Phase::Idle => DialState::Ready,
        }
    }

    /// Returns whether an attempt failed or a link broke since the last hello, and no link is up.
    pub(super) fn has_failed(&self, address: SocketAddr) -> bool {
        let dial = self.dials.get(&address);
        dial.is_some_and(|dial| dial.failures > 0 && !matches!(dial.phase, Phase::Linked(_)))
    }

    /// Returns the number of attempts that started less than `HEDGE_DELAY` ago.
    pub(super) fn pending_count(&self, now: Instant) -> usize {
        let dials = self.dials.keys();
        dials
            .filter(|&&address| self.state(address, now) == DialState::Pending)
            .count()
    }

    /// Records the start of an attempt.
    pub(super) fn record_attempt(&mut self, address: SocketAddr, now: Instant) {
        let dial = self.entry(address, now);
        dial.phase = Phase::Dialing(now);
    }

    /// Records that a link to the address came up.
    pub(super) fn record_link(&mut self, address: SocketAddr, link: LinkId, now: Instant) {
        self.entry(address, now).phase = Phase::Linked(link);
    }

    /// Records that a hello arrived from the address.
    pub(super) fn record_hello(&mut self, address: SocketAddr, now: Instant) {
        self.entry(address, now).failures = 0;
    }

    /// Records that an attempt failed or a link broke.
    pub(super) fn record_failure(&mut self, address: SocketAddr, now: Instant, rng: &mut impl Rng) {
        let dial = self.entry(address, now);
        dial.phase = Phase::Idle;
        dial.failures += 1;
        dial.next_attempt = now + REDIAL_BACKOFF.delay(dial.failures, rng);
    }

    /// Records that this node closed the link.
    pub(super) fn record_close(&mut self, address: SocketAddr, now: Instant) {
        self.entry(address, now).phase = Phase::Idle;
    }

    /// Records that the address is this node's own.
    pub(super) fn mark_own(&mut self, address: SocketAddr, now: Instant) {
        let dial = self.entry(address, now);
        dial.phase = Phase::Idle;
        dial.next_attempt = now + OWN_ADDRESS_DELAY;
    }

    /// Removes idle addresses that are no longer in use.
    pub(super) fn retain(&mut self, is_used: impl Fn(SocketAddr) -> bool) {
        self.dials
            .retain(|&address, dial| dial.phase != Phase::Idle || is_used(address));
    }

    fn entry(&mut self, address: SocketAddr, now: Instant) -> &mut Dial {
        self.dials.entry(address).or_insert(Dial {
            phase: Phase::Idle,
            failures: 0,
            next_attempt: now,
        })
    }
}
