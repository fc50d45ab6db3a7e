//! HTTP handler for requests of callers.

use std::{rc::Rc, sync::Arc, time::Instant};

use actix_http::{Request, ResponseBuilder, Version};
use futures_util::future::{FutureExt, LocalBoxFuture};
use wagtaillever_coordination::{Dialect, Route, RouteName, Sequence};

use crate::{
    ingress::{
        answer::{self, CallerResponse},
        body::{self, DEFAULT_MAX_BYTES, RequestBody},
        connection::{Payload, Repeat},
        dispatch::Dispatch,
        guards::Permit,
        refusal::NOT_READY_RETRY_MS,
        request::{CallerRequest, RequestError, StatedWait, caller_name},
        worker::Worker,
    },
    wire::{Outcome, Refusal, RefusalReason},
};

/// Retry-after time of a call that exceeds its caller's share of calls in flight.
const OVERLOADED_RETRY_MS: u64 = 250;

/// A request that was routed.
pub(super) struct Handled {
    /// Whether it may run more than once.
    pub(super) repeat: Repeat,
    /// Time that its caller is willing to wait, if it is stated.
    pub(super) wait: Option<StatedWait>,
    /// Response to it. Its call starts when the response is first polled.
    pub(super) response: LocalBoxFuture<'static, CallerResponse>,
}

/// Routes a request that arrived at `arrived`.
pub(super) fn handle(
    request: Request,
    payload: Payload,
    worker: &Rc<Worker>,
    arrived: Instant,
) -> Handled {
    match accept_call(&request, worker, arrived) {
        Ok((call, permit)) => {
            let repeat = if call.idempotent {
                Repeat::Allowed
            } else {
                Repeat::Forbidden
            };
            let wait = call.stated_wait();
            let response = respond(Rc::clone(worker), call, permit, payload);
            Handled {
                repeat,
                wait,
                response: response.boxed_local(),
            }
        }
        Err(rejection) => {
            // A caller that waits for an interim response learns of the rejection instead.
            let payload = (!request.head().expect()).then_some(payload);
            Handled {
                repeat: Repeat::Allowed,
                wait: None,
                response: reject(rejection, payload).boxed_local(),
            }
        }
    }
}

async fn respond(
    worker: Rc<Worker>,
    call: CallerRequest,
    permit: Permit,
    payload: Payload,
) -> CallerResponse {
    let open_calls = &worker.shared.open_calls;
    let open_call = open_calls.open(Arc::clone(&call.call_id), call.arrived);
    let limits = worker.routing().view.config.caller_limits;
    let max_bytes = limits.map_or(DEFAULT_MAX_BYTES, |limits| limits.body_bytes);
    let budget = &worker.shared.body_budget;
    let body = RequestBody::new(payload, call.length, max_bytes, budget);
    let dispatch = Dispatch::new(&worker, call, body);
    dispatch.run(permit, open_call).await
}

async fn reject(mut rejection: ResponseBuilder, payload: Option<Payload>) -> CallerResponse {
    if let Some(payload) = payload {
        body::discard(payload).await;
    }
    answer::without_body(&mut rejection)
}

/// Routes the call of a request.
///
/// # Errors
///
/// Returns the response if the request is rejected.
fn accept_call(
    request: &Request,
    worker: &Rc<Worker>,
    arrived: Instant,
) -> Result<(CallerRequest, Permit), ResponseBuilder> {
    if request.version() < Version::HTTP_11 {
        return Err(answer::unsupported_version());
    }
    let rules = worker.header_rules();
    let dialect = rules.dialect;
    let record_rejection = |reason: RefusalReason, route: Option<&RouteName>| {
        let call = request.head().headers().get(dialect.call_id);
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
fn rejection(dialect: &Dialect, reason: RefusalReason, after_ms: u64) -> ResponseBuilder {
    let refusal = Refusal {
        outcome: Outcome::DidNotRun,
        is_arrived: false,
        reason,
        after_ms,
    };
    answer::refusal_response(&refusal, dialect)
}
