//! Tests that answers arrive complete or visibly truncated, and that outcomes are correct.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use actix_web::{App, HttpResponse, HttpServer, web};
use assert_matches::assert_matches;
use bytes::Bytes;
use wagtaillever_coordination::{Config, DrainAction, DrainList, DrainOrder, DrainScope, Sequence};

use super::fixture::{Fixture, Reply, closed_address, config, get, post, raw_upstream, reply};
use crate::{
    kernel::Service,
    wire::{CallHead, Outcome, Refusal, RefusalReason},
};

/// Starts an upstream that echoes bodies, and answers `/slow` after 300 ms.
fn echo_upstream() -> SocketAddr {
    let server = HttpServer::new(|| {
        App::new()
            .app_data(web::PayloadConfig::new(64 << 20))
            .route("/", web::get().to(|| async { "hello" }))
            .route(
                "/",
                web::post().to(|body: web::Bytes| async { HttpResponse::Ok().body(body) }),
            )
            .route(
                "/slow",
                web::get().to(|| async {
                    actix_rt::time::sleep(Duration::from_millis(300)).await;
                    "late"
                }),
            )
    });
    let server = server.workers(1).bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

fn is_refused_with(outcome: Outcome, reason: RefusalReason) -> impl Fn(&Reply) -> bool {
    move |reply| matches!(reply, Reply::Refused(Refusal { outcome: o, reason: r, .. }) if *o == outcome && *r == reason)
}

#[track_caller]
fn assert_refused(reply: &Reply, outcome: Outcome, reason: RefusalReason) {
    assert!(
        is_refused_with(outcome, reason)(reply),
        "{reply:?} is not {outcome:?}/{reason:?}"
    );
}

async fn reply_to_raw(answer: &'static [u8]) -> Reply {
    Fixture::start(raw_upstream(answer).await)
        .await
        .call(get(), b"")
        .await
}

#[actix_rt::test]
async fn an_answer_is_forwarded() {
    let fixture = Fixture::start(echo_upstream()).await;
    assert_matches!(fixture.call(get(), b"").await, Reply::Complete { status: 200, body, .. } if body == b"hello");
}

#[actix_rt::test]
async fn large_bodies_are_forwarded_completely_in_both_directions() {
    let fixture = Fixture::start(echo_upstream()).await;
    let sent: Vec<u8> = (0..5_000_000_u32).flat_map(|n| n.to_be_bytes()).collect();
    for length in [Some(sent.len() as u64), None] {
        let (mut writer, mut reader) = fixture.open(post(length)).await;
        let body = Bytes::from(sent.clone());
        let sending = actix_rt::spawn(async move {
            writer.write_bytes(body).await.unwrap();
            writer.finish().unwrap();
        });
        let received = reply(&mut reader).await;
        sending.await.unwrap();
        assert_matches!(received, Reply::Complete { status: 200, body, .. } if body == sent);
    }
}

#[actix_rt::test]
async fn an_answer_that_ends_early_is_truncated() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc"[..],
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc",
    ] {
        assert_matches!(
            reply_to_raw(answer).await,
            Reply::Truncated { status: 200 } | Reply::Reset
        );
    }
}

#[actix_rt::test]
async fn an_answer_is_complete_when_the_upstream_closes_after_it() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc"[..],
        b"HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    ] {
        assert_matches!(reply_to_raw(answer).await, Reply::Complete { body, .. } if body == b"abc");
    }
}

#[actix_rt::test]
async fn an_answer_without_a_verifiable_length_or_call_is_bad() {
    for answer in [
        &b"HTTP/1.1 200 OK\r\n\r\nabc"[..],
        b"HTTP/1.0 200 OK\r\n\r\nabc",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-call-id: 00000000-0000-0000-0000-000000000009\r\ncontent-length: 0\r\n\r\n",
    ] {
        assert_refused(&reply_to_raw(answer).await, Outcome::Unknown, RefusalReason::BadAnswer);
    }
}

#[actix_rt::test]
async fn a_broken_connection_after_the_request_has_an_unknown_outcome() {
    for answer in [&b""[..], b"HTTP/1.1 200"] {
        assert_refused(
            &reply_to_raw(answer).await,
            Outcome::Unknown,
            RefusalReason::Broken,
        );
    }
}

