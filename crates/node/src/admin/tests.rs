use actix::Actor;
use actix_web::{App, http::StatusCode, test, web::Data};
use serde_json::{Value, json};

use super::{exporter::Exporter, queries::Queries, routes, routes::Shared, token::Guard};
use crate::{
    kernel::{Context, Service},
    peers::{Peers, PeersHandle},
    settings::Settings,
    view::Phase,
};

const SETTINGS: &str = "
vm: vm-1
domain: modica
region: sicily
address: 127.0.0.1
callers: 127.0.0.1:0
peers: 127.0.0.1:0
admin: 127.0.0.1:0
";

/// Node context and token behind an admin interface under test.
struct Fixture {
    context: Context,
    token: Option<&'static str>,
}

impl Fixture {
    fn new() -> Self {
        let settings: Settings = serde_yaml_ng::from_str(SETTINGS).unwrap();
        Self {
            context: Context::new(settings.into()),
            token: None,
        }
    }

    fn with_phase(self, phase: Phase) -> Self {
        self.context.view().set_phase(phase);
        self
    }

    fn with_token(mut self, token: &'static str) -> Self {
        self.token = Some(token);
        self
    }

    async fn start_peers(&self) {
        if self
            .context
            .registry()
            .find::<PeersHandle>("peers")
            .is_err()
        {
            Peers::default().start(&self.context).await.unwrap();
        }
    }

    async fn send(&self, request: test::TestRequest) -> (StatusCode, Value) {
        self.start_peers().await;
        let shared = Shared {
            timeline: self.context.timeline().clone(),
            queries: Queries::new(self.context.clone()).start(),
            exporter: Exporter::install(),
            guard: Guard::new(self.token.map(String::from)),
        };
        let app = App::new()
            .app_data(Data::new(shared))
            .configure(routes::configure);
        let app = test::init_service(app).await;
        let response = test::call_service(&app, request.to_request()).await;
        let status = response.status();
        let body = test::read_body(response).await;
        (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        self.send(test::TestRequest::get().uri(path)).await
    }

    async fn post_order(&self, bearer: Option<&str>, body: Value) -> (StatusCode, Value) {
        let mut request = test::TestRequest::post().uri("/drains").set_json(body);
        if let Some(bearer) = bearer {
            request = request.insert_header(("authorization", format!("Bearer {bearer}")));
        }
        self.send(request).await
    }
}

fn drain_order() -> Value {
    json!({"number": 4, "scope": {"domain": "modica"}, "action": "drain"})
}

#[actix_web::test]
async fn readiness_follows_the_phase() {
    let (status, body) = Fixture::new().get("/ready").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body["reason"], "the services start");
    let (status, body) = Fixture::new()
        .with_phase(Phase::Serving)
        .get("/ready")
        .await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body["ready"], true);
}

#[actix_web::test]
async fn status_identifies_the_node() {
    let (status, body) = Fixture::new().get("/status").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body["vm"], "vm-1");
    assert_eq!(body["domain"], "modica");
    assert_eq!(body["note"], 0);
}

#[actix_web::test]
async fn orders_require_the_token() {
    let (status, body) = Fixture::new()
        .post_order(Some("secret"), drain_order())
        .await;
    assert_eq!(status, StatusCode::FORBIDDEN, "{body}");
    let fixture = Fixture::new().with_token("secret");
    let (status, _) = fixture.post_order(None, drain_order()).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let (status, _) = fixture.post_order(Some("secreT"), drain_order()).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    let (status, _) = fixture
        .post_order(Some("secret-and-more"), drain_order())
        .await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
    assert_eq!(fixture.context.view().load().drains.highest_number(), 0);
}

#[actix_web::test]
async fn repeated_order_is_applied_once() {
    let fixture = Fixture::new().with_token("secret");
    let mut peers = Peers::default();
    peers.start(&fixture.context).await.unwrap();
    for _ in 0..2 {
        let (status, body) = fixture.post_order(Some("secret"), drain_order()).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(body, json!([drain_order()]));
    }
    let (_, events) = fixture.get("/timeline?after=0.0").await;
    let events = events.as_array().unwrap().iter();
    let applied = events.filter(|event| event["event"] == "order_applied");
    assert_eq!(applied.count(), 1);
    assert_eq!(fixture.context.view().load().drains.highest_number(), 4);
}

#[actix_web::test]
async fn malformed_requests_are_rejected() {
    let fixture = Fixture::new().with_token("secret");
    let (status, body) = fixture
        .post_order(Some("secret"), json!({"number": 1}))
        .await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(body["error"].as_str().unwrap().contains("missing field"));
    let (status, _) = fixture
        .post_order(Some("secret"), json!("x".repeat(5000)))
        .await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let (status, _) = fixture.get("/timeline?after=x.y").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[actix_web::test]
async fn metrics_use_the_prometheus_text_format() {
    let fixture = Fixture::new();
    fixture.get("/health").await;
    metrics::counter!("admin_test_total").increment(1);
    let text = Exporter::install().render();
    assert!(text.contains("admin_test_total 1"), "{text}");
}
