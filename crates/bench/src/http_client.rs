//! HTTP client that distinguishes truncated responses from complete ones and reports whether a
//! request was sent.

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

/// Reason why a request got no response.
#[derive(Debug, Snafu)]
pub(crate) enum HttpError {
    /// No connection could be opened, or it closed before the request was written.
    #[snafu(display("request not sent: {reason}"))]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The connection was lost after the request was written.
    #[snafu(
        display("connection lost before the response: {source}"),
        context(false)
    )]
    Lost {
        /// Cause.
        source: hyper::Error,
    },
}

/// Client that reuses idle connections by address, for use on one thread.
#[derive(Clone, Default)]
pub(crate) struct HttpClient {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Sender>>>>,
}

type Sender = SendRequest<Full<Bytes>>;

/// Maximum time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl HttpClient {
    /// Sends a request and returns its response; the body is read by the caller.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NotSent`] if the request was not written, and [`HttpError::Lost`] if
    /// the server may have read it.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    self.return_idle(address, sender);
                    return Ok(response);
                }
                Err(mut send_error) => match send_error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(send_error.into_error().into()),
                },
            }
        }
        let mut sender = connect(address).await.map_err(not_sent)?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                self.return_idle(address, sender);
                Ok(response)
            }
            Err(mut send_error) => match send_error.take_message() {
                Some(_) => Err(not_sent(send_error.into_error())),
                None => Err(send_error.into_error().into()),
            },
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().position(SendRequest::is_ready)?;
        Some(senders.swap_remove(ready))
    }

    fn return_idle(&self, address: SocketAddr, mut sender: Sender) {
        let idle = Rc::clone(&self.idle);
        actix_rt::spawn(async move {
            if poll_fn(|cx| sender.poll_ready(cx)).await.is_ok() {
                idle.borrow_mut().entry(address).or_default().push(sender);
            }
        });
    }
}

async fn connect(address: SocketAddr) -> io::Result<Sender> {
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
