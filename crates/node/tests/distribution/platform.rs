//! Minimal fake of the platform's configuration service.

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

/// Handle of the fake platform, shared with its server.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, (u64, String)>,
    is_unavailable: bool,
}

impl Platform {
    /// Starts the server on a free port and returns its address.
    pub(crate) fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let platform = self.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(platform.clone()))
                .service(read_key)
                .service(watch_keys)
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

    pub(crate) fn set_unavailable(&self, is_unavailable: bool) {
        self.state.lock().unwrap().is_unavailable = is_unavailable;
    }
}

#[get("/v1/keys/{key:.*}")]
async fn read_key(platform: Data<Platform>, key: Path<String>) -> HttpResponse {
    let state = platform.state.lock().unwrap();
    if state.is_unavailable {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let revision = ("x-store-revision", state.revision.to_string());
    match state.keys.get(key.as_str()) {
        Some((modified, value)) => HttpResponse::Ok()
            .insert_header(revision)
            .insert_header(("x-revision", modified.to_string()))
            .body(value.clone()),
        None => HttpResponse::NotFound().insert_header(revision).finish(),
    }
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[get("/v1/watch")]
async fn watch_keys(platform: Data<Platform>, query: Query<WatchQuery>) -> HttpResponse {
    let steps = query.wait_ms / 20;
    for step in 0..=steps {
        if step > 0 {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let state = platform.state.lock().unwrap();
        if state.is_unavailable {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if state.revision > query.after || step == steps {
            let changed = state.keys.iter().filter(|(_, (rev, _))| *rev > query.after);
            let events: Vec<_> = changed
                .map(|(key, (rev, value))| json!({"key": key, "revision": rev, "value": value}))
                .collect();
            let response = json!({"revision": state.revision, "events": events});
            return HttpResponse::Ok().json(response);
        }
    }
    HttpResponse::InternalServerError().finish()
}
