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
};

use actix_rt::net::{ActixStream, Ready};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use actix_web::dev::Service;
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

tokio::task_local! {
    static TRACE: Rc<Trace>;
}

/// Connection state observed during one call.
#[derive(Debug, Default)]
pub(super) struct Trace {
    written: Cell<bool>,
    closed: Cell<bool>,
    discarded: RefCell<Option<Rc<Cell<bool>>>>,
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
        if let Some(discarded) = &*self.discarded.borrow() {
            discarded.set(true);
        }
    }

    fn record_write(&self, discarded: &Rc<Cell<bool>>) {
        if self.written.replace(true) {
            return;
        }
        self.closed.set(false);
        self.discarded.replace(Some(Rc::clone(discarded)));
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
            let stream = TcpStream::connect(address).await;
            let stream = stream.map_err(ConnectError::Io)?;
            stream.set_nodelay(true).map_err(ConnectError::Io)?;
            let discarded = Rc::default();
            let stream = TracedStream { stream, discarded };
            Ok(Connection::new(info.request().clone(), stream))
        })
    }
}

/// Connection to an upstream that records writes and its end in the trace of the call.
#[derive(Debug)]
pub(super) struct TracedStream {
    stream: TcpStream,
    discarded: Rc<Cell<bool>>,
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
        if self.discarded.get() {
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
            update_trace(|trace| trace.record_write(&self.discarded));
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
