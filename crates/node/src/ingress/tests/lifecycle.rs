use super::*;

/// Rest of a call that is still in flight when the notice of a stop is over.
const LONGER_THAN_NOTICE: Duration = Duration::from_millis(3_500);

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
            tokio::time::sleep(LONGER_THAN_NOTICE).await;
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
    let (reply, ()) = tokio::join!(reply, scene.ingress.stop(crate::kernel::stop_end()));
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
        first.stop(crate::kernel::stop_end()).await;
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
