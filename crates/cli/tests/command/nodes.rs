//! Tests of the commands that query nodes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::{
    run::run,
    stub::{Stub, TOKEN},
};

/// Address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

fn join_addresses(nodes: &[SocketAddr]) -> String {
    let nodes: Vec<_> = nodes.iter().map(ToString::to_string).collect();
    nodes.join(",")
}

fn event(wall_ms: u64, counter: u32, vm: &str, details: Value) -> Value {
    let mut event =
        json!({"at": {"wall_ms": wall_ms, "counter": counter}, "vm": vm, "incarnation": 1});
    let details = details.as_object().unwrap().clone();
    event.as_object_mut().unwrap().extend(details);
    event
}

#[actix_web::test]
async fn an_unreachable_node_does_not_hide_the_others() {
    let nodes = format!("{UNREACHABLE},{}", Stub::new("vm-a").start());
    let shown = run(["status", "--nodes", &nodes]).await;
    shown
        .exits_with(4)
        .prints("vm-a")
        .prints_error("cannot reach node 127.0.0.1:1:");
    let none = run(["status", "--nodes", UNREACHABLE]).await;
    none.exits_with(1)
        .prints_error("none of the 1 nodes answered");
    run(["status"])
        .await
        .exits_with(2)
        .prints_error("no nodes given");
    run(["status", "--nodes", "here"]).await.exits_with(2);
}

#[actix_web::test]
async fn status_shows_the_fleet_as_reported_by_the_newest_node() {
    let nodes = [
        Stub::new("vm-a").note(2).start(),
        Stub::new("vm-b").note(1).start(),
    ];
    let text = run(["status", "--nodes", &join_addresses(&nodes)])
        .await
        .exits_with(0);
    text.prints("fleet, as reported by vm-a")
        .prints("vm-b (it has note 1 in force)")
        .prints("line 3: bad");
    let shown = run(["status", "--json", "--nodes", &join_addresses(&nodes)]).await;
    assert_eq!(shown.json()[1]["vm"], "vm-b");
}

#[actix_web::test]
async fn timeline_merges_events_in_time_stamp_order() {
    let events_a = json!([
        event(10, 0, "vm-a", json!({"event": "note_accepted", "note": 7})),
        event(
            12,
            1,
            "vm-a",
            json!({"event": "call_refused", "call": "c-1"})
        ),
    ]);
    let events_b = json!([
        event(10, 1, "vm-b", json!({"event": "note_accepted", "note": 7})),
        event(12, 0, "vm-b", json!({"event": "note_accepted", "note": 8})),
    ]);
    let nodes = [
        Stub::new("vm-b").events(events_b).start(),
        Stub::new("vm-a").events(events_a).start(),
    ];
    let shown = async |filter: &[&str]| {
        let nodes = join_addresses(&nodes);
        let arguments = ["timeline", "--json", "--nodes", &nodes];
        let shown = run(arguments.iter().chain(filter))
            .await
            .exits_with(0)
            .json();
        let events = shown.as_array().unwrap().iter();
        let stamps = events.map(|event| {
            let at = &event["at"];
            format!("{}.{}", at["wall_ms"], at["counter"])
        });
        stamps.collect::<Vec<_>>()
    };
    assert_eq!(shown(&[]).await, ["10.0", "10.1", "12.0", "12.1"]);
    assert_eq!(shown(&["--note", "7"]).await, ["10.0", "10.1"]);
    assert_eq!(shown(&["--call", "c-1"]).await, ["12.1"]);
    assert_eq!(shown(&["--vm", "vm-b"]).await, ["10.1", "12.0"]);
    let text = run(["timeline", "--nodes", &join_addresses(&nodes)]).await;
    text.exits_with(0)
        .prints("00:00:00.010+1  vm-b note_accepted note=7");
}

#[actix_web::test]
async fn an_order_gets_the_next_free_number() {
    let known = json!({"number": 6, "scope": {"vm": "vm-x"}, "action": "restore"});
    let nodes = [
        Stub::new("vm-a").order(known).start(),
        Stub::new("vm-b").start(),
    ];
    let nodes = join_addresses(&nodes);
    let drain = ["drain", "domain", "modica", "--nodes", &nodes, "--json"];
    let refused = run(drain).await.exits_with(1);
    refused.prints_error("rejected the request with status 401: the token is wrong");
    let given = run(drain.into_iter().chain(["--token", TOKEN])).await;
    let given = given.exits_with(0).json();
    let order = json!({"number": 7, "scope": {"domain": "modica"}, "action": "drain"});
    assert_eq!(given["order"], order);
    assert_eq!(given["nodes"][1]["in_force"], true);
    let restore = [
        "restore", "domain", "modica", "--nodes", &nodes, "--token", TOKEN,
    ];
    let shown = run(restore).await.exits_with(0);
    shown.prints("order 8: restore domain modica");
}

#[actix_web::test]
async fn an_order_not_in_force_fails_the_command() {
    let newer = json!({"number": 9, "scope": {"vm": "vm-x"}, "action": "drain"});
    let node = Stub::new("vm-a").order(newer).start().to_string();
    let restore = ["restore", "vm", "vm-x", "--token", TOKEN, "--nodes", &node];
    let late = run(restore.into_iter().chain(["--number", "8"])).await;
    late.exits_with(1).prints("no        9 drain");
    let zero = run(restore.into_iter().chain(["--number", "0"])).await;
    zero.exits_with(2).prints_error("must be above 0");
    let name = ["drain", "vm", "VM X", "--number", "3", "--nodes", &node];
    run(name).await.exits_with(2).prints_error("lower-case");
}

#[actix_web::test]
async fn print_writes_the_platform_list_without_sending_the_order() {
    let known = json!({"number": 6, "scope": {"vm": "vm-x"}, "action": "drain"});
    let node = Stub::new("vm-a").order(known.clone()).start().to_string();
    let printed = run(["restore", "vm", "vm-y", "--print", "--nodes", &node]).await;
    let added = json!({"number": 7, "scope": {"vm": "vm-y"}, "action": "restore"});
    assert_eq!(printed.exits_with(0).json(), json!([known, added]));
    let status = run(["status", "--json", "--nodes", &node]).await.json();
    assert_eq!(
        status[0]["orders"].as_array().unwrap().len(),
        1,
        "--print must not send the order"
    );
}

#[actix_web::test]
async fn note_status_merges_the_newest_spread_of_each_domain() {
    let spread = |reached: u32| json!({"nodes": 3, "heard": 3, "reached": reached, "laggards": []});
    let old = json!({"note": 5, "verdict": "pending", "fleet": {"modica": spread(0), "ragusa": spread(2)}});
    let new = json!({"note": 5, "verdict": "accepted", "fleet": {"modica": spread(3), "ragusa": spread(1)}});
    let nodes = [
        Stub::new("vm-a").report(old).start(),
        Stub::new("vm-b").report(new).start(),
    ];
    let shown = run([
        "note",
        "status",
        "5",
        "--json",
        "--nodes",
        &join_addresses(&nodes),
    ])
    .await;
    let shown = shown.exits_with(0).json();
    assert_eq!(shown["verdict"], "accepted");
    assert_eq!(shown["fleet"]["modica"]["reached"], 3);
    assert_eq!(shown["fleet"]["ragusa"]["reached"], 2);
    let refused = json!({"note": 5, "verdict": "refused", "reason": "line 2: why", "fleet": {}});
    let node = Stub::new("vm-a").report(refused).start().to_string();
    let text = run(["note", "status", "5", "--nodes", &node]).await;
    text.exits_with(0)
        .prints("note 5 is refused and has no effect: line 2: why");
}
