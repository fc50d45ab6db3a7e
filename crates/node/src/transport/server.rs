//! Accepts other nodes and passes each stream to the service that it names.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response, StatusCode};
use log::debug;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{
    kernel::{Context, Registry, Service, StartError},
    transport::{
        client::{CONNECTION_WINDOW, MAX_STREAMS, STREAM_WINDOW},
        frame::{FrameReader, FrameWriter},
    },
};

/// A service that accepts streams of other nodes, found by name in the registry
/// as `Rc<dyn StreamHandler>`.
pub(crate) trait StreamHandler {
    /// Handles one stream until its end; dropping the future abandons it.
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Service that accepts other nodes.
#[derive(Default)]
pub(crate) struct Transport {
    token: Option<CancellationToken>,
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
            let token = context.token();
            actix_rt::spawn(accept(listener, context.registry().clone(), token.clone()));
            self.token = Some(token);
            Ok(())
        })
    }

    fn stop(&mut self) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Some(token) = self.token.take() {
                token.cancel();
            }
        })
    }
}

async fn accept(listener: TcpListener, registry: Registry, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let registry = registry.clone();
        let token = token.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = token.cancelled() => {}
                result = serve(stream, peer, registry) => {
                    if let Err(err) = result {
                        debug!("connection of {peer} ended: {err}");
                    }
                }
            }
        });
    }
}

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

async fn serve(stream: TcpStream, peer: SocketAddr, registry: Registry) -> Result<(), h2::Error> {
    let _ = stream.set_nodelay(true);
    let mut connection = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(stream)
        .await?;
    while let Some(request) = connection.accept().await {
        let (request, respond) = request?;
        dispatch(peer, request, respond, &registry);
    }
    Ok(())
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
