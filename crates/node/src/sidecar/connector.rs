//! Connections to an upstream that expose connection state hidden by `awc`.
//!
//! `awc` treats the end of a connection in the middle of a body as the regular end of the body, and
//! does not report whether a failed request was written. Each [`TracedStream`] records both in the
//! [`Trace`] of the call that polls it.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use actix_rt::net::{ActixStream, Ready};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use actix_web::dev::Service;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use log::debug;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpSocket, TcpStream},
};

use crate::settings::UPSTREAM_RECEIVE_BYTES;

tokio::task_local! {
    static TRACE: Rc<Trace>;
}

/// Connection state observed during one call.
#[derive(Debug, Default)]
pub(super) struct Trace {
    written: Cell<bool>,
    closed: Cell<bool>,
    connection: RefCell<Option<Rc<Reuse>>>,
}

/// Whether a connection may be used for another call.
#[derive(Debug, Default)]
struct Reuse {
    discarded: Cell<bool>,
    /// Time from which on the idle connection must not be used, as its upstream may close it.
    until: Cell<Option<Instant>>,
}

impl Reuse {
    fn is_over(&self) -> bool {
        self.discarded.get()
            || self
                .until
                .get()
                .is_some_and(|until| until <= Instant::now())
    }
}

impl Trace {
    /// Returns whether any byte of the request may have reached the upstream.
    pub(super) fn is_written(&self) -> bool {
        self.written.get()
    }

    /// Returns whether the upstream closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Prevents reuse of the connection for another call.
    pub(super) fn discard(&self) {
        if let Some(reuse) = &*self.connection.borrow() {
            reuse.discarded.set(true);
        }
    }

    /// Limits the time for which the connection may stay idle until it is used for another call. The
    /// answer must have been read completely.
    pub(super) fn limit_reuse(&self, idle: Duration) {
        if let Some(reuse) = &*self.connection.borrow() {
            reuse.until.set(Some(Instant::now() + idle));
        }
    }

    fn record_write(&self, reuse: &Rc<Reuse>) {
        if self.written.replace(true) {
            return;
        }
        self.closed.set(false);
        self.connection.replace(Some(Rc::clone(reuse)));
    }

    /// Runs a future whose I/O is recorded in this trace.
    pub(super) async fn scope<F: Future>(self: Rc<Self>, future: F) -> F::Output {
        TRACE.scope(self, future).await
    }
}

/// Connector to the fixed address of an upstream.
#[derive(Clone)]
pub(super) struct TracedConnector {
    address: SocketAddr,
}

impl TracedConnector {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Service<ConnectInfo<Uri>> for TracedConnector {
    type Response = Connection<Uri, TracedStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, _cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let address = self.address;
        Box::pin(async move {
            let stream = connect(address).await.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let reuse = Rc::default();
            let stream = TracedStream { stream, reuse };
            Ok(Connection::new(info.request().clone(), stream))
        })
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Err(err) = socket.set_recv_buffer_size(UPSTREAM_RECEIVE_BYTES) {
        debug!("can't limit the receive buffer of a connection to {address}: {err}");
    }
    socket.connect(address).await
}

/// Connection to an upstream that records writes and its end in the trace of the call.
#[derive(Debug)]
pub(super) struct TracedStream {
    stream: TcpStream,
    reuse: Rc<Reuse>,
}

fn update_trace(change: impl FnOnce(&Trace)) {
    let _ = TRACE.try_with(|trace| change(trace));
}

impl AsyncRead for TracedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reuse.is_over() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let is_closed = match &result {
            Poll::Ready(Ok(())) => buf.filled().len() == before && buf.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if is_closed {
            update_trace(|trace| trace.closed.set(true));
        }
        result
    }
}

impl AsyncWrite for TracedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(result, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.reuse.until.set(None);
            update_trace(|trace| trace.record_write(&self.reuse));
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for TracedStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
