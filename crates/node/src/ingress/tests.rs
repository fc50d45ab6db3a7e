mod fake;

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use self::fake::{Fake, FakeCall, Raw, Scene, answer, answer_head, pass, refuse, refuse_at};
use crate::{
    kernel::Service,
    view::Phase,
    wire::{CallStage, Outcome, RefusalReason},
};

const TWO: &[(&str, &str)] = &[("a1", "a"), ("a2", "a")];
const KEY: (&str, &str) = ("idempotency-key", "a.01939c5e-0000-7000-8000-000000000001");

fn hello() -> Fake {
    Fake::new(|call| answer(call, b"hello"))
}

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

fn echo(mut call: FakeCall) -> futures_util::future::LocalBoxFuture<'static, ()> {
    async move {
        call.writer.frame(&answer_head(None)).await.unwrap();
        while let Ok(Some(part)) = call.reader.bytes().await {
            call.writer.bytes(part).await.unwrap();
        }
        call.writer.end().unwrap();
    }
    .boxed_local()
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

/// Answers a head and half of a body, then breaks the stream.
fn cut(
    mut call: FakeCall,
    length: Option<u64>,
) -> futures_util::future::LocalBoxFuture<'static, ()> {
    async move {
        call.writer.frame(&answer_head(length)).await.unwrap();
        call.writer
            .bytes(Bytes::from_static(b"half"))
            .await
            .unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        call.writer.reset();
    }
    .boxed_local()
}

#[actix_rt::test]
async fn a_body_that_breaks_off_never_looks_whole() {
    let sized = Scene::start(&TWO[..1], |_| Fake::new(|call| cut(call, Some(8)))).await;
    let reply = sized.get("/x").await;
    reply.is(200).header("content-length", "8");
    assert!(reply.rest.len() < 8);
    let chunked = Scene::start(&TWO[..1], |_| Fake::new(|call| cut(call, None))).await;
    let reply = chunked.get("/x").await;
    reply.is(200).header("transfer-encoding", "chunked");
    assert!(!reply.rest.ends_with(b"0\r\n\r\n"), "{:?}", reply.rest);
}

#[actix_rt::test]
async fn a_body_shorter_than_announced_never_looks_whole() {
    let short = |mut call: FakeCall| {
        async move {
            call.writer.frame(&answer_head(Some(8))).await.unwrap();
            call.writer
                .bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(short)).await;
    let reply = scene.get("/x").await;
    assert!(reply.rest.len() < 8, "{reply:?}");
}

#[actix_rt::test]
async fn crossed_replies_reach_their_own_callers() {
    let crossed = |mut call: FakeCall| {
        async move {
            let target = call.head.target.clone();
            let number: u64 = target.rsplit('/').next().unwrap().parse().unwrap();
            tokio::time::sleep(Duration::from_millis(20 * (10 - number))).await;
            let head = answer_head(Some(target.len() as u64));
            call.writer.frame(&head).await.unwrap();
            call.writer.bytes(Bytes::from(target)).await.unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(crossed)).await;
    let calls = (0..10).map(|i| {
        let scene = &scene;
        async move {
            let target = format!("/x/{i}");
            scene.get(&target).await.is(200).body(target.as_bytes());
        }
    });
    futures_util::future::join_all(calls).await;
}

#[actix_rt::test]
async fn a_caller_that_goes_away_cancels_its_call() {
    let gone = Rc::new(Cell::new(false));
    let seen = Rc::clone(&gone);
    let wait = move |mut call: FakeCall| {
        let gone = Rc::clone(&gone);
        async move {
            call.writer.closed().await;
            gone.set(true);
        }
        .boxed_local()
    };
    let wait = Rc::new(wait);
    let make = |_: &str| {
        let wait = Rc::clone(&wait);
        Fake::new(move |call| wait(call))
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    while scene.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!seen.get());
    drop(stream);
    for _ in 0..400 {
        if seen.get() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the sidecar was not told");
}

#[actix_rt::test]
async fn a_request_that_breaks_off_is_not_completed() {
    let ended = Rc::new(Cell::new(None));
    let seen = Rc::clone(&ended);
    let read = Rc::new(move |mut call: FakeCall| {
        let ended = Rc::clone(&ended);
        async move {
            loop {
                match call.reader.bytes().await {
                    Ok(Some(_)) => {}
                    end => break ended.set(Some(end.is_ok())),
                }
            }
        }
        .boxed_local()
    });
    let make = |_: &str| {
        let read = Rc::clone(&read);
        Fake::new(move |call| read(call))
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    let head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n";
    stream.write_all(head).await.unwrap();
    stream.write_all(&[1; 5_000]).await.unwrap();
    while scene.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    while seen.get().is_none() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(seen.get(), Some(false));
}

#[actix_rt::test]
async fn large_bodies_pass_whole_in_both_directions() {
    let scene = Scene::start(&TWO[..1], |_| Fake::new(echo)).await;
    let body: Vec<u8> = (0..3_000_000u32).map(|i| (i % 251) as u8).collect();
    let reply = scene.send("POST", "/x", &[], &body).await;
    reply.is(200);
    assert_eq!(unchunk(&reply.rest), body);
}

fn unchunk(mut rest: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|w| w == b"\r\n").unwrap();
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&rest[end + 2..end + 2 + size]);
        rest = &rest[end + 4 + size..];
    }
}

#[actix_rt::test]
async fn a_node_that_does_not_serve_refuses_and_closes() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    for phase in [Phase::Joining, Phase::Stopping] {
        scene.context.view().set_phase(phase);
        let reply = scene.get("/x").await;
        reply.is(503).header("x-reason", "not-ready");
        reply
            .header("x-outcome", "did-not-run")
            .header("connection", "close");
    }
    assert!(scene.heads().is_empty());
}

