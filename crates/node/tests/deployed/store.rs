//! Stand-in of the platform's store.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{
    App, HttpResponse, HttpServer,
    web::{self, Data, Query},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

/// Interval at which a waiting watch looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Store whose contents the test writes.
#[derive(Clone, Default)]
pub(crate) struct TestStore {
    contents: Arc<Mutex<Contents>>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (String, u64)>,
    /// Number of items on a page, if it is limited.
    page_items: Option<usize>,
}

impl TestStore {
    /// Serves the store at an address.
    pub(crate) fn serve(&self, address: SocketAddr) {
        let store = Data::new(self.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(store.clone())
                .route("/v1/kv-range", web::get().to(range))
                .route("/v1/kv-watch", web::get().to(watch))
                .route("/v1/kv-key", web::get().to(key))
        });
        let server = server.workers(1).disable_signals().bind(address).unwrap();
        actix_rt::spawn(server.run());
    }

    /// Writes the bytes of a value.
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        let value = STANDARD.encode(value);
        contents.items.insert(key.into(), (value, revision));
    }

    /// Limits the items on a page.
    pub(crate) fn set_page_items(&self, items: usize) {
        self.contents.lock().unwrap().page_items = Some(items);
    }

    /// Returns the items whose keys have a prefix and that changed after a revision.
    fn items(&self, prefix: &str, after: u64) -> (Vec<Value>, u64) {
        let contents = self.contents.lock().unwrap();
        let items = contents.items.iter();
        let changed = items.filter(|(key, (_, at))| key.starts_with(prefix) && *at > after);
        let changed = changed.map(
            |(key, (value, revision))| json!({"key": key, "value": value, "revision": revision}),
        );
        (changed.collect(), contents.revision)
    }
}

type Parameters = Query<BTreeMap<String, String>>;

fn number(query: &Parameters, name: &str) -> u64 {
    query
        .get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

async fn range(store: Data<TestStore>, query: Parameters) -> HttpResponse {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let (mut items, revision) = store.items(prefix, 0);
    items.retain(|item| item["key"].as_str() > Some(after));
    let page = store.contents.lock().unwrap().page_items;
    let has_more = page.is_some_and(|page| page < items.len());
    items.truncate(page.unwrap_or(items.len()));
    HttpResponse::Ok().json(json!({"items": items, "has_more": has_more, "current_rev": revision}))
}

async fn watch(store: Data<TestStore>, query: Parameters) -> HttpResponse {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let end = Instant::now() + Duration::from_millis(number(&query, "wait_ms"));
    loop {
        let (events, revision) = store.items(prefix, number(&query, "after"));
        if !events.is_empty() || Instant::now() >= end {
            return HttpResponse::Ok().json(json!({"events": events, "current_rev": revision}));
        }
        actix_rt::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn key(store: Data<TestStore>, query: Parameters) -> HttpResponse {
    let key = query.get("key").map_or("", String::as_str);
    let (items, _) = store.items(key, 0);
    match items.into_iter().find(|item| item["key"] == key) {
        Some(item) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}
