//! Forwards a request to the upstream and receives the head of its answer.

use std::{
    cell::Cell,
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_web::body::SizedStream;
use awc::{
    ClientRequest, ClientResponse, SendClientRequest,
    error::{ConnectError, SendRequestError},
    http::{Method, StatusCode, header},
};
use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time::{sleep, timeout_at};
use wagtaillever_coordination::{Dialect, SampleResult};

use crate::{
    kernel::StopGate,
    sidecar::{
        call::Call,
        connector::Trace,
        execute::RequestBody,
        headers, refuse,
        statements::{Source, Statements},
        upstream::LocalUpstream,
    },
    transport::{FrameReader, TransportError},
    wire::{Outcome, Refusal, RefusalReason},
};

/// Lowest status for which the upstream's statement that it did not run the request is accepted.
const MIN_FAILURE_STATUS: u16 = 400;

/// Time by which the reuse of a connection ends before its upstream closes it.
const REUSE_MARGIN: Duration = Duration::from_millis(500);

/// Time for which a call keeps a slot that other calls wait for, while its caller sends nothing of the body. A lost
/// packet is sent again within this time.
pub(super) const UPLOAD_STALL_TIME: Duration = Duration::from_secs(1);
/// Interval at which a body that is not whole is checked for that.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Head of an answer whose body is not read yet.
pub(super) struct Answer {
    /// Response from `awc`.
    pub(super) response: ClientResponse,
    /// Observed state of the connection.
    pub(super) trace: Rc<Trace>,
    /// Value of the `content-length` header in bytes.
    pub(super) length: Option<u64>,
    /// Length of the following body in bytes, if it is known.
    pub(super) expected: Option<u64>,
    /// Identity of the upstream's process, if it states one.
    pub(super) process: Option<Vec<u8>>,
    /// Time for which the connection may stay idle until another call, if the upstream states one.
    pub(super) keep_alive: Option<Duration>,
}

/// Reason why there is no answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No connection could be opened.
    ConnectFailed,
    /// The upstream stated that it did not run the request.
    Shed {
        /// Time after which the upstream asks for a retry.
        after: Option<Duration>,
    },
    /// The address belongs to another upstream, which refused the request.
    Misdirected,
    /// The connection broke after the request was written.
    Broken,
    /// The connection broke before the request was written.
    Unwritten,
    /// The body of the request broke off.
    BodyBroken {
        /// Whether any part of the request was written.
        written: bool,
    },
    /// The caller sent no more of the body while other calls waited for the slot.
    BodyStalled {
        /// Whether any part of the request was written.
        written: bool,
    },
    /// The node stops and does not pass on the rest of the request.
    Stopped {
        /// Whether any part of the request was written.
        written: bool,
    },
    /// The deadline passed.
    Deadline {
        /// Whether any part of the request was written.
        written: bool,
    },
    /// The answer is invalid HTTP, is for another call, or has no verifiable end.
    BadAnswer,
    /// The request is not valid HTTP.
    BadRequest,
}

impl Failure {
    /// Returns the refusal that reports the failure to the caller.
    pub(super) fn refusal(&self) -> Refusal {
        let outcome = if self.may_have_run() {
            Outcome::Unknown
        } else {
            Outcome::DidNotRun
        };
        let reason = match self {
            Self::ConnectFailed | Self::Unwritten => RefusalReason::Unreachable,
            Self::Misdirected => RefusalReason::NoUpstream,
            Self::Shed { .. } => RefusalReason::Overloaded,
            Self::Broken | Self::BodyBroken { .. } | Self::BodyStalled { .. } => {
                RefusalReason::Broken
            }
            Self::Stopped { .. } => RefusalReason::Draining,
            Self::Deadline { .. } => RefusalReason::Deadline,
            Self::BadAnswer | Self::BadRequest => RefusalReason::BadAnswer,
        };
        let mut refusal = match self {
            Self::Shed { after: Some(after) } => refuse::with_retry_after(outcome, reason, *after),
            _ => refuse::with_outcome(outcome, reason),
        };
        refusal.is_arrived |= matches!(self, Self::Shed { .. });
        refusal
    }

