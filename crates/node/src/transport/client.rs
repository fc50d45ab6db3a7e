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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Flow-control window of a stream. A call that waits for its upstream ties up this much memory. It allows
/// 180 Mbit/s with the longest round trip between failure domains, 2.8 ms.
pub(super) const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Bytes that a stream buffers until they are written to the connection.
pub(super) const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Flow-control window of a connection, much larger than that of a stream, so that a few large
/// bodies do not block the other streams.
pub(super) const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;
/// Maximum number of concurrent streams of a connection.
pub(super) const MAX_STREAMS: u32 = 4096;

/// Largest header of a stream in bytes, which names a service only. The library's default is 16 MiB for each
/// connection.
pub(super) const HEADER_BYTES: u32 = 4 << 10;

/// Connection to another node, over one TCP connection for all streams.
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
    /// Returns an error if the connection is broken; nothing was sent in this case.
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

    /// Returns the ping handle of the connection on the first call, then `None`.
    pub(crate) fn take_ping(&self) -> Option<PingPong> {
        self.ping.borrow_mut().take()
    }

    /// Closes the connection and all of its streams.
    pub(crate) fn abort(&self) {
        self.driver.abort();
    }

    /// Returns whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Receiving half of a stream that the other node has not accepted yet.
pub(crate) struct PendingReader {
    response: h2::client::ResponseFuture,
}

impl PendingReader {
    /// Waits until the other node accepts the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream breaks or the other node does not have the service.
    pub(crate) async fn ready(self) -> Result<FrameReader, TransportError> {
        let response = self.response.await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(TransportError::NoService);
        }
        Ok(FrameReader::new(response.into_body()))
    }
}

/// Opens a connection from a local address to a node.
///
/// # Errors
///
/// Returns an error if the node can't be reached in time.
pub(crate) async fn connect(
    local_ip: IpAddr,
    address: SocketAddr,
) -> Result<Connection, TransportError> {
    connect_with_window(local_ip, address, STREAM_WINDOW_BYTES).await
}

/// Opens a connection whose streams each buffer at most `window_bytes` of unread data.
///
/// # Errors
///
/// Returns an error if the node can't be reached in time.
pub(crate) async fn connect_with_window(
    local_ip: IpAddr,
    address: SocketAddr,
    window_bytes: u32,
) -> Result<Connection, TransportError> {
    let stream = timeout(CONNECT_TIMEOUT, open_socket(local_ip, address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut));
    let stream = stream.and_then(|stream| stream);
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(window_bytes)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(HEADER_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
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

async fn open_socket(local_ip: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local_ip, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
