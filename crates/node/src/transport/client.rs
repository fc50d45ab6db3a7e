//! Connections to other nodes.

use std::{
    cell::RefCell,
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use h2::{PingPong, client::SendRequest};
use http::{Request, StatusCode};
use snafu::ResultExt;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::timeout,
};

use crate::transport::{
    error::{ConnectSnafu, TransportError},
    frame::{FrameReader, FrameWriter},
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Flow-control window of one stream in bytes.
pub(super) const STREAM_WINDOW: u32 = 256 << 10;
/// Flow-control window of one connection in bytes, so that large bodies leave room for others.
pub(super) const CONNECTION_WINDOW: u32 = 16 << 20;
/// Streams that a connection carries at once.
pub(super) const MAX_STREAMS: u32 = 4096;

/// Connection to another node; its streams share one TCP connection.
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    driver: JoinHandle<()>,
    ping: RefCell<Option<PingPong>>,
}

impl Connection {
    /// Opens a stream to a service of the other node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is broken; nothing was sent then.
    pub(crate) async fn open_stream(
        &self,
        service: &str,
    ) -> Result<(FrameWriter, PendingReader), TransportError> {
        let mut sender = self.sender.clone().ready().await?;
        let request = Request::post(format!("http://node/{service}"));
        let request = request.body(()).expect("the request is well-formed");
        let (response, stream) = sender.send_request(request, false)?;
        Ok((FrameWriter::new(stream), PendingReader { response }))
    }

    /// Hands out the connection's pings, once.
    pub(crate) fn take_ping(&self) -> Option<PingPong> {
        self.ping.borrow_mut().take()
    }

    /// Ends the connection and all of its streams.
    pub(crate) fn abort(&self) {
        self.driver.abort();
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The answering half of a stream, before the other node has opened it.
pub(crate) struct PendingReader {
    response: h2::client::ResponseFuture,
}

impl PendingReader {
    /// Waits until the other node opens its half.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream breaks, or the other node has no such service.
    pub(crate) async fn ready(self) -> Result<FrameReader, TransportError> {
        let response = self.response.await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(TransportError::NoService);
        }
        Ok(FrameReader::new(response.into_body()))
    }
}

/// Opens a connection from `local` to a node.
///
/// # Errors
///
/// Returns an error when the node can't be reached in time.
pub(crate) async fn connect(
    local: IpAddr,
    address: SocketAddr,
) -> Result<Connection, TransportError> {
    connect_with_window(local, address, STREAM_WINDOW).await
}

/// Opens a connection whose streams hold back at most `window` unread bytes each.
///
/// # Errors
///
/// Returns an error when the node can't be reached in time.
pub(crate) async fn connect_with_window(
    local: IpAddr,
    address: SocketAddr,
    window: u32,
) -> Result<Connection, TransportError> {
    let stream = timeout(CONNECT_TIMEOUT, open_socket(local, address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut));
    let stream = stream.and_then(|stream| stream);
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(window)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(stream);
    let (sender, mut connection) = handshake.await?;
    let ping = RefCell::new(connection.ping_pong());
    let driver = actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        ping,
    })
}

async fn open_socket(local: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
