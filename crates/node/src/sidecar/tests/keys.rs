//! Tests that a request with an idempotency key runs at most once.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix_web::{App, HttpResponse, HttpServer, web};
use assert_matches::assert_matches;
use wagtaillever_coordination::{IdempotencyKey, key_owner};

use super::fixture::{
    Fixture, Reply, closed_address, config_of, post, publish_vm_list, raw_upstream,
};
use crate::wire::{CallHead, CallStage, Outcome, Refusal, RefusalReason};

/// Settings with which keys are accepted soon after the start.
const SMALL_SKEW_SETTINGS: &str = "limits: {skew_ms: 1}\npolicies: {ramp: false}";

/// Starts an upstream that counts executions; `/slow` answers after 200 ms.
fn counting_upstream(ran: &Arc<AtomicU32>) -> SocketAddr {
    let ran = Arc::clone(ran);
    let server = HttpServer::new(move || {
        let ran = Arc::clone(&ran);
        let work = move |path: web::Path<String>| {
            let number = ran.fetch_add(1, Ordering::SeqCst) + 1;
            async move {
                if path.as_str() == "slow" {
                    actix_rt::time::sleep(Duration::from_millis(200)).await;
                }
                HttpResponse::Created()
                    .insert_header(("x-number", number.to_string()))
                    .body(format!("invoice {number}"))
            }
        };
        App::new().route("/{path}", web::post().to(work))
    });
    let server = server.workers(1).bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

fn key(created_ms: u64, number: u8) -> String {
    let id = uuid::Builder::from_unix_timestamp_millis(created_ms, &[number; 10]).into_uuid();
    id.to_string()
}

/// Returns the head of a `POST /invoice` with an idempotency key to the owner of the key.
fn invoice(key: &str) -> CallHead {
    CallHead {
        target: "/invoice".into(),
        stage: CallStage::Decide,
        key: Some(key.into()),
        ..post(Some(2))
    }
}

/// Waits until newly created keys are accepted, and returns one.
async fn fresh_key() -> String {
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    key(now_ms(), 1)
}

#[track_caller]
fn assert_refused(reply: &Reply, outcome: Outcome, reason: RefusalReason) {
    assert_matches!(reply, Reply::Refused(Refusal { outcome: o, reason: r, .. })
        if (*o, *r) == (outcome, reason));
}

#[actix_rt::test]
async fn a_resend_gets_the_recorded_answer() {
    let ran = Arc::default();
    let fixture = Fixture::with_settings(counting_upstream(&ran), SMALL_SKEW_SETTINGS, 4).await;
    let key = fresh_key().await;
    for _ in 0..3 {
        let reply = fixture.call(invoice(&key), b"{}").await;
        assert_matches!(reply, Reply::Complete { status: 201, body, .. } if body == b"invoice 1");
    }
    assert_eq!(ran.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn a_concurrent_resend_is_refused_as_in_progress() {
    let ran = Arc::default();
    let fixture = Fixture::with_settings(counting_upstream(&ran), SMALL_SKEW_SETTINGS, 4).await;
    let slow = CallHead {
        target: "/slow".into(),
        ..invoice(&fresh_key().await)
    };
    let first = fixture.call(slow.clone(), b"{}");
    let second = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        fixture.call(slow.clone(), b"{}").await
    };
    let (first, second) = futures_util::future::join(first, second).await;
    assert_matches!(first, Reply::Complete { status: 201, .. });
    assert_refused(&second, Outcome::Unknown, RefusalReason::InProgress);
    assert_eq!(ran.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn resends_of_requests_that_may_have_run_are_refused() {
    let fixture = Fixture::with_settings(raw_upstream(b"").await, SMALL_SKEW_SETTINGS, 4).await;
    let key = fresh_key().await;
    let first = fixture.call(invoice(&key), b"{}").await;
    assert_refused(&first, Outcome::Unknown, RefusalReason::Broken);
    let second = fixture.call(invoice(&key), b"{}").await;
    assert_refused(&second, Outcome::Unknown, RefusalReason::NotReady);
}

#[actix_rt::test]
async fn a_request_that_did_not_run_can_be_resent() {
    let shed = b"HTTP/1.1 503 Busy\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n";
    let fixture = Fixture::with_settings(raw_upstream(shed).await, SMALL_SKEW_SETTINGS, 4).await;
    let key = fresh_key().await;
    for _ in 0..2 {
        let reply = fixture.call(invoice(&key), b"{}").await;
        assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Overloaded);
    }
}

#[actix_rt::test]
async fn keys_outside_the_accepted_age_are_refused() {
    let ran = Arc::default();
    let fixture = Fixture::with_settings(counting_upstream(&ran), "", 4).await;
    for (created_ms, outcome, reason) in [
        (now_ms() + 60_000, Outcome::DidNotRun, RefusalReason::BadKey),
        (
            now_ms() - 3_600_000,
            Outcome::Unknown,
            RefusalReason::BadKey,
        ),
        (now_ms(), Outcome::DidNotRun, RefusalReason::StaleKey),
    ] {
        let reply = fixture.call(invoice(&key(created_ms, 1)), b"{}").await;
        assert_refused(&reply, outcome, reason);
    }
    let malformed = fixture.call(invoice("7"), b"{}").await;
    assert_refused(&malformed, Outcome::DidNotRun, RefusalReason::BadKey);
    assert_eq!(ran.load(Ordering::SeqCst), 0);
}

/// Two VMs with an upstream each, and a key that the upstream of the first owns.
struct Pair {
    one: Fixture,
    two: Fixture,
    owned: String,
}

impl Pair {
    async fn start(addresses: [SocketAddr; 2]) -> Self {
        let [one, two] = addresses;
        let config = config_of(1, 4, &[("u", "vm-1", one), ("v", "vm-2", two)]);
        let one = Fixture::for_vm("vm-1", SMALL_SKEW_SETTINGS, Arc::clone(&config)).await;
        let two = Fixture::for_vm("vm-2", SMALL_SKEW_SETTINGS, Arc::clone(&config)).await;
        publish_vm_list(&[&one, &two]);
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let owner = |text: &String| {
            let key = IdempotencyKey::parse(text).unwrap();
            key_owner(&config, &"s".into(), &key).unwrap().vm.clone()
        };
        let created_ms = now_ms();
        let mut keys = (0..=255).map(|number| key(created_ms, number));
        let owned = keys.find(|key| owner(key).as_str() == "vm-1").unwrap();
        Self { one, two, owned }
    }
}

#[actix_rt::test]
async fn only_the_owner_accepts_a_key() {
    let ran = Arc::default();
    let upstream = counting_upstream(&ran);
    let pair = Pair::start([upstream, upstream]).await;
    let to_other = CallHead {
        upstream: "v".into(),
        ..invoice(&pair.owned)
    };
    let reply = pair.two.call(to_other, b"{}").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::NotOwner);
    let reply = pair.one.call(invoice(&pair.owned), b"{}").await;
    assert_matches!(reply, Reply::Complete { status: 201, .. });
    assert_eq!(ran.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn an_owner_whose_upstream_is_down_delegates_the_request_once() {
    let ran = Arc::default();
    let pair = Pair::start([closed_address(), counting_upstream(&ran)]).await;
    for _ in 0..2 {
        let reply = pair.one.call(invoice(&pair.owned), b"{}").await;
        assert_matches!(reply, Reply::Complete { status: 201, body, .. } if body == b"invoice 1");
    }
    assert_eq!(ran.load(Ordering::SeqCst), 1);
}

/// The owner of a key passed a request on to another VM that its stop could break off.
#[actix_rt::test]
async fn an_owner_that_stops_delegates_no_request_that_it_may_break_off() {
    let ran = Arc::default();
    let pair = Pair::start([closed_address(), counting_upstream(&ran)]).await;
    let now = tokio::time::Instant::now();
    pair.one.context.stop_gate().close(now);
    let reply = pair.one.call(invoice(&pair.owned), b"{}").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Draining);
    assert_eq!(ran.load(Ordering::SeqCst), 0);
}

#[actix_rt::test]
async fn a_new_owner_waits_for_the_previous_owner() {
    let ran = Arc::default();
    let upstream = counting_upstream(&ran);
    let alone = config_of(1, 4, &[("v", "vm-2", upstream)]);
    let both = config_of(2, 4, &[("u", "vm-1", upstream), ("v", "vm-2", upstream)]);
    let one = Fixture::for_vm("vm-1", SMALL_SKEW_SETTINGS, Arc::clone(&alone)).await;
    let two = Fixture::for_vm("vm-2", SMALL_SKEW_SETTINGS, alone).await;
    publish_vm_list(&[&one, &two]);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    one.context.view().set_config(Arc::clone(&both));
    let owned_by_one = |created_ms: u64| {
        let owner = |text: &String| {
            let key = IdempotencyKey::parse(text).unwrap();
            key_owner(&both, &"s".into(), &key).unwrap().vm.clone()
        };
        let mut keys = (0..=255).map(move |number| key(created_ms, number));
        keys.find(|key| owner(key).as_str() == "vm-1").unwrap()
    };
    let old = CallHead {
        upstream: "v".into(),
        ..invoice(&owned_by_one(now_ms()))
    };
    let reply = two.call(old.clone(), b"{}").await;
    assert_matches!(reply, Reply::Complete { status: 201, .. });
    let moved = CallHead {
        upstream: "u".into(),
        ..old.clone()
    };
    let reply = one.call(moved.clone(), b"{}").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::NotReady);
    two.context.view().set_config(Arc::clone(&both));
    actix_rt::time::sleep(Duration::from_millis(800)).await;
    let reply = one.call(moved, b"{}").await;
    assert_refused(&reply, Outcome::Unknown, RefusalReason::NotReady);
    let reply = two.call(old, b"{}").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::NotOwner);
    let new = invoice(&owned_by_one(now_ms()));
    let reply = one.call(new, b"{}").await;
    assert_matches!(reply, Reply::Complete { status: 201, .. });
    assert_eq!(ran.load(Ordering::SeqCst), 2);
}
