//! A small stand-in of the platform's configuration service.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_web::{
    App, HttpResponse, HttpServer, get,
    web::{Data, Path, Query},
};
use serde::Deserialize;
use serde_json::json;

/// Handle of a stand-in that runs on the current thread.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, (u64, String)>,
    is_out: bool,
}

impl Platform {
    /// Serves the stand-in on a free port.
    pub(crate) fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(platform.clone()))
                .service(read)
                .service(watch)
        });
        let server = server.workers(1).disable_signals();
        actix_rt::spawn(server.listen(listener).unwrap().run());
        address
    }

    pub(crate) fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.keys.insert(key.into(), (revision, value.into()));
    }

    pub(crate) fn remove(&self, key: &str) {
        self.state.lock().unwrap().keys.remove(key);
    }

    pub(crate) fn set_out(&self, is_out: bool) {
        self.state.lock().unwrap().is_out = is_out;
    }
}

#[get("/v1/keys/{key:.*}")]
async fn read(platform: Data<Platform>, key: Path<String>) -> HttpResponse {
    let state = platform.state.lock().unwrap();
    if state.is_out {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let revision = ("x-store-revision", state.revision.to_string());
    match state.keys.get(key.as_str()) {
        Some((written, value)) => HttpResponse::Ok()
            .insert_header(revision)
            .insert_header(("x-revision", written.to_string()))
            .body(value.clone()),
        None => HttpResponse::NotFound().insert_header(revision).finish(),
    }
}

#[derive(Deserialize)]
struct Watch {
    after: u64,
    wait_ms: u64,
}

#[get("/v1/watch")]
async fn watch(platform: Data<Platform>, query: Query<Watch>) -> HttpResponse {
    let steps = query.wait_ms / 20;
    for step in 0..=steps {
        if step > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let state = platform.state.lock().unwrap();
        if state.is_out {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if state.revision > query.after || step == steps {
            let changed = state.keys.iter().filter(|(_, (at, _))| *at > query.after);
            let events: Vec<_> = changed
                .map(|(key, (at, value))| json!({"key": key, "revision": at, "value": value}))
                .collect();
            let answer = json!({"revision": state.revision, "events": events});
            return HttpResponse::Ok().json(answer);
        }
    }
    HttpResponse::InternalServerError().finish()
}
