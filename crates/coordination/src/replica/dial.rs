//! Attempts to reach addresses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;

use super::output::LinkId;
use crate::backoff::Backoff;

/// Delays between attempts to reach one address.
const REDIAL: Backoff = Backoff {
    first: Duration::from_millis(400),
    limit: Duration::from_secs(8),
};
/// Time after which the next candidate is dialled beside a slow one.
pub(super) const HEDGE: Duration = Duration::from_millis(300);
/// Delay before this node's own address is dialled again.
const OWN_DELAY: Duration = Duration::from_secs(3600);

/// State of all addresses that were dialled.
#[derive(Clone, Debug, Default)]
pub(super) struct Dials {
    dials: BTreeMap<SocketAddr, Dial>,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    state: State,
    failures: u32,
    next: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Dialing(Instant),
    Linked(LinkId),
}

/// What a dial to an address would mean now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DialState {
    /// The address may be dialled.
    Ready,
    /// An attempt began a moment ago.
    Pending,
    /// An attempt takes long.
    Slow,
    /// A link to the address exists.
    Linked(LinkId),
    /// The address failed and waits.
    Waiting,
}

impl Dials {
    /// Returns the state of an address.
    pub(super) fn state(&self, address: SocketAddr, now: Instant) -> DialState {
        let Some(dial) = self.dials.get(&address) else {
            return DialState::Ready;
        };
        match dial.state {
            State::Linked(link) => DialState::Linked(link),
            State::Dialing(since) if now.saturating_duration_since(since) < HEDGE => {
                DialState::Pending
            }
            State::Dialing(_) => DialState::Slow,
            State::Idle if dial.next > now => DialState::Waiting,
            State::Idle => DialState::Ready,
        }
    }

    /// Returns whether the last attempt failed, or the last link broke.
    pub(super) fn has_failed(&self, address: SocketAddr) -> bool {
        let dial = self.dials.get(&address);
        dial.is_some_and(|dial| dial.failures > 0 && !matches!(dial.state, State::Linked(_)))
    }

    /// Returns the count of attempts under way.
    pub(super) fn pending(&self, now: Instant) -> usize {
        let dials = self.dials.keys();
        dials
            .filter(|&&address| self.state(address, now) == DialState::Pending)
            .count()
    }

    /// Notes that an attempt begins.
    pub(super) fn begin(&mut self, address: SocketAddr, now: Instant) {
        let dial = self.entry(address, now);
        dial.state = State::Dialing(now);
    }

    /// Notes that an attempt ended in a link.
    pub(super) fn linked(&mut self, address: SocketAddr, link: LinkId, now: Instant) {
        self.entry(address, now).state = State::Linked(link);
    }

    /// Notes that the neighbour at the address has said hello.
    pub(super) fn hello_received(&mut self, address: SocketAddr, now: Instant) {
        self.entry(address, now).failures = 0;
    }

    /// Notes that an attempt failed or a link broke.
    pub(super) fn failed(&mut self, address: SocketAddr, now: Instant, rng: &mut impl Rng) {
        let dial = self.entry(address, now);
        dial.state = State::Idle;
        dial.failures += 1;
        dial.next = now + REDIAL.delay(dial.failures, rng);
    }

    /// Notes that a link was closed on purpose.
    pub(super) fn released(&mut self, address: SocketAddr, now: Instant) {
        self.entry(address, now).state = State::Idle;
    }

    /// Notes that the address is that of this node.
    pub(super) fn own(&mut self, address: SocketAddr, now: Instant) {
        let dial = self.entry(address, now);
        dial.state = State::Idle;
        dial.next = now + OWN_DELAY;
    }

    /// Forgets addresses that are no longer in use.
    pub(super) fn retain(&mut self, is_used: impl Fn(SocketAddr) -> bool) {
        self.dials
            .retain(|&address, dial| dial.state != State::Idle || is_used(address));
    }

    fn entry(&mut self, address: SocketAddr, now: Instant) -> &mut Dial {
        self.dials.entry(address).or_insert(Dial {
            state: State::Idle,
            failures: 0,
            next: now,
        })
    }
}
