//! Takes one request of a caller.

use std::{rc::Rc, time::Instant};

use actix_web::{
    HttpRequest, HttpResponse, HttpResponseBuilder,
    http::{ConnectionType, Version},
    web,
};
use wagtaillever_coordination::{Dialect, Route};

use crate::{
    ingress::{
        answer,
        body::RequestBody,
        dispatch::Dispatch,
        guards::Permit,
        request::{CallerRequest, ReadError, caller_name},
        worker::Worker,
    },
    view::Phase,
    wire::{Outcome, Refusal, RefusalReason},
};

/// Time after which a caller that was refused for want of room is told to come back.
const OVERLOADED_AFTER_MS: u64 = 250;
/// Time after which a caller of a node that does not serve is told to come back.
const NOT_READY_AFTER_MS: u64 = 500;

/// Answers one request.
pub(super) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    worker: web::Data<Rc<Worker>>,
) -> HttpResponse {
    let arrived = Instant::now();
    if request.version() < Version::HTTP_11 {
        return answer::old_version().finish();
    }
    let worker = Rc::clone(&worker);
    let words = worker.words();
    let dialect = words.dialect;
    let turn_away = |reason: RefusalReason| {
        let call = request.headers().get(dialect.call_id);
        let call = call.and_then(|call| call.to_str().ok()).unwrap_or_default();
        let reason = answer::reason_text(reason);
        worker.recorder.turned_away(call, reason);
    };
    if !worker.routing().view.phase.takes_calls() {
        turn_away(RefusalReason::NotReady);
        let mut answer = refuse(dialect, RefusalReason::NotReady, NOT_READY_AFTER_MS);
        return answer.force_close().finish();
    }
    if worker.is_quarantined() {
        turn_away(RefusalReason::NotReady);
        return refuse(dialect, RefusalReason::NotReady, NOT_READY_AFTER_MS).finish();
    }
    let Some(permit) = Permit::take(&worker, caller_name(&request)) else {
        turn_away(RefusalReason::Overloaded);
        return refuse(dialect, RefusalReason::Overloaded, OVERLOADED_AFTER_MS).finish();
    };
    let choose = |route: &Route| worker.choose_service(route);
    let routes = Rc::clone(&worker.routing().routes);
    let read = match CallerRequest::read(&request, &routes, words, choose, arrived) {
        Ok(read) => read,
        Err(ReadError::NoRoute) => {
            turn_away(RefusalReason::NoRoute);
            return answer::no_route().finish();
        }
        Err(ReadError::Rule(reason)) => {
            turn_away(reason);
            return refuse(dialect, reason, 0).finish();
        }
    };
    let body = RequestBody::new(payload, read.length);
    let mut response = Dispatch::new(&worker, read, body).run(permit).await;
    if worker.routing().view.phase != Phase::Serving {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

fn refuse(dialect: &Dialect, reason: RefusalReason, after_ms: u64) -> HttpResponseBuilder {
    let refusal = Refusal {
        outcome: Outcome::DidNotRun,
        is_arrived: false,
        reason,
        after_ms,
    };
    answer::refused(&refusal, dialect)
}
