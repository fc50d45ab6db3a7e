use super::{
    fake::{pass, refuse},
    *,
};
use crate::wire::CallStage;

#[actix_rt::test]
async fn a_call_is_answered_by_an_upstream() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    let reply = scene.get("/x/1?y=2").await;
    reply
        .is(200)
        .header("x-outcome", "ran")
        .header("x-kept", "1");
    reply
        .header("x-upstream", "a1")
        .header("x-note", "7")
        .body(b"hello");
    let head = &scene.heads()[0];
    assert_eq!((head.target.as_str(), head.hops), ("/x/1?y=2", 1));
    assert_eq!((head.attempt, head.stage), (1, CallStage::Plain));
}

#[actix_rt::test]
async fn what_no_route_takes_did_not_run() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    let reply = scene.get("/y").await;
    reply.is(404).header("x-outcome", "did-not-run");
    assert!(scene.heads().is_empty());
}

#[actix_rt::test]
async fn a_call_takes_six_hops_at_most() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    let fifth = scene.send("GET", "/x", &[("x-hops", "5")], b"").await;
    fifth.is(200);
    assert_eq!(scene.heads()[0].hops, 6);
    let sixth = scene.send("GET", "/x", &[("x-hops", "6")], b"").await;
    sixth.is(400).header("x-reason", "too-many-hops");
}

#[actix_rt::test]
async fn headers_of_one_connection_are_not_passed_on() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    let headers = [
        ("te", "trailers"),
        ("connection", "x-mine"),
        ("x-mine", "1"),
        ("x-b", "2"),
    ];
    scene.send("GET", "/x", &headers, b"").await.is(200);
    let head = &scene.heads()[0];
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name.as_str()).collect();
    assert!(names.contains(&"x-b"));
    assert!(
        !names
            .iter()
            .any(|name| ["te", "connection", "x-mine"].contains(name))
    );
}

#[actix_rt::test]
async fn an_idempotent_call_is_resent_elsewhere() {
    let fail = |name: &str| {
        let is_first = name == "a1";
        Fake::new(move |call| {
            if is_first {
                pass(call)
            } else {
                answer(call, b"hello")
            }
        })
    };
    let scene = Scene::start(TWO, fail).await;
    for _ in 0..4 {
        scene.get("/x").await.is(200).header("x-upstream", "a2");
    }
}

#[actix_rt::test]
async fn a_call_without_key_that_may_have_run_is_not_resent() {
    let scene = Scene::start(TWO, |_| Fake::new(pass)).await;
    let reply = scene.post("/x", &[]).await;
    reply
        .is(502)
        .header("x-outcome", "unknown")
        .header("x-reason", "broken");
    assert_eq!(scene.heads().len(), 1);
}

#[actix_rt::test]
async fn a_call_without_key_that_did_not_run_is_resent_whole() {
    let first = Rc::new(Cell::new(true));
    let make = |_: &str| {
        let first = Rc::clone(&first);
        Fake::new(move |call| {
            if first.replace(false) {
                return refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded);
            }
            echo(call)
        })
    };
    let scene = Scene::start(TWO, make).await;
    let reply = scene.post("/x", &[]).await;
    assert_eq!(unchunk(&reply.is(200).rest), b"body");
    let heads = scene.heads();
    assert_eq!(heads.len(), 2);
    assert_eq!(heads[0].fingerprint, heads[1].fingerprint);
    assert_ne!(heads[0].upstream, heads[1].upstream);
}

#[actix_rt::test]
async fn a_key_is_decided_by_one_owner_alone() {
    let scene = Scene::start(TWO, |_| Fake::new(pass)).await;
    let reply = scene.post("/x", &[KEY]).await;
    reply.is(502).header("x-outcome", "unknown");
    let heads = scene.heads();
    assert_eq!(heads.len(), 2, "one resend to the same owner");
    assert_eq!(heads[0].upstream, heads[1].upstream);
    assert!(heads.iter().all(|head| head.stage == CallStage::Decide));
    assert_eq!(heads[0].key.as_deref(), Some(KEY.1));
}

#[actix_rt::test]
async fn an_owner_out_of_reach_means_that_the_call_did_not_run() {
    let scene = Scene::start_some(TWO, |_| None).await;
    let reply = scene.post("/x", &[KEY]).await;
    reply.is(503).header("x-outcome", "did-not-run");
    reply
        .header("x-reason", "unreachable")
        .header("retry-after", "1");
    let bad = scene.post("/x", &[("idempotency-key", "1")]).await;
    bad.is(400)
        .header("x-reason", "bad-key")
        .header("x-outcome", "did-not-run");
}

#[actix_rt::test]
async fn overload_everywhere_is_told_at_once() {
    let overloaded = |call| refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded);
    let scene = Scene::start(TWO, move |_| Fake::new(overloaded)).await;
    let reply = scene.get("/x").await;
    reply.is(503).header("x-outcome", "did-not-run");
    reply
        .header("x-reason", "overloaded")
        .header("retry-after", "2");
    reply.header("x-retry-after-ms", "1200");
}

#[actix_rt::test]
async fn a_refusal_after_an_unknown_attempt_is_unknown() {
    let first = Rc::new(Cell::new(true));
    let make = |_: &str| {
        let first = Rc::clone(&first);
        Fake::new(move |call| {
            if first.replace(false) {
                return pass(call);
            }
            refuse(call, Outcome::DidNotRun, RefusalReason::Overloaded)
        })
    };
    let scene = Scene::start(TWO, make).await;
    scene.get("/x").await.is(502).header("x-outcome", "unknown");
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
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(silent)).await;
    let reply = scene.post("/short", &[]).await;
    reply
        .is(504)
        .header("x-outcome", "unknown")
        .header("x-reason", "deadline");
    assert!(scene.heads()[0].left_ms <= 300);
    let reply = scene.post("/x", &[("x-deadline-ms", "100")]).await;
    reply.is(504).header("x-outcome", "unknown");
    assert!(scene.heads()[1].left_ms <= 98, "the way back takes time");
    let reply = scene.post("/x", &[("x-deadline-ms", "0")]).await;
    reply.is(503).header("x-outcome", "did-not-run");
    assert_eq!(scene.heads().len(), 2);
}
