//! HTTP server of a simulated upstream.

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
    http::{
        StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
    web::{self, Data, Payload, Query, ServiceConfig},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    pattern::Pattern,
    upstream::{Arrival, Execution, UpstreamState, control::Command, state::RunningRequest},
};

/// State shared by the handlers of one process of a simulated upstream.
#[derive(Clone)]
pub(super) struct Process {
    /// State kept across restarts.
    pub(super) state: UpstreamState,
    /// Number of restarts before this process.
    pub(super) epoch: u64,
    /// Channel to the control task.
    pub(super) commands: mpsc::UnboundedSender<Command>,
}

/// Registers the handlers.
pub(super) fn configure(config: &mut ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/load", web::get().to(load))
        .default_service(web::to(handle_request));
}

/// Adds the headers to an answer in which the upstream states what it accepts.
pub(super) fn add_statements(state: &UpstreamState, headers: &mut HeaderMap) {
    for (name, value) in state.state_headers() {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    }
}

/// Counts a new connection and attaches a guard that removes it from the count when it closes.
pub(super) fn on_connect(process: &Process, _io: &dyn Any, data: &mut Extensions) {
    let is_within_limit = process.state.open_connection();
    if !is_within_limit {
        let _ = process.commands.send(Command::Overload);
    }
    data.insert(ConnectionGuard {
        process: process.clone(),
        is_new: AtomicBool::new(true),
    });
}

struct ConnectionGuard {
    process: Process,
    is_new: AtomicBool,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.process.state.close_connection(self.process.epoch);
    }
}

async fn health(process: Data<Process>) -> HttpResponse {
    if process.state.is_reported_healthy() {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}

async fn load(process: Data<Process>) -> HttpResponse {
    let active = process.state.reported_active();
    let slots = process.state.model().slots;
    HttpResponse::Ok().json(serde_json::json!({"active": active, "slots": slots}))
}

async fn handle_request(
    request: HttpRequest,
    query: Query<HashMap<String, String>>,
    mut body: Payload,
    process: Data<Process>,
) -> HttpResponse {
    set_up_connection(&request, &process.state).await;
    while let Some(chunk) = body.next().await {
        if chunk.is_err() {
            return HttpResponse::BadRequest().finish();
        }
    }
    let arrival = Arrival {
        request_id: header(request.headers(), "x-request-id").unwrap_or_default(),
        send_id: header(request.headers(), "x-sending").unwrap_or_default(),
        path: request.path().to_string(),
    };
    match process.state.execute(&arrival) {
        Execution::Shed => HttpResponse::ServiceUnavailable()
            .insert_header(("x-shed", "1"))
            .finish(),
        Execution::Overload => crash_process(&process, Command::Overload).await,
        Execution::Run(running, time) => {
            if query.contains_key("crash") {
                sleep(CRASH_DELAY).await;
                return crash_process(&process, Command::Crash).await;
            }
            run_request(&request, &query, &process, running, time).await;
            response(&arrival.request_id, &query, &process)
        }
    }
}

/// Time for which a crashing request runs before the upstream crashes.
const CRASH_DELAY: Duration = Duration::from_millis(5);

async fn set_up_connection(request: &HttpRequest, state: &UpstreamState) {
    let Some(guard) = request.conn_data::<ConnectionGuard>() else {
        return;
    };
    if guard.is_new.swap(false, Ordering::Relaxed) {
        sleep(Duration::from_millis(state.model().connect_ms)).await;
    }
}

async fn crash_process(process: &Process, command: Command) -> HttpResponse {
    let _ = process.commands.send(command);
    std::future::pending().await
}

async fn run_request(
    request: &HttpRequest,
    query: &HashMap<String, String>,
    process: &Process,
    running: RunningRequest,
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

fn response(id: &str, query: &HashMap<String, String>, process: &Process) -> HttpResponse {
    let size = query_number(query, "size").unwrap_or(DEFAULT_BYTES);
    let cut = query_number(query, "cut");
    let mut response = HttpResponseBuilder::new(StatusCode::OK);
    response
        .insert_header(("x-request-id", id))
        .insert_header(("x-start", process.epoch.to_string()))
        .insert_header(("content-type", "application/octet-stream"));
    let chunks = chunks(Pattern::of(id), size, cut);
    if query.contains_key("chunked") {
        return response.streaming(stream::iter(chunks));
    }
    response.body(SizedStream::new(size, stream::iter(chunks)))
}

/// Length of a response body when the request names none, in bytes.
const DEFAULT_BYTES: u64 = 256;
/// Length of one chunk of a response body, in bytes.
const CHUNK_BYTES: u64 = 16 << 10;

fn chunks(
    pattern: Pattern,
    size: u64,
    cut: Option<u64>,
) -> impl Iterator<Item = Result<Bytes, io::Error>> {
    let end = cut.unwrap_or(size).min(size);
    let complete = (0..end)
        .step_by(CHUNK_BYTES as usize)
        .map(move |at| Ok(pattern.bytes(at, CHUNK_BYTES.min(end - at) as usize)));
    let cut_error = cut.map(|_| Err(io::Error::from(io::ErrorKind::BrokenPipe)));
    complete.chain(cut_error)
}

fn query_number(query: &HashMap<String, String>, name: &str) -> Option<u64> {
    query.get(name).and_then(|text| text.parse().ok())
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_string)
}
