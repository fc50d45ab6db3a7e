//! API keys of tenants.

use serde_json::{Value, json};

use crate::{
    caller::{Answer, Connection},
    fleet::{Fleet, wait_until},
    upstream::Seen,
};

const KEY: &str = "Key-4f1c/of+acme==";
const SECOND_KEY: &str = "second-key-of-acme";

/// Adds a tenant with its keys to a configuration, and makes the route to `other` public.
fn with_keys(config: &mut Value, keys: &[&str]) {
    config["tenants"] = json!([
        {"name": "Acme:1", "api_keys": keys, "priority": 0, "rate_per_s": 1000, "burst": 1000},
        {"name": "bolt", "api_keys": ["key-of-bolt"]},
    ]);
    let routes = config["routes"].as_array_mut().unwrap();
    let other = routes.iter_mut().find(|route| route["name"] == "r-other");
    other.unwrap()["public"] = json!(true);
}

/// Writes a configuration with keys and waits until all nodes have it in force.
async fn put_keys(fleet: &Fleet, version: u64, keys: &[&str]) {
    fleet.put_config_with(version, |config| with_keys(config, keys));
    let in_force = format!(" note={version} ");
    let is_in_force = || (0..fleet.vms.len()).all(|index| fleet.log(index).contains(&in_force));
    wait_until("the keys", is_in_force).await;
}

fn request(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {id}\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\nTenant-Id: forged\r\n")
}

async fn post(fleet: &Fleet, path: &str, id: &str, headers: &str) -> Answer {
    let mut connection = Connection::open(fleet.vms[0].callers()).await.unwrap();
    let request = request(path, id, headers);
    connection.exchange(&request).await.unwrap()
}

/// Sends a request on an open connection and returns the status of its answer.
async fn held_status(connection: &mut Connection, id: &str, key: &str) -> u16 {
    let request = request("/orders/w0", id, &bearer(key));
    connection.exchange(&request).await.unwrap().status
}

/// Returns what the upstreams saw of a request.
fn seen(fleet: &Fleet, id: &str) -> Vec<Seen> {
    let upstreams = fleet.vms.iter().map(|vm| &vm.upstream);
    upstreams.flat_map(|upstream| upstream.seen(id)).collect()
}

#[track_caller]
fn assert_seen(fleet: &Fleet, id: &str, tenants: &[&str]) {
    let seen = seen(fleet, id);
    assert!(!seen.is_empty(), "{id} did not arrive");
    for request in seen {
        assert_eq!(request.values("tenant-id"), tenants, "{id}");
        assert!(request.values("authorization").is_empty(), "{id}");
    }
}

/// Guards against requests that pass without a key, against keys that leave the node, in a request or
/// a log line, and against forged tenants.
#[actix_rt::test]
async fn a_key_admits_requests_and_stays_in_the_node() {
    let fleet = Fleet::start(&["orders", "other"]).await;
    let headers = "Authorization: Bearer abc\r\nTenant-Id: forged\r\n";
    assert_eq!(
        post(&fleet, "/orders/w0", "before", headers).await.status,
        200
    );
    let before = seen(&fleet, "before").remove(0);
    assert_eq!(before.values("authorization"), ["Bearer abc"]);

    put_keys(&fleet, 8, &[KEY, SECOND_KEY]).await;
    for (id, key) in [("first", KEY), ("second", SECOND_KEY)] {
        let answer = post(&fleet, "/orders/w0", id, &bearer(key)).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, id));
        assert_seen(&fleet, id, &["Acme:1"]);
    }
    let lower = bearer("key-of-bolt").replace("Bearer", "bEARER");
    assert_eq!(
        post(&fleet, "/orders/w0", "lower", &lower).await.status,
        200
    );
    assert_seen(&fleet, "lower", &["bolt"]);
    for headers in [bearer("stranger"), "Tenant-Id: bolt\r\n".into()] {
        let answer = post(&fleet, "/orders/w0", "refused", &headers).await;
        assert_eq!(answer.status, 401);
    }
    assert!(seen(&fleet, "refused").is_empty());
    for (id, headers) in [("public", "Tenant-Id: bolt\r\n"), ("keyed", &bearer(KEY))] {
        assert_eq!(post(&fleet, "/other/w0", id, headers).await.status, 200);
        assert_seen(&fleet, id, &[]);
    }
    for key in [KEY, SECOND_KEY, "key-of-bolt", "stranger"] {
        assert_eq!(fleet.count_log_lines(key), 0, "{key} is in a log");
    }
    assert!(fleet.log(0).contains("organisation=Acme:1"));
    assert!(
        fleet
            .log(0)
            .contains("route=r-orders reason=unknown-api-key")
    );
}

/// Guards against a key that stays valid on a connection on which it was checked before, also when the
/// configuration after it is unusable.
#[actix_rt::test]
async fn a_withdrawn_key_is_refused_on_an_open_connection() {
    let fleet = Fleet::start(&["orders", "other"]).await;
    put_keys(&fleet, 8, &[KEY, SECOND_KEY]).await;
    let mut connection = Connection::open(fleet.vms[1].callers()).await.unwrap();
    assert_eq!(held_status(&mut connection, "held", KEY).await, 200);

    put_keys(&fleet, 9, &[SECOND_KEY]).await;
    for (id, key, status) in [("gone", KEY, 401), ("kept", SECOND_KEY, 200)] {
        assert_eq!(held_status(&mut connection, id, key).await, status, "{id}");
    }
    assert!(seen(&fleet, "gone").is_empty());

    // Two tenants hold the same key.
    fleet.put_config_with(10, |config| with_keys(config, &[KEY, "key-of-bolt"]));
    wait_until("the refusal", || fleet.count_log_lines("same API key") > 0).await;
    for (id, key, status) in [("still", KEY, 401), ("last", SECOND_KEY, 200)] {
        assert_eq!(held_status(&mut connection, id, key).await, status, "{id}");
    }
    assert_eq!(fleet.count_log_lines("key-of-bolt"), 0);
}

/// Guards against a second attempt that names no tenant or shows the key.
#[actix_rt::test]
async fn a_second_attempt_names_the_tenant() {
    let fleet = Fleet::start(&["orders", "orders"]).await;
    put_keys(&fleet, 8, &[KEY]).await;
    fleet.vms[0].upstream.refuse_requests();
    for number in 0.. {
        let id = format!("n{number}.");
        let answer = post(&fleet, "/orders/w0", &id, &bearer(KEY)).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, id.as_str()));
        assert_seen(&fleet, &id, &["Acme:1"]);
        let attempts = seen(&fleet, &id).len();
        if attempts == 2 {
            break;
        }
        assert!(number < 50, "no second attempt");
    }
}
