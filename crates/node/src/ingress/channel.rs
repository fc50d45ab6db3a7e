//! Connection to a sidecar, checked by a ping when it is opened.

use std::{
    cell::Cell,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use h2::{Ping, PingPong};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::transport::{Connection, TransportError, connect_with_window};

/// Flow-control window of one call. It bounds the memory that a slow caller ties up and the bytes
/// that large answers queue ahead of a short one on a slow link.
pub(super) const CALL_WINDOW_BYTES: u32 = 16 << 10;
/// Timeout of the first ping on a new connection.
const FIRST_PONG_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection to a sidecar that is marked when the sidecar stops answering pings.
pub(super) struct Channel {
    connection: Connection,
    suspected: CancellationToken,
    call_started: Rc<Notify>,
    round_trip: Cell<Duration>,
}

impl Channel {
    /// Opens a connection and waits for the answer to a ping, because the kernel accepts connections
    /// even while the process behind the socket is paused.
    ///
    /// # Errors
    ///
    /// Returns an error if the sidecar can't be reached or doesn't answer the ping in time.
    pub(super) async fn open(
        local: IpAddr,
        address: SocketAddr,
    ) -> Result<(Self, PingPong), TransportError> {
        let connection = connect_with_window(local, address, CALL_WINDOW_BYTES).await?;
        let mut ping = connection.take_ping().ok_or(TransportError::Ended)?;
        let sent_at = Instant::now();
        let pong = timeout(FIRST_PONG_TIMEOUT, ping.ping(Ping::opaque())).await;
        pong.map_err(|_| TransportError::Ended)??;
        let round_trip = sent_at.elapsed();
        let suspected = CancellationToken::new();
        let channel = Self {
            connection,
            suspected,
            call_started: Rc::default(),
            round_trip: Cell::new(round_trip),
        };
        Ok((channel, ping))
    }

    pub(super) fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Records how long a ping took.
    pub(super) fn record_round_trip(&self, round_trip: Duration) {
        self.round_trip.set(self.round_trip.get().min(round_trip));
    }

    /// Returns the shortest time that a ping took. Longer ones are mostly those of a busy machine.
    pub(super) fn round_trip(&self) -> Duration {
        self.round_trip.get()
    }

    /// Signals that a call starts, so that pings follow at the shorter interval.
    pub(super) fn notify_call_start(&self) {
        self.call_started.notify_one();
    }

    /// Returns the signal that is raised when a call starts.
    pub(super) fn call_started(&self) -> Rc<Notify> {
        Rc::clone(&self.call_started)
    }

    /// Returns whether new calls may be sent on the connection.
    pub(super) fn is_usable(&self) -> bool {
        !self.connection.is_closed() && !self.suspected.is_cancelled()
    }

    /// Marks the sidecar as suspected of having failed. Calls in flight continue.
    pub(super) fn mark_suspected(&self) {
        self.suspected.cancel();
    }

    /// Waits until the sidecar is suspected of having failed.
    pub(super) async fn wait_suspected(&self) {
        self.suspected.cancelled().await;
    }
}