    /// Returns the result to record for the upstream.
    pub(super) fn sample_result(&self) -> SampleResult {
        match self {
            Self::ConnectFailed | Self::Misdirected => SampleResult::Refused,
            Self::Shed { .. } => SampleResult::Shed,
            Self::Broken | Self::BadAnswer | Self::Deadline { .. } => SampleResult::Failed,
            Self::Unwritten
            | Self::BodyBroken { .. }
            | Self::BodyStalled { .. }
            | Self::Stopped { .. }
            | Self::BadRequest => SampleResult::Abandoned,
        }
    }

    fn may_have_run(&self) -> bool {
        match self {
            Self::ConnectFailed
            | Self::Shed { .. }
            | Self::Misdirected
            | Self::Unwritten
            | Self::BadRequest => false,
            Self::BodyBroken { written }
            | Self::BodyStalled { written }
            | Self::Stopped { written }
            | Self::Deadline { written } => *written,
            Self::Broken | Self::BadAnswer => true,
        }
    }
}

/// Sends the request with its body and waits for the head of the answer.
///
/// `awc` writes the whole request before it reads the answer. An upstream that waits for its answer
/// to be read while a large request is still being sent blocks the call until the deadline.
///
/// Dropping the future cancels the request by closing its connection. The gate of a stop does the same while
/// the body of the request is not whole.
///
/// # Errors
///
/// Returns the failure, which determines the outcome of the call.
pub(super) async fn forward(
    upstream: &Rc<LocalUpstream>,
    call: &Call,
    body: &RequestBody,
    dialect: &Dialect,
    gate: &StopGate,
) -> Result<Answer, Failure> {
    let sent_at = Instant::now();
    let trace = Rc::new(Trace::default());
    let request = request(upstream, call, dialect)?;
    let upload = Rc::new(Upload::new(call.head.length));
    let sent = Rc::clone(&trace).scope(send(request, call, body, &upload));
    let abandoned_upload = async {
        upload.wait_for_stall(|| upstream.is_slot_wanted()).await;
        metrics::counter!("sidecar_bodies_not_sent_total").increment(1);
    };
    let refused_in_part = async {
        gate.wait_until_refused(call.deadline).await;
        if upload.is_whole() {
            pending().await
        }
    };
    let sent = tokio::select! {
        biased;
        sent = timeout_at(call.deadline.into(), sent) => sent,
        () = refused_in_part => {
            let written = trace.is_written();
            return Err(Failure::Stopped { written });
        }
        () = abandoned_upload => {
            let written = trace.is_written();
            return Err(Failure::BodyStalled { written });
        }
    };
    let Ok(result) = sent else {
        let written = trace.is_written();
        return Err(Failure::Deadline { written });
    };
    let response = result.map_err(|err| classify(&err, &trace))?;
    if is_from_upstream(&response, call, dialect) {
        let statement = Statements::read(response.headers(), dialect);
        upstream.record_statement(statement, sent_at, Source::Call(&call.head.call));
    }
    check_answer(response, call, trace, dialect)
}

fn request(
    upstream: &LocalUpstream,
    call: &Call,
    dialect: &Dialect,
) -> Result<ClientRequest, Failure> {
    let head = &call.head;
    let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| Failure::BadRequest)?;
    let url = format!("http://{}{}", upstream.spec().address, head.target);
    let mut request = upstream.client().request(method, url).no_decompress();
    for pair in headers::for_upstream(&head.headers, dialect) {
        request = request.append_header(pair);
    }
    let left_ms = u64::try_from(call.time_left().as_millis()).unwrap_or(u64::MAX);
    request = request
        .insert_header((dialect.call_id, head.call.as_str()))
        .insert_header((dialect.deadline_ms, left_ms.to_string()));
    if let Some(name) = dialect.hops {
        request = request.insert_header((name, head.hops.to_string()));
    }
    if let Some(name) = dialect.note {
        request = request.insert_header((name, head.sequence.to_string()));
    }
    if let Some(name) = dialect.target_upstream {
        request = request.insert_header((name, upstream.spec().name.as_str()));
    }
    Ok(request)
}

