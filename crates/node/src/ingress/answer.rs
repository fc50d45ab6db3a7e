//! HTTP responses to callers.

use actix_http::{
    Response, ResponseBuilder, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};
use wagtaillever_coordination::{Dialect, RetryAfterFormat, Sequence, UpstreamName};

use crate::wire::{Outcome, Refusal, RefusalReason};

/// Response to a caller.
pub(super) type CallerResponse = Response<BoxBody>;

/// Headers of an upstream's answer that are not forwarded: hop-by-hop headers and those that the
/// node sets itself.
const RESERVED_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-note",
    "x-outcome",
    "x-reason",
    "x-start",
    "x-upstream",
];

/// Returns the response head for an upstream's answer, or `None` if its status or a header is
/// invalid.
pub(super) fn response_head(
    status_code: u16,
    headers: &[(String, Vec<u8>)],
    upstream: &UpstreamName,
    note: Sequence,
    dialect: &Dialect,
) -> Option<ResponseBuilder> {
    let status_code = StatusCode::from_u16(status_code).ok()?;
    let mut builder = Response::build(status_code);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(value).ok()?;
        if !RESERVED_HEADERS.contains(&name.as_str()) {
            builder.append_header((name, value));
        }
    }
    if dialect.outcome_headers {
        builder.insert_header(("x-outcome", outcome_text(Outcome::Ran)));
        builder.insert_header(("x-upstream", upstream.as_str()));
        builder.insert_header(("x-note", note.to_string()));
    }
    Some(builder)
}

/// Returns the response with a body, or one that states an error if the head is invalid.
pub(super) fn with_body(builder: &mut ResponseBuilder, body: BoxBody) -> CallerResponse {
    builder.message_body(body).unwrap_or_else(Response::from)
}

/// Returns the response without a body.
pub(super) fn without_body(builder: &mut ResponseBuilder) -> CallerResponse {
    builder.finish().map_into_boxed_body()
}

/// Returns the response to a request that matches no route.
pub(super) fn no_route() -> ResponseBuilder {
    let mut builder = Response::build(StatusCode::NOT_FOUND);
    builder.insert_header(("x-outcome", outcome_text(Outcome::DidNotRun)));
    builder.insert_header(("x-reason", "no-route"));
    builder
}

/// Returns the response to a request in an HTTP version before 1.1, in which a truncated body
/// can't be told from a complete one.
pub(super) fn unsupported_version() -> ResponseBuilder {
    let mut builder = Response::build(StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    builder.insert_header(("x-outcome", outcome_text(Outcome::DidNotRun)));
    builder.insert_header(("x-reason", "http-version"));
    builder
}

/// Returns the response to a call that no upstream answered.
pub(super) fn refusal_response(refusal: &Refusal, dialect: &Dialect) -> ResponseBuilder {
    let status_code = status_code(refusal);
    let mut builder = Response::build(status_code);
    if status_code == StatusCode::UNAUTHORIZED {
        builder.insert_header(("www-authenticate", "Bearer"));
    }
    if dialect.outcome_headers {
        builder.insert_header(("x-outcome", outcome_text(refusal.outcome)));
        builder.insert_header(("x-reason", reason_text(refusal.reason)));
    }
    let after_ms = refusal.after_ms;
    match dialect.retry_after {
        _ if after_ms == 0 => {}
        RetryAfterFormat::WholeSeconds => {
            let seconds = after_ms.div_ceil(1000);
            builder.insert_header(("retry-after", seconds.to_string()));
            builder.insert_header(("x-retry-after-ms", after_ms.to_string()));
        }
        RetryAfterFormat::FractionalSeconds => {
            let seconds = format!("{}.{:03}", after_ms / 1000, after_ms % 1000);
            builder.insert_header(("retry-after", seconds));
        }
    }
    builder
}

/// Adds the call ID, under which the timeline lists the call.
pub(super) fn add_call_id(builder: &mut ResponseBuilder, call_id: &str, dialect: &Dialect) {
    builder.insert_header((dialect.call_id, call_id));
}

fn status_code(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.outcome) {
        (RefusalReason::BadKey | RefusalReason::TooManyHops | RefusalReason::BadCallId, _) => {
            StatusCode::BAD_REQUEST
        }
        (reason, Outcome::DidNotRun) if reason.is_about_api_key() => StatusCode::UNAUTHORIZED,
        (RefusalReason::BodyTooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (RefusalReason::QuotaExceeded, Outcome::DidNotRun) => StatusCode::TOO_MANY_REQUESTS,
        (RefusalReason::InProgress, _) => StatusCode::CONFLICT,
        (_, Outcome::DidNotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the value of the header `x-outcome`.
pub(super) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::DidNotRun => "did-not-run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    }
}

/// Returns the value of the header `x-reason`.
pub(super) fn reason_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::Unreachable => "unreachable",
        RefusalReason::Broken => "broken",
        RefusalReason::Deadline => "deadline",
        RefusalReason::Draining => "draining",
        RefusalReason::NotReady => "not-ready",
        RefusalReason::NoUpstream => "no-upstream",
        RefusalReason::NotOwner => "not-owner",
        RefusalReason::BadKey => "bad-key",
        RefusalReason::StaleKey => "stale-key",
        RefusalReason::InProgress => "in-progress",
        RefusalReason::Poison => "poison",
        RefusalReason::TooManyHops => "too-many-hops",
        RefusalReason::BadAnswer => "bad-answer",
        RefusalReason::NoRoute => "no-route",
        RefusalReason::QuotaExceeded => "quota-exceeded",
        RefusalReason::BadCallId => "bad-call-id",
        RefusalReason::NoApiKey => "no-api-key",
        RefusalReason::UnknownApiKey => "unknown-api-key",
        RefusalReason::BodyTooLarge => "body-too-large",
        RefusalReason::NoMemory => "no-memory",
    }
}
