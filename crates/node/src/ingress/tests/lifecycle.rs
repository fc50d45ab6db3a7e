use super::*;

/// Duration of a call that outlasts the notice period of a stopping ingress (2 s).
const LONGER_THAN_NOTICE: Duration = Duration::from_millis(3_500);

#[actix_rt::test]
async fn a_node_that_does_not_serve_refuses_and_closes() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    for phase in [Phase::Joining, Phase::Stopping] {
        fixture.context.view().set_phase(phase);
        let reply = fixture.get("/x").await;
        reply
            .assert_status(503)
            .assert_header("x-reason", "not-ready");
        reply
            .assert_header("x-outcome", "did-not-run")
            .assert_header("connection", "close");
    }
    assert!(fixture.heads().is_empty());
}

#[actix_rt::test]
async fn a_graceful_stop_completes_calls_in_flight() {
    let slow = |mut call: FakeCall| {
        async move {
            call.writer
                .write_frame(&answer_head(Some(8)))
                .await
                .unwrap();
            call.writer
                .write_bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            tokio::time::sleep(LONGER_THAN_NOTICE).await;
            call.writer
                .write_bytes(Bytes::from_static(b"rest"))
                .await
                .unwrap();
            call.writer.finish().unwrap();
        }
        .boxed_local()
    };
    let mut fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(slow)).await;
    let mut idle = TcpStream::connect(fixture.callers).await.unwrap();
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream
        .write_all(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    while fixture.heads().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fixture.context.view().set_phase(Phase::Stopping);
    let reply = async { RawResponse::read(stream).await };
    let (reply, ()) = tokio::join!(reply, fixture.ingress.stop(crate::kernel::stop_deadlines()));
    reply.assert_status(200).assert_body(b"halfrest");
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(TcpStream::connect(fixture.callers).await.is_err());
}

/// Callers reuse a connection for as long as the deployment lets them, and it was closed under a request
/// where that is longer than the node keeps it.
#[actix_rt::test]
async fn answers_state_for_how_long_a_connection_may_be_reused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    for target in ["/x", "/nowhere", "/x"] {
        let request = format!("GET {target} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let head = RawResponse::read_head(&mut stream).await;
        head.assert_header("keep-alive", "timeout=60");
    }
    fixture.context.view().set_phase(Phase::Leaving);
    let reply = fixture.get("/x").await;
    reply.assert_header("connection", "close");
    assert!(!reply.contains_line("keep-alive:"));
}

#[actix_rt::test]
async fn a_head_response_keeps_its_length_without_a_body() {
    let head_only = |mut call: FakeCall| {
        async move {
            call.writer
                .write_frame(&answer_head(Some(8)))
                .await
                .unwrap();
            call.writer.finish().unwrap();
        }
        .boxed_local()
    };
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(head_only)).await;
    let reply = fixture.send("HEAD", "/x", &[], b"").await;
    reply
        .assert_status(200)
        .assert_header("content-length", "8")
        .assert_body(b"");
}

#[actix_rt::test]
async fn a_drained_vm_gets_no_new_calls() {
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| hello_sidecar()).await;
    fixture.drain("a1");
    for _ in 0..10 {
        fixture
            .get("/x")
            .await
            .assert_status(200)
            .assert_header("x-upstream", "a2");
    }
    fixture.drain("a2");
    let reply = fixture.get("/x").await;
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
}

#[actix_rt::test]
async fn a_sidecar_that_accepts_but_never_answers_delays_no_call() {
    let fixture =
        Fixture::start_with_unreachable(TWO_UPSTREAMS, |name| (name == "a2").then(hello_sidecar))
            .await;
    let silent = std::net::TcpListener::bind(fixture.address("a1")).unwrap();
    for _ in 0..5 {
        let reply = fixture
            .send("GET", "/x", &[("x-deadline-ms", "2000")], b"")
            .await;
        reply.assert_status(200).assert_header("x-upstream", "a2");
    }
    drop(silent);
}

