//! Server that accepts connections of other nodes and passes each stream to the service that its
//! path names.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::{
    RecvStream,
    server::{Connection, SendResponse},
};
use http::{Request, Response, StatusCode};
use log::{debug, warn};
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    kernel::{Context, Registry, Service, StartError, StopDeadlines},
    logging::LineBudget,
    transport::{
        client::{
            CONNECTION_WINDOW_BYTES, HEADER_BYTES, MAX_STREAMS, SEND_BUFFER_BYTES,
            STREAM_WINDOW_BYTES,
        },
        frame::{FrameReader, FrameWriter},
        handshakes::Handshakes,
    },
};

/// Service that handles streams of other nodes, registered by name as `Rc<dyn StreamHandler>`.
pub(crate) trait StreamHandler {
    /// Handles one stream until its end. Dropping the future abandons the stream.
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Service that accepts connections of other nodes.
#[derive(Default)]
pub(crate) struct Transport {
    token: Option<CancellationToken>,
    connections: TaskTracker,
}

impl Service for Transport {
    fn name(&self) -> &'static str {
        "transport"
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> LocalBoxFuture<'a, Result<(), StartError>> {
        Box::pin(async move {
            let address = context.settings().peers;
            let listener = TcpListener::bind(address).await;
            let listener = listener.context(crate::kernel::BindSnafu { address })?;
            let token = context.shutdown_token();
            let server = Server {
                registry: context.registry().clone(),
                token: token.clone(),
                connections: self.connections.clone(),
                max_connections: context.settings().limits.bounds().peer_connections,
                handshakes: Handshakes::default(),
            };
            actix_rt::spawn(server.accept(listener));
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self, deadlines: StopDeadlines) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
            self.connections.close();
            let deadline = deadlines.end.min(Instant::now() + CLOSE_TIMEOUT);
            if timeout_at(deadline, self.connections.wait()).await.is_err() {
                debug!("other nodes did not close their connections in time");
            }
        })
    }
}

/// Maximum time for which a stop waits until other nodes have closed their connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which another node completes the handshake, which it sends as soon as the connection is open.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept, for example if there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by the connections of other nodes.
#[derive(Clone)]
struct Server {
    registry: Registry,
    token: CancellationToken,
    connections: TaskTracker,
    /// Largest number of open connections.
    max_connections: usize,
    handshakes: Handshakes,
}

impl Server {
    async fn accept(self, listener: TcpListener) {
        let mut line_budget = LineBudget::new(std::time::Instant::now());
        loop {
            let accepted = tokio::select! {
                () = self.token.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.connections.len() >= self.max_connections && !self.handshakes.evict_oldest() {
                metrics::counter!("peer_connections_refused_total").increment(1);
                if let Some(left_out) = line_budget.take(std::time::Instant::now()) {
                    warn!(peer:% = peer, open = self.connections.len(), left_out; "connection of a node refused");
                }
                continue;
            }
            let served = self.clone().serve_connection(stream, peer);
            actix_rt::spawn(self.connections.track_future(served));
        }
    }

    async fn serve_connection(self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Some(handshake) = self.handshake(stream).await else {
            return debug!("no handshake on a connection of {peer}");
        };
        let result = async { self.serve_streams(handshake?, peer).await };
        if let Err(err) = result.await {
            debug!("connection of {peer} failed: {err}");
        }
    }

    /// Completes the handshake, or returns `None` if it takes too long or others need the place.
    async fn handshake(
        &self,
        stream: TcpStream,
    ) -> Option<Result<Connection<TcpStream, Bytes>, h2::Error>> {
        let handshake = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(HEADER_BYTES)
            .max_send_buffer_size(SEND_BUFFER_BYTES)
            .handshake(stream);
        let evicted = self.handshakes.begin();
        let result = tokio::select! {
            biased;
            result = timeout(HANDSHAKE_TIMEOUT, handshake) => result.ok(),
            () = evicted.cancelled() => None,
        };
        self.handshakes.end(&evicted);
        result
    }

    /// Dispatches streams until the other node closes the connection. When this node stops, it
    /// notifies the other node of the last accepted stream, so that the other node knows that later
    /// streams were not processed.
    async fn serve_streams(
        &self,
        mut connection: Connection<TcpStream, Bytes>,
        peer: SocketAddr,
    ) -> Result<(), h2::Error> {
        let mut is_closing = false;
        loop {
            let accepted = tokio::select! {
                () = self.token.cancelled(), if !is_closing => {
                    is_closing = true;
                    connection.graceful_shutdown();
                    continue;
                }
                accepted = connection.accept() => accepted,
            };
            let Some(request) = accepted else {
                return Ok(());
            };
            let (request, respond) = request?;
            dispatch(peer, request, respond, &self.registry);
        }
    }
}

fn dispatch(
    peer: SocketAddr,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    registry: &Registry,
) {
    let name = request.uri().path().trim_start_matches('/').to_string();
    let Some(handler) = registry.stream_handler(&name) else {
        let response = Response::builder().status(StatusCode::NOT_FOUND);
        let response = response.body(()).expect("the response is well-formed");
        let _ = respond.send_response(response, true);
        return;
    };
    let Ok(stream) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let reader = FrameReader::new(request.into_body());
    let writer = FrameWriter::new(stream);
    actix_rt::spawn(handler.handle(peer, reader, writer));
}
