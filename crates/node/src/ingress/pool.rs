//! Pool of connections to sidecars, one for each address.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use h2::PingPong;
use log::debug;
use rand::Rng;
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{
    ingress::{
        channel::Channel,
        keepalive::{self, PingAlarm},
    },
    transport::TransportError,
};

/// Upper bound of the delay before the first reconnect after a failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a failed connection is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Pool of connections to sidecars, local to the thread that serves callers.
pub(super) struct Pool {
    local: IpAddr,
    entries: RefCell<HashMap<SocketAddr, Rc<PoolEntry>>>,
    alarm: Rc<PingAlarm>,
    token: CancellationToken,
}

struct PoolEntry {
    address: SocketAddr,
    state: RefCell<State>,
    changed: Notify,
    failures: Cell<u32>,
    last_used: Cell<Instant>,
}

enum State {
    Idle,
    Connecting,
    Ready(Rc<Channel>),
    BackingOff { until: Instant },
}

impl Pool {
    /// Creates an empty pool whose connections bind to `local` and are opened until the token is
    /// cancelled.
    pub(super) fn new(local: IpAddr, token: CancellationToken) -> Self {
        Self {
            local,
            entries: RefCell::default(),
            alarm: Rc::default(),
            token,
        }
    }

    /// Returns the connection to an address, opening it if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened or a retry is not due yet.
    pub(super) async fn get(&self, address: SocketAddr) -> Result<Rc<Channel>, Unreachable> {
        let entry = self.entry(address);
        entry.last_used.set(Instant::now());
        loop {
            let changed = entry.changed.notified();
            match entry.status() {
                EntryStatus::Ready(channel) => return Ok(channel),
                EntryStatus::BackingOff => return Err(Unreachable),
                EntryStatus::Idle => self.open(&entry),
                EntryStatus::Connecting => {}
            }
            changed.await;
        }
    }

    /// Returns the addresses of sidecars whose connection was lost or could not be opened, and has
    /// not been opened again since.
    pub(super) fn unreachable(&self) -> HashSet<SocketAddr> {
        let entries = self.entries.borrow();
        let unreachable = entries.values().filter(|entry| entry.is_unreachable());
        unreachable.map(|entry| entry.address).collect()
    }

    /// Returns the round trip to a sidecar, as measured by pings; `None` without a connection.
    pub(super) fn round_trip(&self, address: SocketAddr) -> Option<Duration> {
        let entries = self.entries.borrow();
        match &*entries.get(&address)?.state.borrow() {
            State::Ready(channel) => Some(channel.round_trip()),
            _ => None,
        }
    }

    /// Starts opening the connection to an address if there is none.
    pub(super) fn preconnect(&self, address: SocketAddr) {
        let entry = self.entry(address);
        if matches!(entry.status(), EntryStatus::Idle) {
            self.open(&entry);
        }
    }

    /// Drops connections that are not targets and were not used within `idle_timeout`.
    pub(super) fn evict_idle(
        &self,
        idle_timeout: Duration,
        is_target: impl Fn(SocketAddr) -> bool,
    ) {
        let is_kept = |address: &SocketAddr, entry: &mut Rc<PoolEntry>| {
            is_target(*address) || entry.last_used.get().elapsed() < idle_timeout
        };
        self.entries.borrow_mut().retain(is_kept);
    }

    fn entry(&self, address: SocketAddr) -> Rc<PoolEntry> {
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(address);
        Rc::clone(entry.or_insert_with(|| Rc::new(PoolEntry::new(address))))
    }

    fn open(&self, entry: &Rc<PoolEntry>) {
        let previous = entry.state.replace(State::Connecting);
        if matches!(previous, State::Ready(_)) {
            entry.failures.set(1);
        }
        let entry = Rc::clone(entry);
        let alarm = Rc::clone(&self.alarm);
        let local = self.local;
        let token = self.token.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = token.cancelled() => entry.mark_failed(),
                result = Channel::open(local, entry.address) => entry.finish_connect(result, &alarm),
            }
        });
    }
}

/// No connection to the address is available; nothing was sent.
#[derive(Debug)]
pub(super) struct Unreachable;

enum EntryStatus {
    Ready(Rc<Channel>),
    BackingOff,
    Idle,
    Connecting,
}

impl PoolEntry {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: RefCell::new(State::Idle),
            changed: Notify::new(),
            failures: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        }
    }

    fn status(&self) -> EntryStatus {
        match &*self.state.borrow() {
            State::Ready(channel) if !channel.is_usable() => EntryStatus::Idle,
            State::Ready(channel) => EntryStatus::Ready(Rc::clone(channel)),
            State::BackingOff { until } if Instant::now() < *until => EntryStatus::BackingOff,
            State::BackingOff { .. } | State::Idle => EntryStatus::Idle,
            State::Connecting => EntryStatus::Connecting,
        }
    }

    /// Returns whether the connection was lost or could not be opened. A connection that was never
    /// tried, or whose next attempt is due, counts as reachable.
    fn is_unreachable(&self) -> bool {
        match &*self.state.borrow() {
            State::Ready(channel) => !channel.is_usable(),
            State::BackingOff { until } => Instant::now() < *until,
            State::Connecting => self.failures.get() > 0,
            State::Idle => false,
        }
    }

    fn finish_connect(
        &self,
        result: Result<(Channel, PingPong), TransportError>,
        alarm: &Rc<PingAlarm>,
    ) {
        match result {
            Ok((channel, ping)) => self.mark_ready(Rc::new(channel), ping, alarm),
            Err(err) => {
                debug!("failed to connect to sidecar at {}: {err}", self.address);
                self.mark_failed();
            }
        }
    }

    fn mark_ready(&self, channel: Rc<Channel>, ping: PingPong, alarm: &Rc<PingAlarm>) {
        self.failures.set(0);
        keepalive::spawn(self.address, &channel, ping, alarm);
        self.state.replace(State::Ready(channel));
        self.changed.notify_waiters();
    }

    fn mark_failed(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let until = Instant::now() + retry_delay(failures);
        self.state.replace(State::BackingOff { until });
        self.changed.notify_waiters();
    }
}

/// Returns the delay before the next attempt to connect: exponential backoff with jitter.
fn retry_delay(failures: u32) -> Duration {
    let ceiling = MIN_RETRY_DELAY.saturating_mul(1 << failures.min(10));
    let ceiling = ceiling.min(MAX_RETRY_DELAY);
    ceiling.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Interval at which missing connections to the targets are opened.
const PRECONNECT_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps connections to the addresses returned by `targets` open until the token is cancelled.
pub(super) async fn maintain_connections(
    pool: Rc<Pool>,
    idle_timeout: Duration,
    mut targets: impl FnMut() -> Rc<Vec<SocketAddr>>,
) {
    let token = pool.token.clone();
    while !token.is_cancelled() {
        let addresses = targets();
        for address in addresses.iter() {
            pool.preconnect(*address);
        }
        pool.evict_idle(idle_timeout, |address| addresses.contains(&address));
        tokio::select! {
            () = token.cancelled() => {}
            () = sleep(PRECONNECT_INTERVAL) => {}
        }
    }
}
