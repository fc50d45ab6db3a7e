//! Fixture that runs an ingress and scripted sidecars in one process.

use std::{
    cell::RefCell,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use wagtaillever_coordination::{
    CallerLimits, Config, DomainName, DrainAction, DrainOrder, DrainScope, Method, RouteSpec,
    Sequence, ServiceSpec, UpstreamSpec, VmEntry, VmList, VmState,
};

use crate::{
    ingress::Ingress,
    kernel::{Context, Service},
    quota::Quota,
    settings::Settings,
    stall::StallWatch,
    transport::{FrameReader, FrameWriter, StreamHandler, Transport},
    view::Phase,
    wire::{CallHead, Load, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Call received by a fake sidecar.
pub(super) struct FakeCall {
    pub(super) head: CallHead,
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

type Script = Rc<dyn Fn(FakeCall) -> LocalBoxFuture<'static, ()>>;

/// Sidecar that runs a script for each call.
pub(super) struct FakeSidecar {
    script: Script,
    heads: Rc<RefCell<Vec<CallHead>>>,
}

impl FakeSidecar {
    pub(super) fn new(script: impl Fn(FakeCall) -> LocalBoxFuture<'static, ()> + 'static) -> Self {
        Self {
            script: Rc::new(script),
            heads: Rc::default(),
        }
    }
}

impl StreamHandler for FakeSidecar {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        async move {
            let Ok(Some(head)) = reader.read_frame::<CallHead>().await else {
                return;
            };
            self.heads.borrow_mut().push(head.clone());
            let call = FakeCall {
                head,
                reader,
                writer,
            };
            (self.script)(call).await;
        }
        .boxed_local()
    }
}

pub(super) const LOAD: Load = Load {
    active: 0,
    limit: 8,
    queued: 0,
    cost: 0,
};

pub(super) fn answer_head(length: Option<u64>) -> ReplyHead {
    ReplyHead::Answer {
        status: 200,
        headers: vec![("x-kept".into(), b"1".to_vec())],
        length,
        load: LOAD,
        sequence: 7,
    }
}

/// Reads the whole request and sends a complete answer.
pub(super) fn answer(mut call: FakeCall, body: &'static [u8]) -> LocalBoxFuture<'static, ()> {
    async move {
        while let Ok(Some(_)) = call.reader.read_bytes().await {}
        let head = answer_head(Some(body.len() as u64));
        call.writer.write_frame(&head).await.unwrap();
        call.writer
            .write_bytes(Bytes::from_static(body))
            .await
            .unwrap();
        call.writer.finish().unwrap();
    }
    .boxed_local()
}

/// Refuses the call without reading its body.
pub(super) fn refuse(
    call: FakeCall,
    outcome: Outcome,
    reason: RefusalReason,
) -> LocalBoxFuture<'static, ()> {
    refuse_with_sequence(call, outcome, reason, 7)
}

pub(super) fn refuse_with_sequence(
    mut call: FakeCall,
    outcome: Outcome,
    reason: RefusalReason,
    sequence: u64,
) -> LocalBoxFuture<'static, ()> {
    async move {
        let refusal = Refusal {
            outcome,
            is_arrived: false,
            reason,
            after_ms: 1_200,
        };
        let head = ReplyHead::Refused {
            refusal,
            load: LOAD,
            sequence,
        };
        call.writer.write_frame(&head).await.unwrap();
        let _ = call.writer.finish();
    }
    .boxed_local()
}

/// Resets the stream without a reply.
pub(super) fn reset_stream(call: FakeCall) -> LocalBoxFuture<'static, ()> {
    async move { call.writer.reset() }.boxed_local()
}

/// Ingress in failure domain `a` and one sidecar for each upstream of the only service.
pub(super) struct Fixture {
    pub(super) context: Context,
    pub(super) callers: SocketAddr,
    pub(super) ingress: Ingress,
    pub(super) heads: Rc<RefCell<Vec<CallHead>>>,
    pub(super) services: Vec<Box<dyn Service>>,
}

impl Fixture {
    /// Starts the ingress and the sidecar that `make` returns for each upstream.
    pub(super) async fn start(
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> FakeSidecar,
    ) -> Self {
        Self::start_with_unreachable(upstreams, |name| Some(make(name))).await
    }

    /// Like [`Self::start`], but upstreams for which `make` returns `None` are unreachable.
    pub(super) async fn start_with_unreachable(
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> Option<FakeSidecar>,
    ) -> Self {
        Self::start_with_call_limit(512, upstreams, make).await
    }

    /// Like [`Self::start_with_unreachable`], on a node that allows `max_calls` calls in flight.
    pub(super) async fn start_with_call_limit(
        max_calls: usize,
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> Option<FakeSidecar>,
    ) -> Self {
        let context = Context::new(settings(free_address(), max_calls));
        let heads = Rc::default();
        let mut services: Vec<Box<dyn Service>> = Vec::new();
        let mut config = config();
        let mut vms = VmList::default();
        for &(name, domain) in upstreams {
            let address = free_address();
            if let Some(mut fake) = make(name) {
                fake.heads = Rc::clone(&heads);
                let context = Context::new(settings(address, max_calls));
                let handler = Rc::new(fake);
                context.registry().publish_handler("call", handler);
                let mut transport = Transport::default();
                transport.start(&context).await.unwrap();
                services.push(Box::new(transport));
            }
            add_upstream(&mut config, &mut vms, name, domain, address);
        }
        let mut stall = StallWatch::default();
        stall.start(&context).await.unwrap();
        services.push(Box::new(stall));
        let mut quota = Quota::default();
        quota.start(&context).await.unwrap();
        services.push(Box::new(quota));
        context.view().set_config(Arc::new(config));
        context.view().set_vms(Arc::new(vms));
        context.view().set_phase(Phase::Serving);
        let mut ingress = Ingress::default();
        ingress.start(&context).await.unwrap();
        let callers = ingress.server.as_ref().unwrap().addresses[0];
        Self {
            context,
            callers,
            ingress,
            heads,
            services,
        }
    }

    pub(super) fn heads(&self) -> Vec<CallHead> {
        self.heads.borrow().clone()
    }

    pub(super) fn drain(&self, vm: &str) {
        let mut drains = (*self.context.view().load().drains).clone();
        drains.merge(&DrainOrder {
            number: 1,
            scope: DrainScope::Vm(vm.into()),
            action: DrainAction::Drain,
        });
        self.context.view().set_drains(Arc::new(drains));
    }

    /// Puts limits on callers with the given idle time in force.
    pub(super) fn set_idle_timeout(&self, idle_timeout: Duration) {
        let view = self.context.view();
        let mut config = (*view.load().config).clone();
        config.sequence = config.sequence.next();
        config.caller_limits = Some(CallerLimits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout,
        });
        view.set_config(config.into());
    }

    pub(super) fn address(&self, vm: &str) -> SocketAddr {
        self.context
            .view()
            .load()
            .vms
            .get(&vm.into())
            .unwrap()
            .address
    }

    pub(super) async fn get(&self, target: &str) -> RawResponse {
        self.send("GET", target, &[], b"").await
    }

    pub(super) async fn post(&self, target: &str, headers: &[(&str, &str)]) -> RawResponse {
        self.send("POST", target, headers, b"body").await
    }

    /// Sends a request on a new connection and reads until the connection closes.
    pub(super) async fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> RawResponse {
        let mut text = format!("{method} {target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() {
            text += &format!("content-length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.write_all(body).await.unwrap();
        RawResponse::read(stream).await
    }
}

/// Bytes that a caller received on its connection, split at the end of the response head.
#[derive(Debug)]
pub(super) struct RawResponse {
    head: String,
    pub(super) rest: Vec<u8>,
}

impl RawResponse {
    pub(super) async fn read(mut stream: TcpStream) -> Self {
        let mut all = Vec::new();
        let read = stream.read_to_end(&mut all);
        let _ = tokio::time::timeout(Duration::from_secs(20), read)
            .await
            .expect("connection did not close within 20 s");
        let end = all.windows(4).position(|w| w == b"\r\n\r\n");
        let end = end.map_or(all.len(), |end| end + 4);
        let rest = all.split_off(end);
        let head = String::from_utf8(all).unwrap().to_ascii_lowercase();
        Self { head, rest }
    }

    /// Reads the head and the body of one response, as far as they come at once.
    pub(super) async fn read_head(stream: &mut TcpStream) -> Self {
        let mut all = Vec::new();
        while !all.windows(4).any(|w| w == b"\r\n\r\n") {
            stream.read_buf(&mut all).await.unwrap();
        }
        let head = String::from_utf8_lossy(&all).to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.map_or(0, |text| text.parse().unwrap());
        let end = all.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
        while all.len() < end + length {
            stream.read_buf(&mut all).await.unwrap();
        }
        let rest = all.split_off(end);
        let head = String::from_utf8(all).unwrap().to_ascii_lowercase();
        Self { head, rest }
    }

    /// Reads one response with a `content-length`, and nothing behind it.
    pub(super) async fn read_one(stream: &mut TcpStream) -> Self {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let mut rest = vec![0; length.map_or(0, |text| text.parse().unwrap())];
        stream.read_exact(&mut rest).await.unwrap();
        Self { head, rest }
    }

    #[track_caller]
    pub(super) fn assert_status(&self, status: u16) -> &Self {
        let line = format!("http/1.1 {status} ");
        assert!(
            self.head.starts_with(&line),
            "expected status {status}, got head: {}",
            self.head
        );
        self
    }

    pub(super) fn contains_line(&self, line: &str) -> bool {
        self.head.contains(line)
    }

    #[track_caller]
    pub(super) fn assert_header(&self, name: &str, value: &str) -> &Self {
        let line = format!("\r\n{name}: {value}\r\n");
        assert!(
            self.head.contains(&line),
            "expected header line {line:?} in head: {}",
            self.head
        );
        self
    }

    #[track_caller]
    pub(super) fn assert_body(&self, body: &[u8]) -> &Self {
        assert_eq!(self.rest, body);
        self
    }
}

pub(super) fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

pub(super) fn settings(peers: SocketAddr, max_calls: usize) -> Arc<Settings> {
    let bytes = max_calls << 16;
    let text = format!(
        "{{vm: v, domain: a, region: r, address: 127.0.0.1, callers: '127.0.0.1:0', \
         peers: '{peers}', admin: '127.0.0.1:0', limits: {{grace_s: 3, body_bytes: {bytes}}}}}"
    );
    Arc::new(serde_yaml_ng::from_str(&text).unwrap())
}

fn config() -> Config {
    let mut config = Config {
        sequence: Sequence(7),
        ..Config::default()
    };
    let service = ServiceSpec::with_name("s".into());
    config.services.insert("s".into(), Arc::new(service));
    for (name, path, timeout_ms) in [("x", "/x", 4_000), ("short", "/short", 300)] {
        let route = RouteSpec {
            name: name.into(),
            path: path.into(),
            methods: vec![Method::Get, Method::Head, Method::Post, Method::Put],
            service: "s".into(),
            idempotent: None,
            timeout_ms,
            host: None,
            split: Vec::new(),
            attempts: None,
            target_ms: None,
            priority: 0,
            public: false,
        };
        config.routes.insert(name.into(), Arc::new(route));
    }
    config
}

fn add_upstream(
    config: &mut Config,
    vms: &mut VmList,
    name: &str,
    domain: &str,
    address: SocketAddr,
) {
    let domain = DomainName::from(domain);
    let upstream = UpstreamSpec {
        name: name.into(),
        service: "s".into(),
        vm: name.into(),
        domain: domain.clone(),
        address: "127.0.0.1:9".parse().unwrap(),
        slots: 8,
        connections: 8,
        start: None,
    };
    config.upstreams.insert(name.into(), Arc::new(upstream));
    vms.vms.push(Arc::new(VmEntry {
        vm: name.into(),
        domain,
        region: "r".into(),
        address,
        state: VmState::Live,
        upstreams: Vec::new(),
    }));
}
