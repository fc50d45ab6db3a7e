//! Stand-in of a server of the platform.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer,
    web::{self, Data, PayloadConfig},
};

/// Size of the largest body that the upstream takes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Upstream that works for as long as the path of a request asks.
#[derive(Clone)]
pub(crate) struct TestUpstream {
    /// Name under which the upstream registers.
    pub(crate) name: String,
    started: Arc<Mutex<Vec<String>>>,
    seen: Arc<Mutex<Vec<Seen>>>,
    is_refusing: Arc<AtomicBool>,
}

/// Request as it arrived.
#[derive(Clone)]
pub(crate) struct Seen {
    id: String,
    headers: Vec<(String, String)>,
}

impl Seen {
    /// Returns the values of a header.
    pub(crate) fn values(&self, name: &str) -> Vec<&str> {
        let same = self.headers.iter().filter(|(other, _)| other == name);
        same.map(|(_, value)| value.as_str()).collect()
    }
}

impl TestUpstream {
    pub(crate) fn new(name: String) -> Self {
        Self {
            name,
            started: Arc::default(),
            seen: Arc::default(),
            is_refusing: Arc::default(),
        }
    }

    /// Serves the upstream at an address.
    pub(crate) fn serve(&self, address: SocketAddr) {
        let upstream = Data::new(self.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(upstream.clone())
                .app_data(PayloadConfig::new(MAX_BODY_BYTES))
                .route("/health", web::get().to(HttpResponse::Ok))
                .default_service(web::to(run))
        });
        let server = server.workers(1).disable_signals().bind(address).unwrap();
        actix_rt::spawn(server.run());
    }

    /// Refuses requests from now on without running them.
    pub(crate) fn refuse_requests(&self) {
        self.is_refusing.store(true, Ordering::SeqCst);
    }

    /// Returns the requests with an ID as they arrived.
    pub(crate) fn seen(&self, id: &str) -> Vec<Seen> {
        let seen = self.seen.lock().unwrap();
        seen.iter().filter(|it| it.id == id).cloned().collect()
    }

    /// Returns the number of requests that have begun to run.
    pub(crate) fn runs(&self) -> usize {
        self.started.lock().unwrap().len()
    }

    /// Returns how many requests have begun to run whose ID has a prefix.
    pub(crate) fn runs_of(&self, prefix: &str) -> usize {
        let started = self.started.lock().unwrap();
        started.iter().filter(|id| id.starts_with(prefix)).count()
    }

    /// Returns whether a request has begun to run.
    pub(crate) fn has_run(&self, id: &str) -> bool {
        self.started.lock().unwrap().iter().any(|it| it == id)
    }
}

/// Runs a request; the last segment of its path is `w` and the milliseconds of work. A segment of `b` and
/// a number before it asks for a body of that many bytes.
async fn run(
    request: HttpRequest,
    upstream: Data<TestUpstream>,
    _body: web::Bytes,
) -> HttpResponse {
    let header = |name| request.headers().get(name).and_then(|it| it.to_str().ok());
    let id = header("request-id").unwrap_or_default().to_owned();
    if header("target-instance").is_some_and(|target| target != upstream.name) {
        return HttpResponse::MisdirectedRequest().finish();
    }
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| {
        let value = String::from_utf8_lossy(value.as_bytes());
        (name.to_string(), value.into_owned())
    });
    upstream.seen.lock().unwrap().push(Seen {
        id: id.clone(),
        headers: headers.collect(),
    });
    if upstream.is_refusing.load(Ordering::SeqCst) {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("not-executed", "1"))
            .finish();
    }
    upstream.started.lock().unwrap().push(id.clone());
    let work = request.path().rsplit("/w").next();
    let work = work.and_then(|text| text.parse().ok()).unwrap_or(0);
    actix_rt::time::sleep(Duration::from_millis(work)).await;
    let segments = request.path().split('/');
    let size = segments
        .filter_map(|it| it.strip_prefix('b')?.parse().ok())
        .next();
    HttpResponse::Ok()
        .insert_header(("request-id", id.clone()))
        .insert_header(("response-signature", "signed"))
        .body(size.map_or(id, |bytes| "b".repeat(bytes)))
}
