//! Answers to callers.

use actix_web::{
    HttpResponse, HttpResponseBuilder,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
};
use wagtaillever_coordination::{Dialect, RetryAfterFormat, Sequence, UpstreamName};

use crate::wire::{Outcome, Refusal, RefusalReason};

/// Headers that hold for one connection only or that the node sets itself.
const OWN_HEADERS: [&str; 13] = [
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

/// Returns the head of an upstream's answer.
pub(super) fn head(
    status: u16,
    headers: &[(String, Vec<u8>)],
    upstream: &UpstreamName,
    note: Sequence,
    dialect: &Dialect,
) -> Option<HttpResponseBuilder> {
    let status = StatusCode::from_u16(status).ok()?;
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(value).ok()?;
        if !OWN_HEADERS.contains(&name.as_str()) {
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

/// Returns the answer to a request that no route takes.
pub(super) fn no_route() -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(StatusCode::NOT_FOUND);
    builder.insert_header(("x-outcome", outcome_text(Outcome::DidNotRun)));
    builder.insert_header(("x-reason", "no-route"));
    builder
}

/// Returns the answer to a request of an HTTP version in which a body that breaks off can look
/// whole.
pub(super) fn old_version() -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(StatusCode::HTTP_VERSION_NOT_SUPPORTED);
    builder.insert_header(("x-outcome", outcome_text(Outcome::DidNotRun)));
    builder.insert_header(("x-reason", "http-version"));
    builder
}

/// Returns the answer to a call that got none of an upstream.
pub(super) fn refused(refusal: &Refusal, dialect: &Dialect) -> HttpResponseBuilder {
    let mut builder = HttpResponse::build(status(refusal));
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

/// Adds the identity of the call, by which the time line finds it.
pub(super) fn add_call(builder: &mut HttpResponseBuilder, call: &str, dialect: &Dialect) {
    builder.insert_header((dialect.call_id, call));
}

fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.outcome) {
        (RefusalReason::BadKey | RefusalReason::TooManyHops, _) => StatusCode::BAD_REQUEST,
        (RefusalReason::InProgress, _) => StatusCode::CONFLICT,
        (_, Outcome::DidNotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (RefusalReason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the text of an outcome as callers see it.
pub(super) fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::DidNotRun => "did-not-run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    }
}

/// Returns the text of a reason as callers see it.
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
    }
}
