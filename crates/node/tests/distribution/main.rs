//! Distribution of notes and orders between node processes over loopback, with a fake platform.

#![allow(clippy::unwrap_used)]

mod fleet;
mod platform;

use crate::fleet::Fleet;

const NOTE_1: &str = "
note: 1
services: {add: [{name: balances}]}
routes: {add: [{name: balances, path: /balances, service: balances}]}
";
const NOTE_2: &str = "note: 2\nservices: {add: [{name: receipts}]}\n";
const BAD_NOTE_3: &str = "note: 3\nservices: {withdraw: [balances]}\n";
const DRAIN_MODICA: &str = r#"{"number": 1, "scope": {"domain": "modica"}, "action": "drain"}"#;

#[actix_rt::test]
async fn accepted_note_is_applied_on_all_nodes_and_refused_note_on_none() {
    let mut fleet = Fleet::new(&[("ragusa", 3), ("modica", 2)]);
    fleet.platform.put("notes/1", NOTE_1);
    fleet.start_all();
    fleet.wait_for_all(|node| node["phase"] == "serving").await;
    fleet.wait_for_all(|node| node["note"] == 1).await;
    fleet.platform.put("notes/2", NOTE_2);
    fleet.platform.put("notes/3", BAD_NOTE_3);
    fleet.wait_for_all(|node| node["note"] == 3).await;
    let digests = fleet.status_values(|node| node["digest"].to_string()).await;
    assert!(digests.iter().all(|digest| *digest == digests[0]));
    let refused = fleet
        .status_values(|node| node["refused"][0]["note"].clone())
        .await;
    assert!(
        refused.iter().all(|note| note == 3),
        "each node must report note 3 as refused: {refused:?}"
    );
}

#[actix_rt::test]
async fn note_reaches_the_rest_after_the_relays_died() {
    let mut fleet = Fleet::new(&[("ragusa", 5)]);
    fleet.platform.put("notes/1", NOTE_1);
    fleet.start_all();
    fleet
        .wait_for_all(|node| node["note"] == 1 && node["phase"] == "serving")
        .await;
    fleet.kill(fleet.relays("ragusa"));
    fleet.platform.put("notes/2", NOTE_2);
    fleet.wait_for_all(|node| node["note"] == 2).await;
}

#[actix_rt::test]
async fn order_sent_to_one_node_reaches_all_while_the_platform_is_unavailable() {
    let mut fleet = Fleet::new(&[("ragusa", 2), ("modica", 2)]);
    fleet.start_all();
    fleet.wait_for_all(|node| node["phase"] == "serving").await;
    fleet.platform.set_unavailable(true);
    fleet.send_order(0, DRAIN_MODICA).await;
    fleet
        .wait_for_all(|node| node["orders"][0]["number"] == 1)
        .await;
}

#[actix_rt::test]
async fn restarted_relay_never_serves_an_older_note_than_its_peers() {
    let mut fleet = Fleet::new(&[("ragusa", 3)]);
    fleet.platform.put("notes/1", NOTE_1);
    fleet.platform.put("notes/2", NOTE_2);
    fleet.start_all();
    fleet
        .wait_for_all(|node| node["note"] == 2 && node["phase"] == "serving")
        .await;
    fleet.platform.remove("notes/2");
    let relay = fleet.relays("ragusa")[0];
    fleet.kill(vec![relay]);
    fleet.start(relay);
    fleet.wait_for_all(|node| node["phase"] == "serving").await;
    fleet.wait_for_all(|node| node["note"] == 2).await;
    assert!(!fleet.has_served_below(relay, 2).await);
}

#[actix_rt::test]
async fn node_without_peers_and_platform_stays_joining() {
    let mut fleet = Fleet::new(&[("ragusa", 2)]);
    fleet.platform.set_unavailable(true);
    fleet.start(0);
    fleet.wait_for(0, |node| node["phase"] == "joining").await;
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    fleet.wait_for(0, |node| node["phase"] == "joining").await;
}
