//! Stub of a node's admin interface.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
};

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use serde_json::{Value, json};

/// Token that the stubs require.
pub(crate) const TOKEN: &str = "secret";

/// Stub of a node's admin interface.
#[derive(Clone)]
pub(crate) struct Stub {
    vm: &'static str,
    note: u64,
    events: Value,
    report: Value,
    orders: Arc<Mutex<Vec<Value>>>,
}

impl Stub {
    pub(crate) fn new(vm: &'static str) -> Self {
        Self {
            vm,
            note: 1,
            events: json!([]),
            report: Value::Null,
            orders: Arc::default(),
        }
    }

    pub(crate) fn note(mut self, note: u64) -> Self {
        self.note = note;
        self
    }

    pub(crate) fn events(mut self, events: Value) -> Self {
        self.events = events;
        self
    }

    pub(crate) fn report(mut self, report: Value) -> Self {
        self.report = report;
        self
    }

    pub(crate) fn order(self, order: Value) -> Self {
        self.orders.lock().unwrap().push(order);
        self
    }

    /// Starts a server that runs until the test ends, and returns its address.
    pub(crate) fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(self.clone()))
                .route("/status", web::get().to(status))
                .route("/timeline", web::get().to(timeline))
                .route("/notes/{sequence}", web::get().to(note))
                .route("/drains", web::post().to(drains))
        });
        let server = server.workers(1).disable_signals().listen(listener);
        actix_web::rt::spawn(server.unwrap().run());
        address
    }
}

async fn status(stub: web::Data<Stub>) -> HttpResponse {
    HttpResponse::Ok().json(json!({
        "vm": stub.vm, "domain": "modica", "region": "sicily", "incarnation": 1,
        "phase": "serving", "note": stub.note, "digest": "00000000000000ff",
        "fleet": {"modica": {
            "nodes": 3, "heard": 2, "notes": {"1": 1, "2": 1},
            "laggards": [{"vm": "vm-b", "note": 1, "reason": "it has note 1 in force"}],
        }},
        "refused": [{"note": 2, "reason": "line 3: bad"}],
        "orders": *stub.orders.lock().unwrap(),
    }))
}

async fn timeline(stub: web::Data<Stub>) -> HttpResponse {
    HttpResponse::Ok().json(&stub.events)
}

async fn note(stub: web::Data<Stub>) -> HttpResponse {
    HttpResponse::Ok().json(&stub.report)
}

async fn drains(
    stub: web::Data<Stub>,
    request: HttpRequest,
    order: web::Json<Value>,
) -> HttpResponse {
    let expected = format!("Bearer {TOKEN}");
    let given = request.headers().get("authorization");
    if given.is_none_or(|given| given.as_bytes() != expected.as_bytes()) {
        return HttpResponse::Unauthorized().json(json!({"error": "the token is wrong"}));
    }
    let mut orders = stub.orders.lock().unwrap();
    let is_older = |known: &Value| {
        known["scope"] == order["scope"] && known["number"].as_u64() >= order["number"].as_u64()
    };
    if !orders.iter().any(is_older) {
        orders.push(order.into_inner());
    }
    HttpResponse::Ok().json(&*orders)
}