#[actix_rt::test]
async fn a_sidecar_that_is_ahead_makes_the_call_wait() {
    let stale = |call: FakeCall| {
        if call.head.sequence < 8 {
            return refuse_with_sequence(call, Outcome::DidNotRun, RefusalReason::NoUpstream, 8);
        }
        answer(call, b"hello")
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, move |_| FakeSidecar::new(stale)).await;
    let view = fixture.context.view().clone();
    actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        let mut config = (*view.load().config).clone();
        config.sequence = config.sequence.next();
        view.set_config(config.into());
    });
    fixture.post("/x", &[]).await.assert_status(200);
    let sequences: Vec<u64> = fixture.heads().iter().map(|head| head.sequence).collect();
    assert_eq!(sequences, [7, 8]);
}

#[actix_rt::test]
async fn an_http_1_0_request_is_refused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream.write_all(b"GET /x HTTP/1.0\r\n\r\n").await.unwrap();
    let reply = RawResponse::read(stream).await;
    reply
        .assert_header("x-outcome", "did-not-run")
        .assert_header("x-reason", "http-version");
}

#[actix_rt::test]
async fn one_caller_cannot_take_all_call_slots() {
    let silent = |call: FakeCall| {
        async move {
            tokio::time::sleep(Duration::from_secs(30)).await;
            drop(call);
        }
        .boxed_local()
    };
    let fixture = Fixture::start_with_call_limit(24, &TWO_UPSTREAMS[..1], move |_| {
        Some(FakeSidecar::new(silent))
    })
    .await;
    let greedy = (0..20).map(|_| {
        let headers = [("x-caller", "greedy"), ("x-deadline-ms", "1500")];
        let fixture = &fixture;
        async move { fixture.send("GET", "/x", &headers, b"").await }
    });
    let other = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let headers = [("x-caller", "other"), ("x-deadline-ms", "100")];
        fixture.send("GET", "/x", &headers, b"").await
    };
    let (greedy, other) = tokio::join!(futures_util::future::join_all(greedy), other);
    let refused = greedy
        .iter()
        .filter(|reply| reply.contains_line("x-reason: overloaded"));
    assert_eq!(
        refused.count(),
        8,
        "one caller may hold at most half of the 24 calls"
    );
    other.assert_status(504);
}

#[actix_rt::test]
async fn a_sidecar_that_stops_cuts_no_call() {
    let slow = |mut call: FakeCall| {
        async move {
            while let Ok(Some(_)) = call.reader.read_bytes().await {}
            call.writer
                .write_frame(&answer_head(Some(8)))
                .await
                .unwrap();
            call.writer
                .write_bytes(Bytes::from_static(b"half"))
                .await
                .unwrap();
            tokio::time::sleep(Duration::from_millis(30)).await;
            call.writer
                .write_bytes(Bytes::from_static(b"rest"))
                .await
                .unwrap();
            call.writer.finish().unwrap();
        }
        .boxed_local()
    };
    let mut fixture = Fixture::start(TWO_UPSTREAMS, move |_| FakeSidecar::new(slow)).await;
    let mut first = fixture.services.remove(0);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        first.stop(crate::kernel::stop_deadlines()).await;
    };
    let calls = (0..300).map(|i| {
        let fixture = &fixture;
        async move {
            tokio::time::sleep(Duration::from_millis(2 * i)).await;
            fixture.post("/x", &[]).await
        }
    });
    let (replies, ()) = tokio::join!(futures_util::future::join_all(calls), stop);
    for reply in replies {
        reply.assert_status(200).assert_body(b"halfrest");
    }
}

/// Guards against connections that were idle before the configuration raised the idle time and are closed under
/// a caller that relies on the new one.
#[actix_rt::test]
async fn a_raised_idle_time_holds_for_connections_that_are_idle() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    fixture.set_idle_timeout(Duration::from_millis(500));
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    let request = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    RawResponse::read_one(&mut stream).await.assert_status(200);
    fixture.set_idle_timeout(Duration::from_secs(20));
    let mut byte = [0];
    let closed = tokio::time::timeout(Duration::from_millis(1_500), stream.read(&mut byte)).await;
    assert!(closed.is_err(), "closed after the old idle time");
    stream.write_all(request).await.unwrap();
    RawResponse::read_one(&mut stream).await.assert_status(200);
}
