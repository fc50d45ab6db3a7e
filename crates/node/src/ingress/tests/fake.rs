//! An ingress with sidecars that answer by script, all in one process.

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
    Config, DomainName, DrainAction, DrainOrder, DrainScope, Method, RouteSpec, Sequence,
    ServiceSpec, UpstreamSpec, VmEntry, VmList, VmState,
};

use crate::{
    ingress::Ingress,
    kernel::{Context, Service},
    settings::Settings,
    stall::StallWatch,
    transport::{FrameReader, FrameWriter, StreamHandler, Transport},
    view::Phase,
    wire::{CallHead, Load, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// A call as it reached a fake sidecar.
pub(super) struct FakeCall {
    pub(super) head: CallHead,
    pub(super) reader: FrameReader,
    pub(super) writer: FrameWriter,
}

type Script = Rc<dyn Fn(FakeCall) -> LocalBoxFuture<'static, ()>>;

/// A sidecar that answers by script.
pub(super) struct Fake {
    script: Script,
    heads: Rc<RefCell<Vec<CallHead>>>,
}

impl Fake {
    pub(super) fn new(script: impl Fn(FakeCall) -> LocalBoxFuture<'static, ()> + 'static) -> Self {
        Self {
            script: Rc::new(script),
            heads: Rc::default(),
        }
    }
}

impl StreamHandler for Fake {
    fn handle(
        self: Rc<Self>,
        _peer: SocketAddr,
        mut reader: FrameReader,
        writer: FrameWriter,
    ) -> LocalBoxFuture<'static, ()> {
        async move {
            let Ok(Some(head)) = reader.frame::<CallHead>().await else {
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

/// Reads the request to its end and answers it whole.
pub(super) fn answer(mut call: FakeCall, body: &'static [u8]) -> LocalBoxFuture<'static, ()> {
    async move {
        while let Ok(Some(_)) = call.reader.bytes().await {}
        let head = answer_head(Some(body.len() as u64));
        call.writer.frame(&head).await.unwrap();
        call.writer.bytes(Bytes::from_static(body)).await.unwrap();
        call.writer.end().unwrap();
    }
    .boxed_local()
}

/// Refuses the request without reading it.
pub(super) fn refuse(
    call: FakeCall,
    outcome: Outcome,
    reason: RefusalReason,
) -> LocalBoxFuture<'static, ()> {
    refuse_at(call, outcome, reason, 7)
}

pub(super) fn refuse_at(
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
        call.writer.frame(&head).await.unwrap();
        let _ = call.writer.end();
    }
    .boxed_local()
}

/// Breaks the stream without a reply.
pub(super) fn pass(call: FakeCall) -> LocalBoxFuture<'static, ()> {
    async move { call.writer.reset() }.boxed_local()
}

/// An ingress in failure domain `a` with one sidecar for each upstream of the only service.
pub(super) struct Scene {
    pub(super) context: Context,
    pub(super) callers: SocketAddr,
    pub(super) ingress: Ingress,
    pub(super) heads: Rc<RefCell<Vec<CallHead>>>,
    pub(super) services: Vec<Box<dyn Service>>,
}

impl Scene {
    /// Starts sidecars as `make` gives them by upstream; one without a sidecar is out of reach.
    pub(super) async fn start(
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> Fake,
    ) -> Self {
        Self::start_some(upstreams, |name| Some(make(name))).await
    }

    pub(super) async fn start_some(
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> Option<Fake>,
    ) -> Self {
        Self::start_limited(512, upstreams, make).await
    }

    pub(super) async fn start_limited(
        calls: usize,
        upstreams: &[(&'static str, &'static str)],
        make: impl Fn(&str) -> Option<Fake>,
    ) -> Self {
        let context = Context::new(settings(free_address(), calls));
        let heads = Rc::default();
        let mut services: Vec<Box<dyn Service>> = Vec::new();
        let mut config = config();
        let mut vms = VmList::default();
        for &(name, domain) in upstreams {
            let address = free_address();
            if let Some(mut fake) = make(name) {
                fake.heads = Rc::clone(&heads);
                let context = Context::new(settings(address, calls));
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

    pub(super) fn address(&self, vm: &str) -> SocketAddr {
        self.context
            .view()
            .load()
            .vms
            .get(&vm.into())
            .unwrap()
            .address
    }

    pub(super) async fn get(&self, target: &str) -> Raw {
        self.send("GET", target, &[], b"").await
    }

    pub(super) async fn post(&self, target: &str, headers: &[(&str, &str)]) -> Raw {
        self.send("POST", target, headers, b"body").await
    }

    /// Sends one request on a connection of its own and reads until the connection ends.
    pub(super) async fn send(
        &self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Raw {
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
        Raw::read(stream).await
    }
}

/// All that a caller got on its connection.
#[derive(Debug)]
pub(super) struct Raw {
    head: String,
    pub(super) rest: Vec<u8>,
}

impl Raw {
    pub(super) async fn read(mut stream: TcpStream) -> Self {
        let mut all = Vec::new();
        let read = stream.read_to_end(&mut all);
        let _ = tokio::time::timeout(Duration::from_secs(20), read)
            .await
            .expect("the connection ends");
        let end = all.windows(4).position(|w| w == b"\r\n\r\n");
        let end = end.map_or(all.len(), |end| end + 4);
        let rest = all.split_off(end);
        let head = String::from_utf8(all).unwrap().to_ascii_lowercase();
        Self { head, rest }
    }

    #[track_caller]
    pub(super) fn is(&self, status: u16) -> &Self {
        let line = format!("http/1.1 {status} ");
        assert!(self.head.starts_with(&line), "{status}: {}", self.head);
        self
    }

    pub(super) fn has(&self, line: &str) -> bool {
        self.head.contains(line)
    }

    #[track_caller]
    pub(super) fn header(&self, name: &str, value: &str) -> &Self {
        let line = format!("\r\n{name}: {value}\r\n");
        assert!(self.head.contains(&line), "{line}: {}", self.head);
        self
    }

    #[track_caller]
    pub(super) fn body(&self, body: &[u8]) -> &Self {
        assert_eq!(self.rest, body);
        self
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn settings(peers: SocketAddr, calls: usize) -> Arc<Settings> {
    let bytes = calls << 16;
    let text = format!(
        "{{vm: v, domain: a, region: r, address: 127.0.0.1, callers: '127.0.0.1:0', \
         peers: '{peers}', admin: '127.0.0.1:0', limits: {{stop_ms: 3000, body_bytes: {bytes}}}}}"
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
            methods: vec![Method::Get, Method::Head, Method::Post],
            service: "s".into(),
            idempotent: None,
            timeout_ms,
            host: None,
            split: Vec::new(),
            attempts: None,
            target_ms: None,
            priority: 0,
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
