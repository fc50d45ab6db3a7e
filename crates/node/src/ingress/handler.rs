//! HTTP handler for requests of callers.

use std::{rc::Rc, sync::Arc, time::Instant};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    http::{
        ConnectionType, Version,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use wagtaillever_coordination::{Dialect, Route, RouteName, Sequence};

use crate::{
    ingress::{
        answer,
        body::{self, RequestBody},
        dispatch::Dispatch,
        guards::Permit,
        refusal::NOT_READY_RETRY_MS,
        request::{CallerRequest, RequestError, caller_name},
        worker::Worker,
    },
    view::Phase,
    wire::{Outcome, Refusal, RefusalReason},
};

/// Retry-after time of a call that exceeds its caller's share of calls in flight.
const OVERLOADED_RETRY_MS: u64 = 250;
/// Time for which callers may reuse an idle connection, shorter than the time after which the server
/// closes it.
const STATED_KEEP_ALIVE: &str = "timeout=60";

/// Handles a request and returns the response. Until the node stops, it states for how long the caller
/// may reuse the connection.
pub(super) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Rc<Worker>>,
) -> HttpResponse {
    let worker = Rc::clone(&worker);
    let mut response = respond(request, payload, &worker).await;
    let head = response.head_mut();
    if worker.routing().view.phase == Phase::Serving {
        let reuse_time = HeaderValue::from_static(STATED_KEEP_ALIVE);
        let name = HeaderName::from_static("keep-alive");
        head.headers_mut().insert(name, reuse_time);
    } else {
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

async fn respond(request: HttpRequest, payload: web::Payload, worker: &Rc<Worker>) -> HttpResponse {
    let (call, permit) = match accept_call(&request, worker) {
        Ok(accepted) => accepted,
        Err(mut rejection) => {
            body::discard(payload).await;
            return rejection.finish();
        }
    };
    let open_calls = &worker.shared.open_calls;
    let open_call = open_calls.open(Arc::clone(&call.call_id), call.arrived);
    let body = RequestBody::new(payload, call.length);
    Dispatch::new(worker, call, body)
        .run(permit, open_call)
        .await
}

/// Routes the call of a request.
///
/// # Errors
///
/// Returns the response if the request is rejected.
fn accept_call(
    request: &HttpRequest,
    worker: &Rc<Worker>,
) -> Result<(CallerRequest, Permit), HttpResponseBuilder> {
    let arrived = Instant::now();
    if request.version() < Version::HTTP_11 {
        return Err(answer::unsupported_version());
    }
    let rules = worker.header_rules();
    let dialect = rules.dialect;
    let record_rejection = |reason: RefusalReason, route: Option<&RouteName>| {
        let call = request.headers().get(dialect.call_id);
        let call = call.and_then(|call| call.to_str().ok()).unwrap_or_default();
        let reason = answer::reason_text(reason);
        worker.recorder.record_rejection(call, reason, route);
    };
    let reject = |reason: RefusalReason, after_ms: u64| {
        record_rejection(reason, None);
        rejection(dialect, reason, after_ms)
    };
    if !worker.routing().view.phase.can_accept_calls() || worker.is_quarantined() {
        return Err(reject(RefusalReason::NotReady, NOT_READY_RETRY_MS));
    }
    let routing = worker.routing();
    if routing.routes.sequence() == Sequence::ZERO {
        return Err(reject(RefusalReason::NotReady, NOT_READY_RETRY_MS));
    }
    let choose_service = |route: &Route| worker.choose_service(route);
    let call = CallerRequest::parse(request, &routing, rules, choose_service, arrived);
    let call = call.map_err(|err| match err {
        RequestError::NoRoute => {
            record_rejection(RefusalReason::NoRoute, None);
            answer::no_route()
        }
        RequestError::Unauthorized(reason, route) => {
            record_rejection(reason, Some(&route));
            rejection(dialect, reason, 0)
        }
        RequestError::Invalid(reason) => reject(reason, 0),
    })?;
    let permit = Permit::acquire(worker, caller_name(request))
        .ok_or_else(|| reject(RefusalReason::Overloaded, OVERLOADED_RETRY_MS))?;
    Ok((call, permit))
}

/// Returns the response to a request that is refused before any attempt.
fn rejection(dialect: &Dialect, reason: RefusalReason, after_ms: u64) -> HttpResponseBuilder {
    let refusal = Refusal {
        outcome: Outcome::DidNotRun,
        is_arrived: false,
        reason,
        after_ms,
    };
    answer::refusal_response(&refusal, dialect)
}
