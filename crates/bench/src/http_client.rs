//! HTTP client that tells a broken answer from a whole one, and what was never sent.

use std::{
    cell::RefCell, collections::HashMap, future::poll_fn, io, net::SocketAddr, rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::{net::TcpStream, time::timeout};

/// Why a request got no answer.
#[derive(Debug, Snafu)]
pub(crate) enum HttpError {
    /// No connection could be opened, or it closed before the request was written.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The connection broke after the request was written.
    #[snafu(display("no answer: {source}"), context(false))]
    Lost {
        /// Cause.
        source: hyper::Error,
    },
}

/// Client with idle connections by address; it belongs to one thread.
#[derive(Clone, Default)]
pub(crate) struct HttpClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

type Sender = SendRequest<Full<Bytes>>;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl HttpClient {
    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request may have been read.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        while let Some(mut sender) = self.take(address) {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    self.keep(address, sender);
                    return Ok(response);
                }
                Err(mut failed) => match failed.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(failed.into_error().into()),
                },
            }
        }
        let mut sender = open(address).await.map_err(not_sent)?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.keep(address, sender);
                Ok(response)
            }
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(not_sent(failed.into_error())),
                None => Err(failed.into_error().into()),
            },
        }
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().position(SendRequest::is_ready)?;
        Some(senders.swap_remove(ready))
    }

    fn keep(&self, address: SocketAddr, mut sender: Sender) {
        let idle = Rc::clone(&self.idle);
        actix_rt::spawn(async move {
            if poll_fn(|cx| sender.poll_ready(cx)).await.is_ok() {
                idle.borrow_mut().entry(address).or_default().push(sender);
            }
        });
    }
}

async fn open(address: SocketAddr) -> io::Result<Sender> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    actix_rt::spawn(connection);
    Ok(sender)
}

fn not_sent(err: impl ToString) -> HttpError {
    HttpError::NotSent {
        reason: err.to_string(),
    }
}