#[actix_rt::test]
async fn an_upstream_that_sheds_did_not_run_the_request() {
    let reply = reply_to_raw(b"HTTP/1.1 503 Busy\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Overloaded);
}

#[actix_rt::test]
async fn an_upstream_that_is_down_did_not_run_the_request() {
    let fixture = Fixture::start(closed_address()).await;
    let reply = fixture.call(post(Some(3)), b"abc").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Unreachable);
}

#[actix_rt::test]
async fn the_deadline_ends_a_call() {
    let fixture = Fixture::start(echo_upstream()).await;
    let slow = CallHead {
        target: "/slow".into(),
        left_ms: 100,
        ..get()
    };
    let reply = fixture.call(slow, b"").await;
    assert_refused(&reply, Outcome::Unknown, RefusalReason::Deadline);
    let late = CallHead {
        left_ms: 0,
        ..get()
    };
    let reply = fixture.call(late, b"").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Deadline);
}

#[actix_rt::test]
async fn calls_for_an_unknown_upstream_service_or_sequence_are_refused() {
    let fixture = Fixture::start(echo_upstream()).await;
    let other = CallHead {
        upstream: "v".into(),
        ..get()
    };
    assert_refused(
        &fixture.call(other, b"").await,
        Outcome::DidNotRun,
        RefusalReason::NoUpstream,
    );
    let other = CallHead {
        service: "t".into(),
        ..get()
    };
    assert_refused(
        &fixture.call(other, b"").await,
        Outcome::DidNotRun,
        RefusalReason::NoUpstream,
    );
    let newer = CallHead {
        sequence: 2,
        ..get()
    };
    assert_refused(
        &fixture.call(newer, b"").await,
        Outcome::DidNotRun,
        RefusalReason::NotReady,
    );
}

#[actix_rt::test]
async fn a_call_waits_for_the_note_that_routed_it() {
    let address = echo_upstream();
    let fixture = Fixture::start(address).await;
    let view = fixture.context.view().clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        view.set_config(config(2, address, 4));
    });
    let newer = CallHead {
        sequence: 2,
        ..get()
    };
    assert_matches!(fixture.call(newer, b"").await, Reply::Complete { .. });
}

#[actix_rt::test]
async fn a_withdrawn_upstream_still_serves_calls_routed_by_older_notes() {
    let fixture = Fixture::start(echo_upstream()).await;
    let empty = Config {
        sequence: Sequence(2),
        ..Config::default()
    };
    assert_matches!(fixture.call(get(), b"").await, Reply::Complete { .. });
    fixture.context.view().set_config(empty.into());
    assert_matches!(fixture.call(get(), b"").await, Reply::Complete { .. });
}

#[actix_rt::test]
async fn a_drained_vm_refuses_new_calls() {
    let fixture = Fixture::start(echo_upstream()).await;
    let mut drains = DrainList::default();
    drains.merge(&DrainOrder {
        number: 1,
        scope: DrainScope::Domain("modica".into()),
        action: DrainAction::Drain,
    });
    fixture.context.view().set_drains(drains.into());
    let reply = fixture.call(get(), b"").await;
    assert_refused(&reply, Outcome::DidNotRun, RefusalReason::Draining);
}

#[actix_rt::test]
async fn a_planned_stop_completes_calls_in_flight() {
    let mut fixture = Fixture::start(echo_upstream()).await;
    let slow = CallHead {
        target: "/slow".into(),
        ..get()
    };
    let (writer, mut reader) = fixture.open(slow).await;
    writer.finish().unwrap();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let ended = Rc::new(Cell::new(false));
    let flag = Rc::clone(&ended);
    let mut sidecar = std::mem::take(&mut fixture.sidecar);
    let stopping = actix_rt::spawn(async move {
        sidecar.stop(crate::kernel::stop_deadlines()).await;
        flag.set(true);
    });
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    assert!(!ended.get());
    let refused = fixture.call(get(), b"").await;
    assert_refused(&refused, Outcome::DidNotRun, RefusalReason::Draining);
    assert_matches!(reply(&mut reader).await, Reply::Complete { body, .. } if body == b"late");
    stopping.await.unwrap();
}
