//! Values in the store that another writer left.

use crate::fleet::{Fleet, LATE_SERVICE, is_served, wait_until};

/// Depth of nested values, beyond what readers of JSON allow.
const DEPTH: usize = 20_000;

/// Fields of a registration as upstreams write it; `ADDRESS` stands for the address of a live upstream.
const FIELDS: [(&str, &str); 9] = [
    ("service", "\"orders\""),
    ("address", "\"ADDRESS\""),
    ("zone", "\"ragusa\""),
    ("version", "\"v1\""),
    ("max_concurrency", "64"),
    ("state", "\"ready\""),
    ("cold_remaining_s", "0"),
    ("sequence", "4"),
    ("born", "1900000000000"),
];

/// Returns a registration with one field of another value, or without it.
fn entry(changed: &str, value: Option<&str>) -> Vec<u8> {
    let fields = FIELDS.into_iter().filter(|(name, _)| *name != changed);
    let fields = fields.chain(value.map(|value| (changed, value)));
    let fields = fields.map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
}

/// Returns a registration that is odd only in a field that readers ignore. It names another server.
fn with_unknown_field(value: &str) -> Vec<u8> {
    let text = String::from_utf8(entry("unknown", Some(value))).unwrap();
    text.replace("ADDRESS", "10.0.0.9:80").into_bytes()
}

fn odd_values() -> Vec<Vec<u8>> {
    let deep = format!("{}1{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let deep_object = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    let mut values = vec![
        Vec::new(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        b"{\"service\":\"orders\"".to_vec(),
        vec![0xff; 64],
        entry("address", Some(&deep)),
        with_unknown_field(&deep),
        with_unknown_field(&deep_object),
        entry("state", Some("\"resting\"")),
        entry("zone", Some("\"no zone!\"")),
        deep.into_bytes(),
        deep_object.into_bytes(),
    ];
    for address in [
        "10.0.0.1:0",
        "10.0.0.1:99999",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "[::1]:80",
        "nowhere",
    ] {
        values.push(entry("address", Some(&format!("\"{address}\""))));
    }
    for field in ["max_concurrency", "cold_remaining_s", "sequence", "born"] {
        for number in [
            "-1",
            "1e400",
            "1e300",
            "10000000000000000000000",
            "1.5e22",
            "null",
            "{}",
        ] {
            values.push(entry(field, Some(number)));
        }
    }
    for (field, _) in FIELDS.into_iter().filter(|(name, _)| *name != "born") {
        values.push(entry(field, None));
        values.push(entry(field, Some("[1]")));
    }
    values
}

const ODD_KEYS: [&str; 7] = [
    "servers/",
    "servers/odd key with spaces",
    "servers/odd&after=x#y%zz+",
    "servers/\u{e9}\u{1f333}",
    "servers/zzz/",
    "op/evacuate/",
    "op/evacuate/No Such Zone",
];

/// Returns values of the configuration that can't be read.
fn odd_configs() -> Vec<Vec<u8>> {
    let deep = format!("{}1{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let texts = [
        String::new(),
        "null".into(),
        "[]".into(),
        deep.clone(),
        format!("{{\"version\":8,\"routes\":{deep},\"services\":[]}}"),
        "{\"version\":1e400,\"routes\":[],\"services\":[]}".into(),
        "{\"version\":-8,\"routes\":[],\"services\":[]}".into(),
        "{\"version\":8,\"routes\":[{}],\"services\":[]}".into(),
    ];
    texts.into_iter().map(String::into_bytes).collect()
}

fn put_odd_entries(fleet: &Fleet) {
    let address = fleet.vms[0].upstream_address().to_string();
    for (number, value) in odd_values().into_iter().enumerate() {
        let value = match String::from_utf8(value) {
            Ok(text) => text.replace("ADDRESS", &address).into_bytes(),
            Err(err) => err.into_bytes(),
        };
        fleet.store.put(&format!("servers/odd-{number}"), &value);
    }
    for key in ODD_KEYS {
        fleet.store.put(key, b"{}");
    }
}

/// Writes odd configurations, each after a node has read the one before.
async fn put_odd_configs(fleet: &Fleet) {
    let read = || fleet.count_log_lines("key=op/config");
    for value in odd_configs() {
        let before = read();
        fleet.store.put("op/config", &value);
        wait_until("a configuration to be read", || read() > before).await;
    }
}

/// Asserts that all nodes follow the configuration and the list, serve each request and run.
async fn assert_sound(fleet: &mut Fleet, version: u64) {
    fleet.put_config(version);
    fleet.register(2);
    for vm in &mut fleet.vms {
        let callers = vm.callers();
        vm.wait_until_served("orders").await;
        vm.wait_until_served(LATE_SERVICE).await;
        for number in 0..20 {
            assert!(
                is_served(callers, "orders").await,
                "call {number} at {callers}"
            );
        }
        assert!(!vm.has_exited(), "the node at {callers} ended by itself");
    }
}

/// Readers of the list ended, or stopped following it, after odd values of another writer.
#[actix_rt::test]
async fn odd_entries_of_another_writer_stop_no_node() {
    let mut fleet = Fleet::start(&["orders", "other", LATE_SERVICE]).await;
    put_odd_entries(&fleet);
    put_odd_configs(&fleet).await;
    assert_sound(&mut fleet, 9).await;
    fleet.vms.iter_mut().for_each(crate::fleet::Vm::kill);
    (0..fleet.vms.len()).for_each(|index| fleet.start_node(index));
    assert_sound(&mut fleet, 12).await;
}

/// The request for the next page of a list names the last key of the page, which may be another writer's.
#[actix_rt::test]
async fn a_key_of_another_writer_at_the_end_of_a_page_stops_no_node() {
    let mut fleet = Fleet::start_with(&["orders", "other", LATE_SERVICE], |fleet| {
        ODD_KEYS.iter().for_each(|key| fleet.store.put(key, b"{}"));
        fleet.store.set_page_items(1);
    })
    .await;
    assert_sound(&mut fleet, 9).await;
}
