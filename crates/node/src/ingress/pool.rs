//! Connections to the sidecars of other nodes, one for each address.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
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
    ingress::{channel::Channel, keepalive},
    transport::TransportError,
};

/// Shortest pause before a failed connection is tried again.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a failed connection is tried again.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Connections to sidecars; lives on the thread that serves callers.
pub(super) struct Pool {
    local: IpAddr,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    token: CancellationToken,
}

struct Link {
    address: SocketAddr,
    state: RefCell<State>,
    changed: Notify,
    failures: Cell<u32>,
    used: Cell<Instant>,
}

enum State {
    Idle,
    Connecting,
    Ready(Rc<Channel>),
    Resting { until: Instant },
}

impl Pool {
    /// Returns an empty pool whose connections start from `local` and end with the token.
    pub(super) fn new(local: IpAddr, token: CancellationToken) -> Self {
        Self {
            local,
            links: RefCell::default(),
            token,
        }
    }

    /// Returns the connection to an address and opens it if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the address can't be reached; nothing was sent then.
    pub(super) async fn get(&self, address: SocketAddr) -> Result<Rc<Channel>, Unreachable> {
        let link = self.link(address);
        link.used.set(Instant::now());
        loop {
            let changed = link.changed.notified();
            match link.poll() {
                Found::Ready(channel) => return Ok(channel),
                Found::Resting => return Err(Unreachable),
                Found::Idle => self.open(&link),
                Found::Connecting => {}
            }
            changed.await;
        }
    }

    /// Opens a connection ahead of need.
    pub(super) fn warm(&self, address: SocketAddr) {
        let link = self.link(address);
        if matches!(link.poll(), Found::Idle) {
            self.open(&link);
        }
    }

    /// Ends connections that are not wanted and were not used for a while.
    pub(super) fn prune(&self, idle: Duration, is_wanted: impl Fn(SocketAddr) -> bool) {
        let is_kept = |address: &SocketAddr, link: &mut Rc<Link>| {
            is_wanted(*address) || link.used.get().elapsed() < idle
        };
        self.links.borrow_mut().retain(is_kept);
    }

    fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address);
        Rc::clone(link.or_insert_with(|| Rc::new(Link::new(address))))
    }

    fn open(&self, link: &Rc<Link>) {
        link.state.replace(State::Connecting);
        let link = Rc::clone(link);
        let local = self.local;
        let token = self.token.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = token.cancelled() => link.fail(),
                opened = Channel::open(local, link.address) => link.settle(opened),
            }
        });
    }
}

/// The address can't be reached; nothing was sent.
#[derive(Debug)]
pub(super) struct Unreachable;

enum Found {
    Ready(Rc<Channel>),
    Resting,
    Idle,
    Connecting,
}

impl Link {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            state: RefCell::new(State::Idle),
            changed: Notify::new(),
            failures: Cell::new(0),
            used: Cell::new(Instant::now()),
        }
    }

    fn poll(&self) -> Found {
        match &*self.state.borrow() {
            State::Ready(channel) if !channel.is_usable() => Found::Idle,
            State::Ready(channel) => Found::Ready(Rc::clone(channel)),
            State::Resting { until } if Instant::now() < *until => Found::Resting,
            State::Resting { .. } | State::Idle => Found::Idle,
            State::Connecting => Found::Connecting,
        }
    }

    fn settle(&self, opened: Result<(Channel, PingPong), TransportError>) {
        match opened {
            Ok((channel, ping)) => self.succeed(Rc::new(channel), ping),
            Err(err) => {
                debug!("sidecar at {} is out of reach: {err}", self.address);
                self.fail();
            }
        }
    }

    fn succeed(&self, channel: Rc<Channel>, ping: PingPong) {
        self.failures.set(0);
        keepalive::spawn(self.address, &channel, ping);
        self.state.replace(State::Ready(channel));
        self.changed.notify_waiters();
    }

    fn fail(&self) {
        let failures = self.failures.get();
        self.failures.set(failures.saturating_add(1));
        let until = Instant::now() + pause(failures);
        self.state.replace(State::Resting { until });
        self.changed.notify_waiters();
    }
}

/// Returns a jittered pause that doubles with each failure.
fn pause(failures: u32) -> Duration {
    let longest = MIN_PAUSE.saturating_mul(1 << failures.min(10));
    let longest = longest.min(MAX_PAUSE);
    longest.mul_f64(rand::rng().random_range(0.5..=1.0))
}

/// Pause between rounds that open connections ahead of need.
const WARM_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the connections to the addresses that `wanted` returns open until the token ends.
pub(super) async fn keep_warm(
    pool: Rc<Pool>,
    idle: Duration,
    mut wanted: impl FnMut() -> Rc<Vec<SocketAddr>>,
) {
    let token = pool.token.clone();
    while !token.is_cancelled() {
        let addresses = wanted();
        for address in addresses.iter() {
            pool.warm(*address);
        }
        pool.prune(idle, |address| addresses.contains(&address));
        tokio::select! {
            () = token.cancelled() => {}
            () = sleep(WARM_INTERVAL) => {}
        }
    }
}
