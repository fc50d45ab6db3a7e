//! Connection to a sidecar that has shown that it answers.

use std::{
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use h2::{Ping, PingPong};
use tokio::{sync::Notify, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::transport::{Connection, TransportError, connect_windowed};

/// Flow-control window of one call in bytes, which bounds what a slow caller holds back and what
/// several large answers put before a short one on a small link.
pub(super) const CALL_WINDOW_BYTES: u32 = 16 << 10;
/// Longest time until the first answer on a new connection.
const FIRST_PONG_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection to a sidecar, with the doubt whether the sidecar still answers.
pub(super) struct Channel {
    connection: Connection,
    doubt: CancellationToken,
    begun: Rc<Notify>,
}

impl Channel {
    /// Opens a connection and waits until the other side answers on it: the kernel accepts
    /// connections also for a process that is paused.
    ///
    /// # Errors
    ///
    /// Returns an error when the sidecar can't be reached or doesn't answer.
    pub(super) async fn open(
        local: IpAddr,
        address: SocketAddr,
    ) -> Result<(Self, PingPong), TransportError> {
        let connection = connect_windowed(local, address, CALL_WINDOW_BYTES).await?;
        let mut ping = connection.take_ping().ok_or(TransportError::Ended)?;
        let answered = timeout(FIRST_PONG_TIMEOUT, ping.ping(Ping::opaque())).await;
        answered.map_err(|_| TransportError::Ended)??;
        let doubt = CancellationToken::new();
        let channel = Self {
            connection,
            doubt,
            begun: Rc::default(),
        };
        Ok((channel, ping))
    }

    /// Returns the connection.
    pub(super) fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Notes that a call begins to wait for the other side.
    pub(super) fn begin_call(&self) {
        self.begun.notify_one();
    }

    /// Returns what is told of each call that begins.
    pub(super) fn begun(&self) -> Rc<Notify> {
        Rc::clone(&self.begun)
    }

    /// Returns whether new calls may be sent.
    pub(super) fn is_usable(&self) -> bool {
        !self.connection.is_closed() && !self.doubt.is_cancelled()
    }

    /// Notes that the other side has not answered in time; calls in flight go on.
    pub(super) fn suspect(&self) {
        self.doubt.cancel();
    }

    /// Waits until the other side fails to answer in time.
    pub(super) async fn suspected(&self) {
        self.doubt.cancelled().await;
    }
}
