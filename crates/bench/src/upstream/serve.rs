//! HTTP side of a stand-in of an upstream.

use std::{
    any::Any,
    collections::HashMap,
    io,
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    body::SizedStream,
    dev::Extensions,
    http::{StatusCode, header::HeaderMap},
    web::{self, Data, Payload, Query, ServiceConfig},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    pattern::Pattern,
    upstream::{Arrival, Execution, UpstreamState, control::Command, state::Running},
};

/// What the handlers of one process of a stand-in share.
#[derive(Clone)]
pub(super) struct Process {
    /// State over all restarts.
    pub(super) state: UpstreamState,
    /// Number of the process.
    pub(super) epoch: u64,
    /// Channel to the control of the stand-in.
    pub(super) commands: mpsc::UnboundedSender<Command>,
}

/// Registers the handlers.
pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/load", web::get().to(load))
        .default_service(web::to(work));
}

/// Attaches what is known of a connection.
pub(super) fn connected(process: &Process, _io: &dyn Any, data: &mut Extensions) {
    let fits = process.state.open_connection();
    if !fits {
        let _ = process.commands.send(Command::FallOver);
    }
    data.insert(ConnectionGuard {
        process: process.clone(),
        is_fresh: AtomicBool::new(true),
    });
}

struct ConnectionGuard {
    process: Process,
    is_fresh: AtomicBool,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.process.state.close_connection(self.process.epoch);
    }
}

async fn health(process: Data<Process>) -> HttpResponse {
    if process.state.looks_healthy() {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}

async fn load(process: Data<Process>) -> HttpResponse {
    let active = process.state.looks_active();
    let slots = process.state.model().slots;
    HttpResponse::Ok().json(serde_json::json!({"active": active, "slots": slots}))
}

async fn work(
    request: HttpRequest,
    query: Query<HashMap<String, String>>,
    mut body: Payload,
    process: Data<Process>,
) -> HttpResponse {
    set_up_connection(&request, &process.state).await;
    while let Some(part) = body.next().await {
        if part.is_err() {
            return HttpResponse::BadRequest().finish();
        }
    }
    let arrival = Arrival {
        request: header(request.headers(), "x-request-id").unwrap_or_default(),
        sending: header(request.headers(), "x-sending").unwrap_or_default(),
        path: request.path().to_string(),
    };
    match process.state.execute(&arrival) {
        Execution::Shed => HttpResponse::ServiceUnavailable()
            .insert_header(("x-shed", "1"))
            .finish(),
        Execution::FallOver => crash(&process, Command::FallOver).await,
        Execution::Run(running, time) => {
            if query.contains_key("crash") {
                sleep(CRASH_AFTER).await;
                return crash(&process, Command::Crash).await;
            }
            run(&request, &query, &process, running, time).await;
            answer(&arrival.request, &query, &process)
        }
    }
}

/// Time that a crashing request runs before it takes the upstream down.
const CRASH_AFTER: Duration = Duration::from_millis(5);

async fn set_up_connection(request: &HttpRequest, state: &UpstreamState) {
    let Some(guard) = request.conn_data::<ConnectionGuard>() else {
        return;
    };
    if guard.is_fresh.swap(false, Ordering::Relaxed) {
        sleep(Duration::from_millis(state.model().connect_ms)).await;
    }
}

async fn crash(process: &Process, command: Command) -> HttpResponse {
    let _ = process.commands.send(command);
    std::future::pending().await
}

async fn run(
    request: &HttpRequest,
    query: &HashMap<String, String>,
    process: &Process,
    running: Running,
    time: Duration,
) {
    let fixed = query.get("ms").and_then(|ms| ms.parse().ok());
    let time = fixed.map_or(time, Duration::from_millis);
    let left = header(request.headers(), "x-deadline-ms").and_then(|ms| ms.parse().ok());
    let left = left.map_or(time, Duration::from_millis);
    sleep(time.min(left)).await;
    if process.state.epoch() == process.epoch {
        running.finish();
    }
}

fn answer(id: &str, query: &HashMap<String, String>, process: &Process) -> HttpResponse {
    let size = number(query, "size").unwrap_or(DEFAULT_BYTES);
    let cut = number(query, "cut");
    let mut response = HttpResponseBuilder::new(StatusCode::OK);
    response
        .insert_header(("x-request-id", id))
        .insert_header(("x-start", process.epoch.to_string()))
        .insert_header(("content-type", "application/octet-stream"));
    let parts = parts(Pattern::of(id), size, cut);
    if query.contains_key("chunked") {
        return response.streaming(stream::iter(parts));
    }
    response.body(SizedStream::new(size, stream::iter(parts)))
}

/// Length of an answer that the request does not state, in bytes.
const DEFAULT_BYTES: u64 = 256;
/// Length of one part of an answer, in bytes.
const PART_BYTES: u64 = 16 << 10;

fn parts(
    pattern: Pattern,
    size: u64,
    cut: Option<u64>,
) -> impl Iterator<Item = Result<Bytes, io::Error>> {
    let end = cut.unwrap_or(size).min(size);
    let whole = (0..end)
        .step_by(PART_BYTES as usize)
        .map(move |at| Ok(pattern.bytes(at, PART_BYTES.min(end - at) as usize)));
    let broken = cut.map(|_| Err(io::Error::from(io::ErrorKind::BrokenPipe)));
    whole.chain(broken)
}

fn number(query: &HashMap<String, String>, name: &str) -> Option<u64> {
    query.get(name).and_then(|text| text.parse().ok())
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}