async fn send(
    request: ClientRequest,
    call: &Call,
    body: &RequestBody,
    upload: &Rc<Upload>,
) -> Result<ClientResponse, SendRequestError> {
    let has_body = !matches!(
        call.head.method.as_str(),
        "GET" | "HEAD" | "DELETE" | "OPTIONS"
    );
    let sending: SendClientRequest = match call.head.length {
        Some(0) if !has_body => request.send(),
        Some(length) => request.send_body(SizedStream::new(length, chunks(body, upload))),
        None => request.send_stream(chunks(body, upload)),
    };
    sending.await
}

/// How much of a request body was received for the upstream.
struct Upload {
    /// Length of the body, if it is known.
    length: Option<u64>,
    received: Cell<u64>,
    is_ended: Cell<bool>,
    /// Since when the next part is missing, if the upstream could take it.
    missing_since: Cell<Option<Instant>>,
}

impl Upload {
    fn new(length: Option<u64>) -> Self {
        Self {
            length,
            received: Cell::default(),
            is_ended: Cell::default(),
            missing_since: Cell::default(),
        }
    }

    /// Waits until the next part has been missing for [`UPLOAD_STALL_TIME`] while other calls wait for the slot.
    async fn wait_for_stall(&self, is_slot_wanted: impl Fn() -> bool) {
        let is_stalled = || {
            let missing = self.missing_since.get();
            missing.is_some_and(|since| since.elapsed() >= UPLOAD_STALL_TIME)
        };
        while !self.is_whole() {
            sleep(UPLOAD_CHECK_INTERVAL).await;
            if is_stalled() && is_slot_wanted() {
                return;
            }
        }
        pending().await
    }

    fn record(&self, chunk: Option<&Bytes>) {
        self.missing_since.set(None);
        match chunk {
            Some(chunk) => self.received.set(self.received.get() + chunk.len() as u64),
            None => self.is_ended.set(true),
        }
    }

    fn is_whole(&self) -> bool {
        self.is_ended.get() || self.length == Some(self.received.get())
    }
}

/// Streams a body, which is taken when its first part is polled.
fn chunks(
    body: &RequestBody,
    upload: &Rc<Upload>,
) -> impl Stream<Item = Result<Bytes, TransportError>> + use<> {
    let body = Rc::clone(body);
    let upload = Rc::clone(upload);
    stream::try_unfold(None::<FrameReader>, move |reader| {
        let reader = reader.or_else(|| body.borrow_mut().take());
        let upload = Rc::clone(&upload);
        async move {
            let mut reader = reader.ok_or(TransportError::Ended)?;
            upload.missing_since.set(Some(Instant::now()));
            let chunk = reader.read_bytes().await?;
            upload.record(chunk.as_ref());
            Ok(chunk.map(|chunk| (chunk, Some(reader))))
        }
    })
}

fn classify(err: &SendRequestError, trace: &Trace) -> Failure {
    let written = trace.is_written();
    match err {
        SendRequestError::Url(_) | SendRequestError::Http(_) => Failure::BadRequest,
        SendRequestError::Body(_) => Failure::BodyBroken { written },
        SendRequestError::Connect(ConnectError::Timeout) if !written => Failure::ConnectFailed,
        SendRequestError::Connect(ConnectError::Io(_)) if !written => Failure::ConnectFailed,
        _ if !written => Failure::Unwritten,
        SendRequestError::Response(_) if !trace.is_closed() => Failure::BadAnswer,
        _ => Failure::Broken,
    }
}

