//! Connections to other nodes.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
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
}

impl Connection {
    /// Opens a stream to a service of the other node.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is broken; nothing was sent then.
    pub(crate) async fn open(
        &self,
        service: &str,
    ) -> Result<(FrameWriter, PendingReader), TransportError> {
        let mut sender = self.sender.clone().ready().await?;
        let request = Request::post(format!("http://node/{service}"));
        let request = request.body(()).expect("the request is well-formed");
        let (response, stream) = sender.send_request(request, false)?;
        Ok((FrameWriter::new(stream), PendingReader { response }))
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
    /// Returns an error when the stream breaks.
    pub(crate) async fn ready(self) -> Result<FrameReader, TransportError> {
        let response = self.response.await?;
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
    let stream = timeout(CONNECT_TIMEOUT, open_socket(local, address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut));
    let stream = stream.and_then(|stream| stream);
    let stream = stream.context(ConnectSnafu { address })?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(stream);
    let (sender, connection) = handshake.await?;
    let driver = actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection { sender, driver })
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
