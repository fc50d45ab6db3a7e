use super::{
    fake::{refuse, reset_stream},
    *,
};
use crate::wire::CallStage;

#[actix_rt::test]
async fn a_call_is_answered_by_an_upstream() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let reply = fixture.get("/x/1?y=2").await;
    reply
        .assert_status(200)
        .assert_header("x-outcome", "ran")
        .assert_header("x-kept", "1");
    reply
        .assert_header("x-upstream", "a1")
        .assert_header("x-note", "7")
        .assert_body(b"hello");
    let head = &fixture.heads()[0];
    assert_eq!((head.target.as_str(), head.hops), ("/x/1?y=2", 1));
    assert_eq!((head.attempt, head.stage), (1, CallStage::Plain));
}

#[actix_rt::test]
async fn unrouted_request_did_not_run() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let reply = fixture.get("/y").await;
    reply
        .assert_status(404)
        .assert_header("x-outcome", "did-not-run");
    assert!(fixture.heads().is_empty());
}

#[actix_rt::test]
async fn a_call_takes_at_most_six_hops() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let fifth = fixture.send("GET", "/x", &[("x-hops", "5")], b"").await;
    fifth.assert_status(200);
    assert_eq!(fixture.heads()[0].hops, 6);
    let sixth = fixture.send("GET", "/x", &[("x-hops", "6")], b"").await;
    sixth
        .assert_status(400)
        .assert_header("x-reason", "too-many-hops");
}

#[actix_rt::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let headers = [
        ("te", "trailers"),
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("x-b", "2"),
    ];
    fixture
        .send("GET", "/x", &headers, b"")
        .await
        .assert_status(200);
    let head = &fixture.heads()[0];
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert!(names.contains(&"x-b"));
    assert!(
        !names
            .iter()
            .any(|name| ["te", "connection", "x-mine"].contains(name))
    );
}

#[actix_rt::test]
async fn an_idempotent_call_is_resent_to_another_upstream() {
    let fail = |name: &str| {
        let is_first = name == "a1";
        FakeSidecar::new(move |call| {
            if is_first {
                reset_stream(call)
            } else {
                answer(call, b"hello")
            }
        })
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, fail).await;
    for _ in 0..4 {
        fixture
            .get("/x")
            .await
            .assert_status(200)
            .assert_header("x-upstream", "a2");
    }
}

#[actix_rt::test]
async fn a_call_without_key_that_may_have_run_is_not_resent() {
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| FakeSidecar::new(reset_stream)).await;
    let reply = fixture.post("/x", &[]).await;
    reply
        .assert_status(502)
        .assert_header("x-outcome", "unknown")
        .assert_header("x-reason", "broken");
    assert_eq!(fixture.heads().len(), 1);
}

#[actix_rt::test]
async fn a_call_without_key_that_did_not_run_is_resent_with_its_body() {
    let first = Rc::new(Cell::new(true));
    let make = |_: &str| {
        let first = Rc::clone(&first);
        FakeSidecar::new(move |call| {
            if first.replace(false) {
                return refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded);
            }
            echo(call)
        })
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, make).await;
    let reply = fixture.post("/x", &[]).await;
    assert_eq!(decode_chunked(&reply.assert_status(200).rest), b"body");
    let heads = fixture.heads();
    assert_eq!(heads.len(), 2);
    assert_eq!(heads[0].fingerprint, heads[1].fingerprint);
    assert_ne!(heads[0].upstream, heads[1].upstream);
}

#[actix_rt::test]
async fn a_keyed_call_is_resent_to_the_same_owner() {
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| FakeSidecar::new(reset_stream)).await;
    let reply = fixture.post("/x", &[KEY_HEADER]).await;
    reply
        .assert_status(502)
        .assert_header("x-outcome", "unknown");
    let heads = fixture.heads();
    assert_eq!(heads.len(), 2, "expected one resend to the same owner");
    assert_eq!(heads[0].upstream, heads[1].upstream);
    assert!(heads.iter().all(|head| head.stage == CallStage::Decide));
    assert_eq!(heads[0].key.as_deref(), Some(KEY_HEADER.1));
}

#[actix_rt::test]
async fn an_unreachable_key_owner_means_the_call_did_not_run() {
    let fixture = Fixture::start_with_unreachable(TWO_UPSTREAMS, |_| None).await;
    let reply = fixture.post("/x", &[KEY_HEADER]).await;
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    reply
        .assert_header("x-reason", "unreachable")
        .assert_header("retry-after", "1");
    let bad = fixture.post("/x", &[("idempotency-key", "1")]).await;
    bad.assert_status(400)
        .assert_header("x-reason", "bad-key")
        .assert_header("x-outcome", "did-not-run");
}

#[actix_rt::test]
async fn overload_of_all_upstreams_is_refused() {
    let overloaded = |call| refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded);
    let fixture = Fixture::start(TWO_UPSTREAMS, move |_| FakeSidecar::new(overloaded)).await;
    let reply = fixture.get("/x").await;
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    reply
        .assert_header("x-reason", "overloaded")
        .assert_header("retry-after", "2");
    reply.assert_header("x-retry-after-ms", "1200");
}

#[actix_rt::test]
async fn a_refusal_after_an_unknown_attempt_is_unknown() {
    let first = Rc::new(Cell::new(true));
    let make = |_: &str| {
        let first = Rc::clone(&first);
        FakeSidecar::new(move |call| {
            if first.replace(false) {
                return reset_stream(call);
            }
            refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded)
        })
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, make).await;
    fixture
        .get("/x")
        .await
        .assert_status(502)
        .assert_header("x-outcome", "unknown");
}

#[actix_rt::test]
async fn the_deadline_ends_a_call() {
    let silent = |call: FakeCall| {
        async move {
            tokio::time::sleep(Duration::from_secs(30)).await;
            drop(call);
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(silent)).await;
    let reply = fixture.post("/short", &[]).await;
    reply
        .assert_status(504)
        .assert_header("x-outcome", "unknown")
        .assert_header("x-reason", "deadline");
    assert!(fixture.heads()[0].left_ms <= 300);
    let reply = fixture.post("/x", &[("x-deadline-ms", "100")]).await;
    reply
        .assert_status(504)
        .assert_header("x-outcome", "unknown");
    assert!(
        fixture.heads()[1].left_ms <= 98,
        "deadline does not include the reply margin"
    );
    let reply = fixture.post("/x", &[("x-deadline-ms", "0")]).await;
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    assert_eq!(fixture.heads().len(), 2);
}

/// Guards against a complete answer without bytes that is recorded as a caller that left.
#[actix_rt::test]
async fn an_empty_answer_is_complete() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| {
        FakeSidecar::new(|call| answer(call, b""))
    })
    .await;
    for method in ["GET", "POST"] {
        let reply = fixture.send(method, "/x", &[], b"").await;
        reply
            .assert_status(200)
            .assert_header("content-length", "0")
            .assert_body(b"");
    }
    let open_calls = &fixture.ingress.server.as_ref().unwrap().open_calls;
    assert_eq!(open_calls.len(), 0);
    assert_eq!(open_calls.unanswered(), []);
}