fn check_answer(
    response: ClientResponse,
    call: &Call,
    trace: Rc<Trace>,
    dialect: &Dialect,
) -> Result<Answer, Failure> {
    let status = response.status();
    let length = content_length(&response);
    let expected = body_length(&response, &call.head.method);
    if status.is_informational() || expected.is_none() && !is_chunked(&response) {
        trace.discard();
        return Err(Failure::BadAnswer);
    }
    let identity = Identity::of(&response, call, dialect);
    if !is_answer_to(&response, identity, dialect) {
        trace.discard();
        return Err(Failure::BadAnswer);
    }
    if let Some(rejection) = rejection(&response, dialect) {
        if identity == Identity::Unstated {
            // A second copy would pass for the rejection of the next call on the connection.
            trace.discard();
        }
        return Err(rejection);
    }
    let keep_alive = keep_alive(&response);
    let process = dialect
        .process
        .and_then(|name| response.headers().get(name));
    let process = process.map(|process| process.as_bytes().to_vec());
    Ok(Answer {
        response,
        trace,
        length,
        expected,
        process,
        keep_alive,
    })
}

fn body_length(response: &ClientResponse, method: &str) -> Option<u64> {
    let status = response.status();
    if method == "HEAD" || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Some(0);
    }
    if is_chunked(response) {
        return None;
    }
    content_length(response)
}

fn content_length(response: &ClientResponse) -> Option<u64> {
    let length = response.headers().get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}

fn is_chunked(response: &ClientResponse) -> bool {
    header_is(response, "transfer-encoding", "chunked")
}

/// To which call a response belongs, by the ID that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Identity {
    /// It carries the ID of the call.
    Own,
    /// It carries another ID.
    Other,
    /// It carries no ID.
    Unstated,
}

impl Identity {
    fn of(response: &ClientResponse, call: &Call, dialect: &Dialect) -> Self {
        let own = call.head.call.as_bytes();
        match response.headers().get(dialect.call_id) {
            None => Self::Unstated,
            Some(echoed) if echoed.as_bytes().eq_ignore_ascii_case(own) => Self::Own,
            Some(_) => Self::Other,
        }
    }
}

/// Returns whether a response with the identity can be the answer to the call. A rejection may come
/// without an ID; it then ends its connection, so it can't be a copy of an earlier one.
fn is_answer_to(response: &ClientResponse, identity: Identity, dialect: &Dialect) -> bool {
    match identity {
        Identity::Own => true,
        Identity::Other => false,
        Identity::Unstated => !dialect.echoes_call_id || rejection(response, dialect).is_some(),
    }
}

/// Returns the failure that a rejection of the request states: it did not run.
fn rejection(response: &ClientResponse, dialect: &Dialect) -> Option<Failure> {
    let status = response.status().as_u16();
    if dialect.misdirected_status == Some(status) {
        return Some(Failure::Misdirected);
    }
    let is_shed = status >= MIN_FAILURE_STATUS && header_is(response, dialect.not_run, "1");
    is_shed.then(|| Failure::Shed {
        after: retry_after(response),
    })
}

/// Returns whether the upstream itself wrote the answer for this call: another upstream may have
/// its address, and a late copy of an answer to another call tells what was true earlier.
fn is_from_upstream(response: &ClientResponse, call: &Call, dialect: &Dialect) -> bool {
    let status = response.status();
    let is_misdirected = dialect.misdirected_status == Some(status.as_u16());
    let identity = Identity::of(response, call, dialect);
    !status.is_informational() && !is_misdirected && is_answer_to(response, identity, dialect)
}

/// Returns the time for which the upstream keeps the idle connection, less [`REUSE_MARGIN`].
fn keep_alive(response: &ClientResponse) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let mut parts = value.split(',').filter_map(|part| part.split_once('='));
    let timeout = parts.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    let seconds = timeout?.1.trim().parse::<u32>().ok()?;
    Some(Duration::from_secs(seconds.into()).saturating_sub(REUSE_MARGIN))
}

fn retry_after(response: &ClientResponse) -> Option<Duration> {
    let value = response.headers().get("x-retry-after-ms")?;
    let millis = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn header_is(response: &ClientResponse, name: &str, expected: &str) -> bool {
    let value = response.headers().get(name);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.trim().eq_ignore_ascii_case(expected))
}
