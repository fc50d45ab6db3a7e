//! HTTP routes of the admin interface.

use actix::Addr;
use actix_web::{
    HttpRequest, HttpResponse, Responder, get, post,
    web::{Bytes, Data, Path, PayloadConfig, Query, ServiceConfig},
};
use serde::{Deserialize, Serialize};
use wagtaillever_coordination::{DrainOrder, Sequence};

use crate::{
    admin::{
        exporter::Exporter,
        queries::{ApplyOrder, GetNote, GetReadiness, GetStatus, Queries},
        token::{Denial, Guard},
    },
    timeline::{Timeline, Timestamp},
};

/// State of the routes, shared by all workers.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) timeline: Timeline,
    pub(crate) queries: Addr<Queries>,
    pub(crate) exporter: Exporter,
    pub(crate) guard: Guard,
}

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4096;

/// Adds all routes to an application.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .app_data(PayloadConfig::new(MAX_BODY_BYTES))
        .service(health)
        .service(ready)
        .service(status)
        .service(note)
        .service(metrics)
        .service(timeline)
        .service(drains);
}

/// Adds the routes of the probe address, which anyone may request.
pub(crate) fn configure_probes(config: &mut ServiceConfig) {
    config.service(health).service(ready).service(metrics);
}

#[get("/health")]
async fn health() -> impl Responder {
    HttpResponse::Ok().body("ok\n")
}

#[get("/ready")]
async fn ready(shared: Data<Shared>) -> impl Responder {
    let Ok(readiness) = shared.queries.send(GetReadiness).await else {
        return stopping_response();
    };
    if readiness.ready {
        return HttpResponse::Ok().json(readiness);
    }
    HttpResponse::ServiceUnavailable().json(readiness)
}

#[get("/status")]
async fn status(shared: Data<Shared>) -> impl Responder {
    match shared.queries.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(_) => stopping_response(),
    }
}

#[get("/notes/{sequence}")]
async fn note(shared: Data<Shared>, sequence: Path<u64>) -> impl Responder {
    match shared.queries.send(GetNote(Sequence(*sequence))).await {
        Ok(note) => HttpResponse::Ok().json(note),
        Err(_) => stopping_response(),
    }
}

#[get("/metrics")]
async fn metrics(shared: Data<Shared>) -> impl Responder {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.exporter.render())
}

#[derive(Deserialize)]
struct TimelineQuery {
    #[serde(default)]
    after: Option<String>,
}

#[get("/timeline")]
async fn timeline(shared: Data<Shared>, query: Query<TimelineQuery>) -> impl Responder {
    let Some(after) = parse_timestamp(query.after.as_deref()) else {
        return error_response(
            HttpResponse::BadRequest(),
            "query parameter after must have the form <wall_ms>.<counter>",
        );
    };
    HttpResponse::Ok().json(shared.timeline.events_after(after))
}

fn parse_timestamp(text: Option<&str>) -> Option<Timestamp> {
    let Some(text) = text else {
        return Some(Timestamp::default());
    };
    let (wall_ms, counter) = text.split_once('.').unwrap_or((text, "0"));
    Some(Timestamp {
        wall_ms: wall_ms.parse().ok()?,
        counter: counter.parse().ok()?,
    })
}

#[post("/drains")]
async fn drains(
    shared: Data<Shared>,
    request: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
) -> impl Responder {
    if let Err(denial) = shared.guard.check(request.headers()) {
        return denial_response(denial);
    }
    let body = match body {
        Ok(body) => body,
        Err(err) => return error_response(HttpResponse::BadRequest(), &err.to_string()),
    };
    let order = match DrainOrder::parse(&body) {
        Ok(order) => order,
        Err(err) => return error_response(HttpResponse::BadRequest(), &err.to_string()),
    };
    match shared.queries.send(ApplyOrder(order)).await {
        Ok(Some(orders)) => HttpResponse::Ok().json(orders),
        Ok(None) => error_response(HttpResponse::ServiceUnavailable(), "the node is starting"),
        Err(_) => stopping_response(),
    }
}

fn denial_response(denial: Denial) -> HttpResponse {
    match denial {
        Denial::Disabled => error_response(
            HttpResponse::Forbidden(),
            "the node's settings contain no token, so orders are accepted from the platform only",
        ),
        Denial::Missing => error_response(
            HttpResponse::Unauthorized(),
            "the request carries no bearer token",
        ),
        Denial::Wrong => error_response(HttpResponse::Unauthorized(), "the token is wrong"),
    }
}

fn stopping_response() -> HttpResponse {
    error_response(HttpResponse::ServiceUnavailable(), "the node is stopping")
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

fn error_response(mut builder: actix_web::HttpResponseBuilder, error: &str) -> HttpResponse {
    builder.json(ErrorBody { error })
}
