//! Sidecar with one upstream, and a connection that calls it as an ingress does.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};
use wagtaillever_coordination::{
    Config, Sequence, ServiceSpec, UpstreamSpec, VmEntry, VmList, VmState,
};

use crate::{
    kernel::{Context, Service},
    peers::PeersHandle,
    settings::Settings,
    sidecar::Sidecar,
    transport::{Connection, FrameReader, FrameWriter, Transport, connect},
    view::Phase,
    wire::{CallHead, CallStage, Refusal, ReplyHead},
};

/// Timeout of one step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Node with a sidecar, and a connection to it.
pub(super) struct Fixture {
    pub(super) context: Context,
    pub(super) sidecar: Sidecar,
    _transport: Transport,
    connection: Rc<Connection>,
}

impl Fixture {
    /// Starts a sidecar whose only upstream `u` listens on `address`.
    pub(super) async fn start(address: SocketAddr) -> Self {
        Self::with_settings(address, "", 4).await
    }

    /// Starts a sidecar with extra settings and a number of upstream slots.
    pub(super) async fn with_settings(
        address: SocketAddr,
        extra_settings: &str,
        slots: u32,
    ) -> Self {
        Self::for_vm("vm-1", extra_settings, config(1, address, slots)).await
    }

    /// Starts the sidecar of a VM with extra settings and a configuration.
    pub(super) async fn for_vm(vm: &str, extra_settings: &str, config: Arc<Config>) -> Self {
        Self::with_peers(vm, extra_settings, config, None).await
    }

    /// Starts the sidecar of a VM, with a handle of the exchange with other nodes.
    pub(super) async fn with_peers(
        vm: &str,
        extra_settings: &str,
        config: Arc<Config>,
        peers: Option<PeersHandle>,
    ) -> Self {
        let (context, transport) = start_transport(vm, extra_settings).await;
        if let Some(peers) = peers {
            context.registry().publish("peers", peers);
        }
        let mut sidecar = Sidecar::default();
        sidecar.start(&context).await.unwrap();
        context.view().set_config(config);
        context.view().set_phase(Phase::Serving);
        let peers = context.settings().peers;
        let connection = connect(peers.ip(), peers).await.unwrap();
        Self {
            context,
            sidecar,
            _transport: transport,
            connection: Rc::new(connection),
        }
    }

    /// Sends a call and returns its reply.
    pub(super) async fn call(&self, head: CallHead, body: &[u8]) -> Reply {
        let (mut writer, mut reader) = self.open(head).await;
        let _ = writer.write_bytes(Bytes::copy_from_slice(body)).await;
        let _ = writer.finish();
        reply(&mut reader).await
    }

    /// Opens a call and sends its head.
    pub(super) async fn open(&self, head: CallHead) -> (FrameWriter, FrameReader) {
        let (mut writer, pending) = self.connection.open_stream("call").await.unwrap();
        writer.write_frame(&head).await.unwrap();
        let reader = timeout(STEP_TIMEOUT, pending.ready())
            .await
            .unwrap()
            .unwrap();
        (writer, reader)
    }
}

/// Starts the transport on a free port. It retries because another test may bind a port that was
/// found free.
async fn start_transport(vm: &str, extra_settings: &str) -> (Context, Transport) {
    for _ in 0..20 {
        let context = Context::new(Arc::new(settings(vm, free_address(), extra_settings)));
        let mut transport = Transport::default();
        if transport.start(&context).await.is_ok() {
            return (context, transport);
        }
    }
    panic!("no free port found in 20 attempts");
}

/// Reads a reply to its end.
pub(super) async fn reply(reader: &mut FrameReader) -> Reply {
    let head = timeout(STEP_TIMEOUT, reader.read_frame::<ReplyHead>())
        .await
        .unwrap();
    let status = match head {
        Ok(Some(ReplyHead::Answer { status, .. })) => status,
        Ok(Some(ReplyHead::Refused { refusal, .. })) => return Reply::Refused(refusal),
        _ => return Reply::Reset,
    };
    let mut body = Vec::new();
    loop {
        match timeout(STEP_TIMEOUT, reader.read_bytes()).await.unwrap() {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Reply::Truncated { status },
        }
    }
    Reply::Complete { status, body }
}