#[actix_rt::test]
async fn a_graceful_stop_cuts_no_call() {
    let slow = |mut call: FakeCall| {
        async move {
            call.writer.frame(&answer_head(Some(8))).await.unwrap();
            call.writer
                .bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            call.writer
                .bytes(Bytes::from_static(b"rest"))
                .await
                .unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let mut scene = Scene::start(&TWO[..1], move |_| Fake::new(slow)).await;
    let mut idle = TcpStream::connect(scene.callers).await.unwrap();
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    while scene.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    scene.context.view().set_phase(Phase::Stopping);
    let reply = async { Raw::read(stream).await };
    let (reply, ()) = tokio::join!(reply, scene.ingress.stop());
    reply.is(200).body(b"halfrest");
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(TcpStream::connect(scene.callers).await.is_err());
}

#[actix_rt::test]
async fn a_head_request_keeps_the_length_and_the_connection() {
    let head_only = |mut call: FakeCall| {
        async move {
            call.writer.frame(&answer_head(Some(8))).await.unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let scene = Scene::start(&TWO[..1], move |_| Fake::new(head_only)).await;
    let reply = scene.send("HEAD", "/x", &[], b"").await;
    reply.is(200).header("content-length", "8").body(b"");
}

#[actix_rt::test]
async fn a_drained_vm_gets_no_new_work() {
    let scene = Scene::start(TWO, |_| hello()).await;
    scene.drain("a1");
    for _ in 0..10 {
        scene.get("/x").await.is(200).header("x-upstream", "a2");
    }
    scene.drain("a2");
    let reply = scene.get("/x").await;
    reply.is(503).header("x-outcome", "did-not-run");
}

#[actix_rt::test]
async fn a_sidecar_that_accepts_but_never_answers_holds_no_call_back() {
    let scene = Scene::start_some(TWO, |name| (name == "a2").then(hello)).await;
    let silent = std::net::TcpListener::bind(scene.address("a1")).unwrap();
    for _ in 0..5 {
        let reply = scene
            .send("GET", "/x", &[("x-deadline-ms", "2000")], b"")
            .await;
        reply.is(200).header("x-upstream", "a2");
    }
    drop(silent);
}

#[actix_rt::test]
async fn a_sidecar_that_is_ahead_is_caught_up_with() {
    let stale = |call: FakeCall| {
        if call.head.sequence < 8 {
            return refuse_at(call, Outcome::DidNotRun, RefusalReason::NoUpstream, 8);
        }
        answer(call, b"hello")
    };
    let scene = Scene::start(TWO, move |_| Fake::new(stale)).await;
    let view = scene.context.view().clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let mut config = (*view.load().config).clone();
        config.sequence = config.sequence.next();
        view.set_config(config.into());
    });
    scene.post("/x", &[]).await.is(200);
    let sequences: Vec<u64> = scene.heads().iter().map(|head| head.sequence).collect();
    assert_eq!(sequences, [7, 8]);
}

#[actix_rt::test]
async fn an_old_http_version_is_refused() {
    let scene = Scene::start(&TWO[..1], |_| hello()).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    stream.write_all(b"GET /x HTTP/1.0\r\n\r\n").await.unwrap();
    let reply = Raw::read(stream).await;
    reply
        .header("x-outcome", "did-not-run")
        .header("x-reason", "http-version");
}

#[actix_rt::test]
async fn one_caller_leaves_room_for_others() {
    let silent = |call: FakeCall| {
        async move {
            tokio::time::sleep(Duration::from_secs(30)).await;
            drop(call);
        }
        .boxed_local()
    };
    let scene = Scene::start_limited(24, &TWO[..1], move |_| Some(Fake::new(silent))).await;
    let greedy = (0..20).map(|_| {
        let headers = [("x-caller", "greedy"), ("x-deadline-ms", "1500")];
        let scene = &scene;
        async move { scene.send("GET", "/x", &headers, b"").await }
    });
    let other = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let headers = [("x-caller", "other"), ("x-deadline-ms", "100")];
        scene.send("GET", "/x", &headers, b"").await
    };
    let (greedy, other) = tokio::join!(futures_util::future::join_all(greedy), other);
    let refused = greedy
        .iter()
        .filter(|reply| reply.has("x-reason: overloaded"));
    assert_eq!(refused.count(), 8, "half of the 24 calls of the node");
    other.is(504);
}

#[actix_rt::test]
async fn a_sidecar_that_stops_cuts_no_call() {
    let slow = |mut call: FakeCall| {
        async move {
            while let Ok(Some(_)) = call.reader.bytes().await {}
            call.writer.frame(&answer_head(Some(8))).await.unwrap();
            call.writer
                .bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            tokio::time::sleep(Duration::from_millis(30)).await;
            call.writer
                .bytes(Bytes::from_static(b"rest"))
                .await
                .unwrap();
            call.writer.end().unwrap();
        }
        .boxed_local()
    };
    let mut scene = Scene::start(TWO, move |_| Fake::new(slow)).await;
    let mut first = scene.services.remove(0);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        first.stop().await;
    };
    let calls = (0..300).map(|i| {
        let scene = &scene;
        async move {
            tokio::time::sleep(Duration::from_millis(2 * i)).await;
            scene.post("/x", &[]).await
        }
    });
    let (replies, ()) = tokio::join!(futures_util::future::join_all(calls), stop);
    for reply in replies {
        reply.is(200).body(b"halfrest");
    }
}

#[actix_rt::test]
async fn a_caller_that_does_not_read_holds_the_sidecar_back() {
    const WHOLE: u64 = 256 << 20;
    let written = Rc::new(Cell::new(0u64));
    let seen = Rc::clone(&written);
    let make = move |_: &str| {
        let written = Rc::clone(&written);
        Fake::new(move |mut call| {
            let written = Rc::clone(&written);
            async move {
                call.writer.frame(&answer_head(Some(WHOLE))).await.unwrap();
                let part = Bytes::from(vec![0; 64 << 10]);
                while written.get() < WHOLE && call.writer.bytes(part.clone()).await.is_ok() {
                    written.set(written.get() + part.len() as u64);
                }
            }
            .boxed_local()
        })
    };
    let scene = Scene::start(&TWO[..1], make).await;
    let mut stream = TcpStream::connect(scene.callers).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut last = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        if last > 0 && seen.get() == last {
            break;
        }
        last = seen.get();
    }
    assert!(last < WHOLE / 8, "{last} bytes, most of them in sockets");
}
