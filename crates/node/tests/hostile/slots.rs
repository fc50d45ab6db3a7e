//! Callers that keep the slots of an upstream busy: with answers that they don't read, and with bodies that
//! they don't finish.

use std::sync::LazyLock;

use serde_json::Value;

use crate::{
    crowd::{Closed, Reading, Script},
    fleet::Fleet,
    trial::Trial,
};

/// Callers, several for each slot.
const CALLERS: usize = 40;
/// Callers that together exceed the share of the calls, and not the places for connections.
const MANY_CALLERS: usize = 200;
/// Requests that the upstream runs at once, as few as upstreams of the platform do.
const SLOTS: u64 = 8;
/// Longest time in seconds that a request may take, and idle time of a connection: far above the length of
/// a test, so that no caller ends by itself.
const ENDLESS_S: u64 = 600;

fn trial(name: &'static str, script: &'static Script) -> Trial {
    Trial {
        callers: CALLERS,
        fill: limit_slots,
        serves_beside: true,
        ..Trial::new(name, script)
    }
}

fn limit_slots(fleet: &Fleet) {
    fleet.put_config_with(8, |config| {
        config["limits"]["idle_timeout_s"] = ENDLESS_S.into();
        let routes = config["routes"].as_array_mut().unwrap();
        let orders = routes.iter_mut().find(|it| it["name"] == "r-orders");
        orders.unwrap()["timeout_s"] = ENDLESS_S.into();
    });
    let vm = &fleet.vms[0];
    let mut entry = fleet.entry(vm);
    entry["max_concurrency"] = Value::from(SLOTS);
    let key = format!("servers/{}", vm.upstream.name);
    fleet.store.put(&key, entry.to_string().as_bytes());
}

fn download(bytes: usize) -> Vec<u8> {
    format!(
        "GET /orders/b{bytes}/w0 HTTP/1.1\r\nHost: orders.example\r\nDeadline-Ms: 600000\r\n\r\n"
    )
    .into()
}

/// Slots stayed with callers that read nothing of their answer, and others were refused or waited.
#[actix_rt::test]
async fn unread_answers() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(download(540_000)));
    trial("unread answers", &SCRIPT).run().await;
}

/// An answer larger than what a process may hold for its caller kept its slot.
#[actix_rt::test]
async fn unread_answers_beyond_the_memory() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(download(5_000_000)));
    trial("large unread answers", &SCRIPT).run().await;
}

/// A caller that takes a few bytes now and then kept its slot for as long as it liked.
#[actix_rt::test]
async fn slowly_read_answers() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script {
        reading: Reading::Slow,
        ..Script::write_once(download(5_000_000))
    });
    trial("slow readers", &SCRIPT).run().await;
}

/// A body that stops short of its end kept the slot that its call had got.
#[actix_rt::test]
async fn unfinished_bodies() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| {
        let head = "POST /orders/w0 HTTP/1.1\r\nHost: orders.example\r\nDeadline-Ms: 600000\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        Script {
            start: head.into(),
            repeated: format!("2000\r\n{}\r\n", "b".repeat(0x2000)).into(),
            times: Some(16),
            reading: Reading::Never,
            closed: Closed::Reopens,
        }
    });
    trial("unfinished bodies", &SCRIPT).run().await;
}

/// The same with a body that is small enough to be sent again.
#[actix_rt::test]
async fn unfinished_small_bodies() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(unfinished_small_body()));
    trial("unfinished small bodies", &SCRIPT).run().await;
}

/// Calls that waited for the rest of a body used up the share of the calls that all callers of an address have.
#[actix_rt::test]
async fn unfinished_small_bodies_of_many_callers() {
    static SCRIPT: LazyLock<Script> = LazyLock::new(|| Script::write_once(unfinished_small_body()));
    let trial = Trial {
        callers: MANY_CALLERS,
        ..trial("unfinished small bodies of many callers", &SCRIPT)
    };
    trial.run().await;
}

fn unfinished_small_body() -> Vec<u8> {
    let head = "POST /orders/w0 HTTP/1.1\r\nHost: orders.example\r\nDeadline-Ms: 600000\r\n\
                Content-Length: 10000\r\n\r\n";
    [head.as_bytes(), &[b'b'; 9_999]].concat()
}
