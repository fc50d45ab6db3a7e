//! A sidecar with one upstream, and an ingress that calls it.

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
    settings::Settings,
    sidecar::Sidecar,
    transport::{Connection, FrameReader, FrameWriter, Transport, connect},
    view::Phase,
    wire::{CallHead, CallStage, Refusal, ReplyHead},
};

/// Longest time that one step of a test may take.
const STEP: Duration = Duration::from_secs(20);

/// A node with sidecar, and a connection to it.
pub(super) struct Fixture {
    pub(super) context: Context,
    pub(super) sidecar: Sidecar,
    _transport: Transport,
    connection: Rc<Connection>,
}

impl Fixture {
    /// Starts a sidecar whose one upstream `u` listens on `address`.
    pub(super) async fn start(address: SocketAddr) -> Self {
        Self::with(address, "", 4).await
    }

    /// Starts a sidecar with further settings and a number of slots.
    pub(super) async fn with(address: SocketAddr, more: &str, slots: u32) -> Self {
        Self::node("vm-1", more, config(1, address, slots)).await
    }

    /// Starts the sidecar of a VM with a configuration.
    pub(super) async fn node(vm: &str, more: &str, config: Arc<Config>) -> Self {
        let (context, transport) = listening(vm, more).await;
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
        let _ = writer.bytes(Bytes::copy_from_slice(body)).await;
        let _ = writer.end();
        reply(&mut reader).await
    }

    /// Opens a call and sends its head.
    pub(super) async fn open(&self, head: CallHead) -> (FrameWriter, FrameReader) {
        let (mut writer, pending) = self.connection.open("call").await.unwrap();
        writer.frame(&head).await.unwrap();
        let reader = timeout(STEP, pending.ready()).await.unwrap().unwrap();
        (writer, reader)
    }
}

/// Starts the transport on a free port; another test may take the one that was free.
async fn listening(vm: &str, more: &str) -> (Context, Transport) {
    for _ in 0..20 {
        let context = Context::new(Arc::new(settings(vm, free_address(), more)));
        let mut transport = Transport::default();
        if transport.start(&context).await.is_ok() {
            return (context, transport);
        }
    }
    panic!("no port is free");
}

/// Reads the whole reply.
pub(super) async fn reply(reader: &mut FrameReader) -> Reply {
    let head = timeout(STEP, reader.frame::<ReplyHead>()).await.unwrap();
    let status = match head {
        Ok(Some(ReplyHead::Answer { status, .. })) => status,
        Ok(Some(ReplyHead::Refused { refusal, .. })) => return Reply::Refused(refusal),
        _ => return Reply::Reset,
    };
    let mut body = Vec::new();
    loop {
        match timeout(STEP, reader.bytes()).await.unwrap() {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Reply::Cut { status },
        }
    }
    Reply::Whole { status, body }
}

/// What an ingress sees of a call.
#[derive(Debug)]
pub(super) enum Reply {
    /// The whole answer.
    Whole { status: u16, body: Vec<u8> },
    /// An answer whose body broke off visibly.
    Cut { status: u16 },
    /// No answer of the upstream.
    Refused(Refusal),
    /// A reset before any reply.
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

/// Returns the head of a `POST /` with a body of that length.
pub(super) fn post(length: Option<u64>) -> CallHead {
    CallHead {
        method: "POST".into(),
        length,
        idempotent: false,
        ..get()
    }
}

/// Starts an upstream that answers each connection with fixed bytes after it
/// has read `reads` requests' heads, and then closes it.
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

/// Returns an address on which nothing listens as long as the test runs.
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

/// Returns a configuration with service `s` and upstreams `(name, VM, address)`.
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

/// Tells nodes of each other.
pub(super) fn introduce(beds: &[&Fixture]) {
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
        vms: beds.iter().map(entry).collect(),
    });
    for fixture in beds {
        fixture.context.view().set_vms(Arc::clone(&vms));
    }
}

fn settings(vm: &str, peers: SocketAddr, more: &str) -> Settings {
    let text = format!(
        "vm: {vm}\ndomain: modica\nregion: sicily\naddress: 127.0.0.1\n\
         callers: 127.0.0.1:0\nadmin: 127.0.0.1:0\npeers: {peers}\n{more}"
    );
    serde_yaml_ng::from_str(&text).unwrap()
}
