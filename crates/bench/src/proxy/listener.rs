//! Accepts connections at the advertised address of each VM and forwards them to its node.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    thread,
    time::Duration,
};

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{
    error::{BenchError, BindSnafu},
    proxy::{
        Rule, SharedRules, TrafficCounts,
        pump::{Pump, PumpEnd},
        rules::Location,
    },
};

/// Number of proxy threads.
const THREADS: usize = 2;
/// Delay before the next accept after a failed one.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);

/// VM behind the proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    /// Index of the VM's failure domain.
    pub(crate) domain: usize,
    /// Address of the VM, used by its node as source of its connections.
    pub(crate) ip: IpAddr,
    /// Address at which the proxy listens for connections to the VM.
    pub(crate) advertised: SocketAddr,
    /// Address at which the VM's node listens.
    pub(crate) node: SocketAddr,
}

/// Running proxy; dropping it closes all connections.
pub(crate) struct Proxy {
    rules: SharedRules,
    counts: TrafficCounts,
    token: CancellationToken,
    threads: Vec<thread::JoinHandle<()>>,
}

#[derive(Clone)]
struct Shared {
    locations: Arc<HashMap<IpAddr, Location>>,
    rules: SharedRules,
    counts: TrafficCounts,
    token: CancellationToken,
}

impl Proxy {
    /// Starts a proxy for VMs, which are identified by their index in `endpoints`.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub(crate) fn start(endpoints: &[Endpoint]) -> Result<Self, BenchError> {
        let location = |(vm, endpoint): (usize, &Endpoint)| {
            let domain = endpoint.domain;
            (endpoint.ip, Location { domain, vm })
        };
        let shared = Shared {
            locations: Arc::new(endpoints.iter().enumerate().map(location).collect()),
            rules: SharedRules::default(),
            counts: TrafficCounts::new(endpoints.len()),
            token: CancellationToken::new(),
        };
        let mut partitions: Vec<Vec<Listener>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (vm, endpoint) in endpoints.iter().enumerate() {
            partitions[vm % THREADS].push(bind(vm, endpoint)?);
        }
        let spawn = |listeners| {
            let shared = shared.clone();
            thread::spawn(move || actix_rt::System::new().block_on(serve(listeners, shared)))
        };
        let threads = partitions.into_iter().map(spawn).collect();
        Ok(Self {
            rules: shared.rules,
            counts: shared.counts,
            token: shared.token,
            threads,
        })
    }

    /// Returns the rules, which can be changed while the proxy runs.
    pub(crate) fn rules(&self) -> &SharedRules {
        &self.rules
    }

    /// Returns the counts of forwarded traffic.
    pub(crate) fn counts(&self) -> &TrafficCounts {
        &self.counts
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.token.cancel();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

struct Listener {
    socket: std::net::TcpListener,
    location: Location,
    node: SocketAddr,
}

fn bind(vm: usize, endpoint: &Endpoint) -> Result<Listener, BenchError> {
    let address = endpoint.advertised;
    let socket = std::net::TcpListener::bind(address).context(BindSnafu { address })?;
    let nonblocking = socket.set_nonblocking(true);
    nonblocking.context(BindSnafu { address })?;
    let domain = endpoint.domain;
    Ok(Listener {
        socket,
        location: Location { domain, vm },
        node: endpoint.node,
    })
}

async fn serve(listeners: Vec<Listener>, shared: Shared) {
    for listener in listeners {
        actix_rt::spawn(accept(listener, shared.clone()));
    }
    shared.token.cancelled().await;
}

async fn accept(listener: Listener, shared: Shared) {
    let (location, node) = (listener.location, listener.node);
    let Ok(socket) = TcpListener::from_std(listener.socket) else {
        return;
    };
    loop {
        let Ok((stream, peer)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_DELAY).await;
            continue;
        };
        let Some(&source) = shared.locations.get(&peer.ip()) else {
            log::warn!("rejected connection from {peer}: address belongs to no VM");
            continue;
        };
        shared.counts.count_opened(source.vm);
        let connection = Connection {
            from: source,
            to: location,
            shared: shared.clone(),
        };
        actix_rt::spawn(connection.run(stream, peer.ip(), node));
    }
}

/// Connection from one VM to another.
struct Connection {
    from: Location,
    to: Location,
    shared: Shared,
}

impl Connection {
    async fn run(self, client: TcpStream, source: IpAddr, node: SocketAddr) {
        if self.wait_for_open().await.is_err() {
            reset(client);
            return;
        }
        let Ok(server) = connect(source, node).await else {
            reset(client);
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = self.pump(self.from, self.to).run(client_read, server_write);
        let backward = self.pump(self.to, self.from).run(server_read, client_write);
        tokio::pin!(forward, backward);
        tokio::select! {
            end = &mut forward => {
                if end == PumpEnd::Closed {
                    backward.await;
                }
            }
            end = &mut backward => {
                if end == PumpEnd::Closed {
                    forward.await;
                }
            }
        }
    }

    fn pump(&self, from: Location, to: Location) -> Pump {
        Pump {
            from,
            to,
            rules: self.shared.rules.clone(),
            counts: self.shared.counts.clone(),
        }
    }

    /// Waits until the rules allow a connection to be opened; an error means that it must be reset.
    async fn wait_for_open(&self) -> Result<(), ()> {
        let mut changes = self.shared.rules.changes();
        loop {
            changes.borrow_and_update();
            match self.shared.rules.rule(self.from, self.to) {
                Rule::Cut => return Err(()),
                Rule::Pass | Rule::Delay(_) | Rule::CutAfter(_) => return Ok(()),
                Rule::Hold | Rule::HalfOpen => {}
            }
            changes.changed().await.map_err(drop)?;
        }
    }
}

async fn connect(source: IpAddr, node: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(node).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

#[cfg(test)]
mod tests;
