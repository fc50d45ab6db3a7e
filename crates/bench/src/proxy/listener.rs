//! Listens at the advertised address of each VM and connects to its node.

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
        pump::{Ended, Pump},
        rules::Place,
    },
};

/// Threads of the proxy.
const THREADS: usize = 2;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// One VM behind the proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Endpoint {
    /// Position of the VM's failure domain.
    pub(crate) domain: usize,
    /// Address of the VM, from which its node opens connections.
    pub(crate) ip: IpAddr,
    /// Where the proxy listens for the VM.
    pub(crate) advertised: SocketAddr,
    /// Where the VM's node listens.
    pub(crate) node: SocketAddr,
}

/// Running proxy; its end ends all connections.
pub(crate) struct Proxy {
    rules: SharedRules,
    counts: TrafficCounts,
    token: CancellationToken,
    threads: Vec<thread::JoinHandle<()>>,
}

#[derive(Clone)]
struct Shared {
    places: Arc<HashMap<IpAddr, Place>>,
    rules: SharedRules,
    counts: TrafficCounts,
    token: CancellationToken,
}

impl Proxy {
    /// Starts a proxy in front of VMs, whose positions are those of the list.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub(crate) fn start(endpoints: &[Endpoint]) -> Result<Self, BenchError> {
        let place = |(vm, endpoint): (usize, &Endpoint)| {
            let domain = endpoint.domain;
            (endpoint.ip, Place { domain, vm })
        };
        let shared = Shared {
            places: Arc::new(endpoints.iter().enumerate().map(place).collect()),
            rules: SharedRules::default(),
            counts: TrafficCounts::new(endpoints.len()),
            token: CancellationToken::new(),
        };
        let mut shares: Vec<Vec<Listener>> = (0..THREADS).map(|_| Vec::new()).collect();
        for (vm, endpoint) in endpoints.iter().enumerate() {
            shares[vm % THREADS].push(bind(vm, endpoint)?);
        }
        let spawn = |share| {
            let shared = shared.clone();
            thread::spawn(move || actix_rt::System::new().block_on(serve(share, shared)))
        };
        let threads = shares.into_iter().map(spawn).collect();
        Ok(Self {
            rules: shared.rules,
            counts: shared.counts,
            token: shared.token,
            threads,
        })
    }

    /// Returns the rules, which can be changed at any time.
    pub(crate) fn rules(&self) -> &SharedRules {
        &self.rules
    }

    /// Returns the counts of what was passed on.
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
    place: Place,
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
        place: Place { domain, vm },
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
    let (place, node) = (listener.place, listener.node);
    let Ok(socket) = TcpListener::from_std(listener.socket) else {
        return;
    };
    loop {
        let Ok((stream, peer)) = socket.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(&source) = shared.places.get(&peer.ip()) else {
            log::warn!("connection of {peer} comes from no VM");
            continue;
        };
        shared.counts.count_opened(source.vm);
        let link = Link {
            from: source,
            to: place,
            shared: shared.clone(),
        };
        actix_rt::spawn(link.run(stream, peer.ip(), node));
    }
}

/// One connection from a VM to another.
struct Link {
    from: Place,
    to: Place,
    shared: Shared,
}

impl Link {
    async fn run(self, client: TcpStream, source: IpAddr, node: SocketAddr) {
        if self.open_allowed().await.is_err() {
            reset(client);
            return;
        }
        let Ok(server) = open(source, node).await else {
            reset(client);
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let there = self.pump(self.from, self.to).run(client_read, server_write);
        let back = self.pump(self.to, self.from).run(server_read, client_write);
        tokio::pin!(there, back);
        tokio::select! {
            ended = &mut there => {
                if ended == Ended::Regular {
                    back.await;
                }
            }
            ended = &mut back => {
                if ended == Ended::Regular {
                    there.await;
                }
            }
        }
    }

    fn pump(&self, from: Place, to: Place) -> Pump {
        Pump {
            from,
            to,
            rules: self.shared.rules.clone(),
            counts: self.shared.counts.clone(),
        }
    }

    /// Waits until the rules let a connection be opened; an error stands for a reset.
    async fn open_allowed(&self) -> Result<(), ()> {
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

async fn open(source: IpAddr, node: SocketAddr) -> io::Result<TcpStream> {
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