/// Reply to a call as seen by an ingress.
#[derive(Debug)]
pub(super) enum Reply {
    /// Complete answer.
    Complete { status: u16, body: Vec<u8> },
    /// Answer whose body ended with an error.
    Truncated { status: u16 },
    /// Refusal instead of an answer from the upstream.
    Refused(Refusal),
    /// Stream reset before any reply.
    Reset,
}

/// Returns the head of a `GET /` to upstream `u`.
pub(super) fn get() -> CallHead {
    CallHead {
        call: "7".into(),
        attempt: 1,
        sequence: 1,
        route: "r".into(),
        service: "s".into(),
        upstream: "u".into(),
        stage: CallStage::Plain,
        method: "GET".into(),
        target: "/".into(),
        headers: vec![("x-caller".into(), b"test".to_vec())],
        length: Some(0),
        left_ms: 10_000,
        priority: 0,
        target_ms: None,
        waited_ms: 0,
        hops: 1,
        idempotent: true,
        key: None,
        fingerprint: 1,
    }
}

/// Returns the head of a `POST /` to upstream `u` with a body of the given length.
pub(super) fn post(length: Option<u64>) -> CallHead {
    CallHead {
        method: "POST".into(),
        length,
        idempotent: false,
        ..get()
    }
}

/// Starts an upstream that answers the first read of each connection with fixed bytes, and then
/// closes the connection.
pub(super) async fn raw_upstream(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer_raw(stream, answer));
        }
    });
    address
}

async fn answer_raw(mut stream: TcpStream, answer: &'static [u8]) {
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(answer).await;
    let _ = stream.shutdown().await;
}

/// Returns an address on which nothing listens while the test runs.
pub(super) fn closed_address() -> SocketAddr {
    let socket = Box::leak(Box::new(TcpSocket::new_v4().unwrap()));
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.local_addr().unwrap()
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Returns a configuration with service `s` and upstream `u` on `vm-1`.
pub(super) fn config(sequence: u64, address: SocketAddr, slots: u32) -> Arc<Config> {
    config_of(sequence, slots, &[("u", "vm-1", address)])
}

/// Returns a configuration with service `s` and upstreams given as `(name, VM, address)`.
pub(super) fn config_of(
    sequence: u64,
    slots: u32,
    upstreams: &[(&str, &str, SocketAddr)],
) -> Arc<Config> {
    let service = ServiceSpec::with_name("s".into());
    let mut config = Config {
        sequence: Sequence(sequence),
        ..Config::default()
    };
    for &(name, vm, address) in upstreams {
        let upstream = UpstreamSpec {
            name: name.into(),
            service: "s".into(),
            vm: vm.into(),
            domain: "modica".into(),
            address,
            slots,
            connections: 20,
            start: None,
        };
        let name = upstream.name.clone();
        config.upstreams.insert(name, Arc::new(upstream));
    }
    config
        .services
        .insert(service.name.clone(), Arc::new(service));
    Arc::new(config)
}

/// Publishes a list of the VMs of all fixtures to each of them.
pub(super) fn publish_vm_list(fixtures: &[&Fixture]) {
    let entry = |fixture: &&Fixture| {
        let settings = fixture.context.settings();
        Arc::new(VmEntry {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            address: settings.peers,
            state: VmState::Live,
            upstreams: Vec::new(),
        })
    };
    let vms = Arc::new(VmList {
        number: 1,
        vms: fixtures.iter().map(entry).collect(),
    });
    for fixture in fixtures {
        fixture.context.view().set_vms(Arc::clone(&vms));
    }
}

fn settings(vm: &str, peers: SocketAddr, extra_settings: &str) -> Settings {
    let text = format!(
        "vm: {vm}\ndomain: modica\nregion: sicily\naddress: 127.0.0.1\n\
         callers: 127.0.0.1:0\nadmin: 127.0.0.1:0\npeers: {peers}\n{extra_settings}"
    );
    serde_yaml_ng::from_str(&text).unwrap()
}
