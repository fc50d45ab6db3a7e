//! Routes of the admin interface.

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
        queries::{GetNote, GetReadiness, GetStatus, GiveOrder, Queries},
        token::{Denial, Guard},
    },
    timeline::{Timeline, Timestamp},
};

/// What the routes need, shared by all workers.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) timeline: Timeline,
    pub(crate) queries: Addr<Queries>,
    pub(crate) exporter: Exporter,
    pub(crate) guard: Guard,
}

/// Largest body of a request in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Adds the routes to an application.
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

/// Adds the routes that anyone may ask.
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
        return stopping();
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
        Err(_) => stopping(),
    }
}

#[get("/notes/{sequence}")]
async fn note(shared: Data<Shared>, sequence: Path<u64>) -> impl Responder {
    match shared.queries.send(GetNote(Sequence(*sequence))).await {
        Ok(note) => HttpResponse::Ok().json(note),
        Err(_) => stopping(),
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
        return refusal(
            HttpResponse::BadRequest(),
            "after must be <wall_ms>.<counter>",
        );
    };
    HttpResponse::Ok().json(shared.timeline.since(after))
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
        return denied(denial);
    }
    let body = match body {
        Ok(body) => body,
        Err(err) => return refusal(HttpResponse::BadRequest(), &err.to_string()),
    };
    let order = match DrainOrder::parse(&body) {
        Ok(order) => order,
        Err(err) => return refusal(HttpResponse::BadRequest(), &err.to_string()),
    };
    match shared.queries.send(GiveOrder(order)).await {
        Ok(Some(orders)) => HttpResponse::Ok().json(orders),
        Ok(None) => refusal(HttpResponse::ServiceUnavailable(), "the node starts"),
        Err(_) => stopping(),
    }
}

fn denied(denial: Denial) -> HttpResponse {
    match denial {
        Denial::Disabled => refusal(
            HttpResponse::Forbidden(),
            "the node's settings hold no token, so orders are taken from the platform only",
        ),
        Denial::Missing => refusal(
            HttpResponse::Unauthorized(),
            "the request carries no bearer token",
        ),
        Denial::Wrong => refusal(HttpResponse::Unauthorized(), "the token is wrong"),
    }
}

fn stopping() -> HttpResponse {
    refusal(HttpResponse::ServiceUnavailable(), "the node stops")
}

#[derive(Serialize)]
struct Refusal<'a> {
    error: &'a str,
}

fn refusal(mut builder: actix_web::HttpResponseBuilder, error: &str) -> HttpResponse {
    builder.json(Refusal { error })
}
