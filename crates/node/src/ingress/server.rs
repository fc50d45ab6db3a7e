//! Server for callers: the listener, its thread, and the stop.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::Arbiter;
use log::{info, warn};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{sleep, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    ingress::{
        connection::{ConnectionTable, Connections},
        open_calls::OpenCalls,
        worker::{SharedState, Worker},
    },
    kernel::StopDeadlines,
    settings::{CALLER_RECEIVE_BYTES, CALLER_SEND_BYTES},
};

/// Connections that the kernel accepts ahead of the node, enough for callers that all connect at once.
const BACKLOG: u32 = 1024;
/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which a stopping node still accepts connections so that callers learn of the stop,
/// including the `notice_ms` of the settings.
const STOP_NOTICE: Duration = Duration::from_secs(2);

/// Server for callers with a single thread.
pub(super) struct Server {
    arbiter: Arbiter,
    /// Cancelled when no more connections are accepted and idle ones are closed.
    stop: CancellationToken,
    stop_delay: Duration,
    pub(super) open_calls: OpenCalls,
    /// Open connections of callers.
    connections: TaskTracker,
    /// Addresses on which the server listens.
    pub(super) addresses: Vec<SocketAddr>,
}

impl Server {
    /// Binds the address for callers and starts the server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub(super) fn start(shared: SharedState) -> io::Result<Self> {
        let listener = listen(shared.settings.callers)?;
        let addresses = vec![listener.local_addr()?];
        info!("listening for callers on {addresses:?}");
        let limits = &shared.settings.limits;
        let times = limits.stop_times();
        let open_calls = shared.open_calls.clone();
        let acceptor = Acceptor {
            stop: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        let stop = acceptor.stop.clone();
        let connections = acceptor.connections.clone();
        let arbiter = Arbiter::try_new()?;
        arbiter.spawn_fn(move || {
            actix_rt::spawn(acceptor.run(listener, shared));
        });
        Ok(Self {
            arbiter,
            stop,
            stop_delay: STOP_NOTICE.saturating_sub(times.notice),
            open_calls,
            connections,
            addresses,
        })
    }

    /// Keeps refusing new calls for the rest of [`STOP_NOTICE`], then accepts no more connections,
    /// closes idle ones and waits until the calls in flight have an answer. Answers that are not
    /// complete at the deadline are cut off.
    pub(super) async fn stop(self, deadlines: StopDeadlines) {
        sleep(self.stop_delay).await;
        info!(calls = self.open_calls.len(); "no longer accepting callers on {:?}", self.addresses);
        self.stop.cancel();
        self.connections.close();
        let closed = timeout_at(deadlines.answers, self.connections.wait()).await;
        if closed.is_err() {
            // Answers whose body is under way go on until the process ends.
            warn!("stop deadline reached; not waiting for the open connections of callers");
        } else {
            self.arbiter.stop();
        }
        self.open_calls.record_cut();
    }
}

/// Binds an address without a runtime, as the listener belongs to the server's thread.
fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes of the buffers, also those that wait to be accepted.
    let buffers = socket.set_recv_buffer_size(CALLER_RECEIVE_BYTES);
    if let Err(err) = buffers.and_then(|()| socket.set_send_buffer_size(CALLER_SEND_BYTES)) {
        warn!("can't limit the socket buffers of callers: {err}");
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Accepts a connection and waits until there is a place for it.
async fn accept(
    listener: &TcpListener,
    table: &ConnectionTable,
) -> io::Result<(TcpStream, SocketAddr)> {
    let accepted = listener.accept().await?;
    table.wait_for_place().await;
    Ok(accepted)
}

/// Accepts connections and serves each in a task.
struct Acceptor {
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Acceptor {
    async fn run(self, listener: std::net::TcpListener, shared: SharedState) {
        // The listener counts as a connection, so that a stop waits until it is closed.
        let _open = self.connections.token();
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(err) => return warn!("can't accept callers: {err}"),
        };
        let worker = Worker::spawn(shared);
        let table = Rc::clone(&worker.connections);
        let connections = Rc::new(Connections::new(worker, self.stop.clone()));
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                accepted = accept(&listener, &table) => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.serve(stream, peer, &connections),
                Err(err) => {
                    warn!("can't accept a caller: {err}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr, connections: &Rc<Connections>) {
        if stream.set_nodelay(true).is_err() {
            // The caller has closed the connection already.
            return;
        }
        let connections = Rc::clone(connections);
        let entry = connections.open();
        let open = self.connections.token();
        actix_rt::spawn(async move {
            connections.serve(stream, peer, entry).await;
            drop(open);
        });
    }
}
