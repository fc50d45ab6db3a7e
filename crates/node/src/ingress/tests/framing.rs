//! Requests whose framing is invalid or in doubt, and the limits of heads.

use tokio::time::timeout;
use wagtaillever_coordination::CallerLimits;

use super::*;

/// Time within which a connection closes after a refusal.
const SOON: Duration = Duration::from_secs(5);
/// Request behind an invalid one, which must not run.
const SMUGGLED: &str = "GET /x/smuggled HTTP/1.1\r\nhost: a\r\n\r\n";

/// Sends bytes and returns all that the node answers until it closes the connection.
async fn exchange(fixture: &Fixture, bytes: &str) -> String {
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut all = Vec::new();
    let read = timeout(SOON, stream.read_to_end(&mut all)).await;
    assert!(read.is_ok(), "connection stays open after {bytes:?}");
    String::from_utf8(all).unwrap()
}

/// Guards against bytes that the node takes for a request and another party for a body, or the other way
/// round.
#[actix_rt::test]
async fn heads_with_doubtful_framing_are_refused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let start = "POST /x HTTP/1.1\r\nhost: a\r\n";
    for lines in [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
        "content-length: 4\r\ncontent-length: 5\r\n\r\nbody",
        "content-length: 4\r\ncontent-length: 4\r\n\r\nbody",
        "content-length: 4, 5\r\n\r\nbody",
        "content-length: +4\r\n\r\nbody",
        "content-length: -1\r\n\r\nbody",
        "content-length: 0x4\r\n\r\nbody",
        "content-length: \r\n\r\nbody",
        "content-length : 4\r\n\r\nbody",
        "content-length: 99999999999999999999\r\n\r\nbody",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "transfer-encoding: identity\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding:\u{b}chunked\r\n\r\n0\r\n\r\n",
        "x: 1\r\n folded\r\n\r\n",
        "x: 1\r\n\tcontent-length: 4\r\n\r\n",
        "x: 1\ncontent-length: 4\r\n\r\nbody",
        "x: 1\n\r\n",
        "x: 1\r\n\n",
        "x: 1\rcontent-length: 4\r\n\r\nbody",
        "x: 1\r\r\n\r\n",
        "x: 1\0\r\n\r\n",
        "no colon\r\n\r\n",
        "host: b\r\n\r\n",
        "Host: a\r\n\r\n",
    ] {
        let text = exchange(&fixture, &format!("{start}{lines}{SMUGGLED}")).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{lines:?}: {text}");
        assert!(text.contains("connection: close\r\n"), "{lines:?}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{lines:?}: {text}");
    }
    assert!(fixture.heads().is_empty(), "{:?}", fixture.heads());
}

/// Guards against chunks whose end the node and another party see in different places.
#[actix_rt::test]
async fn bodies_with_invalid_chunks_are_refused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let start = "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    for body in [
        "x\r\nbody\r\n0\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n",
        "+4\r\nbody\r\n0\r\n\r\n",
        "0x4\r\nbody\r\n0\r\n\r\n",
        "ffffffffffffffffff\r\nbody\r\n0\r\n\r\n",
        "4\nbody\r\n0\r\n\r\n",
        "4\r\nbody0\r\n\r\n",
        "4\r\nbodyX\r\n0\r\n\r\n",
        "4\r\nbody\n0\r\n\r\n",
        "4\rbody\r\n0\r\n\r\n",
        "\r\n4\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n0\n\r\n",
        "4\r\nbody\r\n0\r\n\n",
        "4;a\nb\r\nbody\r\n0\r\n\r\n",
    ] {
        let text = exchange(&fixture, &format!("{start}{body}{SMUGGLED}")).await;
        assert!(text.starts_with("HTTP/1.1 400 "), "{body:?}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{body:?}: {text}");
    }
    let heads = fixture.heads();
    assert!(heads.iter().all(|head| head.target == "/x"), "{heads:?}");
}

/// Guards against a refusal that overtakes the responses before it, and against a connection that goes on
/// behind it.
#[actix_rt::test]
async fn a_request_that_cannot_be_read_is_refused_in_order() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let good = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    let text = exchange(&fixture, &format!("{good}{good}nonsense\r\n\r\n{SMUGGLED}")).await;
    let statuses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).map(|t| &t[..3]).collect();
    assert_eq!(statuses, ["200", "200", "400"]);
    assert_eq!(fixture.heads().len(), 2);
}

/// Guards against memory and time that heads without end cost.
#[actix_rt::test]
async fn heads_over_the_limits_are_refused() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let long = format!("GET /x HTTP/1.1\r\nhost: a\r\nx: {}", "x".repeat(200 << 10));
    let text = exchange(&fixture, &long).await;
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
    let many = format!(
        "GET /x HTTP/1.1\r\nhost: a\r\n{}\r\n",
        "x: y\r\n".repeat(100)
    );
    let text = exchange(&fixture, &many).await;
    assert!(text.starts_with("HTTP/1.1 431 "), "{text}");
    let text = exchange(&fixture, &"\r\n".repeat(5)).await;
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    let reply = exchange(
        &fixture,
        "\r\n\r\nGET /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    assert!(reply.await.starts_with("HTTP/1.1 200 "));
}

/// Guards against callers that wait for an interim response before they send their body, and against one
/// that invites the body of a request that is refused.
#[actix_rt::test]
async fn a_body_is_invited_only_if_its_call_reads_it() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| FakeSidecar::new(echo)).await;
    let head = |target| {
        format!(
            "POST {target} HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n"
        )
    };
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream.write_all(head("/x").as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    let read = timeout(SOON, stream.read_exact(&mut interim)).await;
    read.expect("no interim response").unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"body").await.unwrap();
    let reply = timeout(SOON, RawResponse::read_head(&mut stream)).await;
    reply.unwrap().assert_status(200);
    let text = exchange(&fixture, &head("/nowhere")).await;
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
    assert!(text.contains("connection: close\r\n"), "{text}");
}

/// Guards against a refusal that its caller never reads because the node resets the connection under it.
#[actix_rt::test]
async fn a_refusal_reaches_a_caller_that_still_sends_its_body() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let head = "POST /nowhere HTTP/1.1\r\nhost: a\r\ncontent-length: 700000\r\n\r\n";
    let body = "b".repeat(600_000);
    let text = exchange(&fixture, &format!("{head}{body}")).await;
    assert!(text.starts_with("HTTP/1.1 404 "), "{text}");
}

/// Guards against callers that hold a connection without a request, and against a reuse time that is longer
/// than the node keeps an idle connection.
#[actix_rt::test]
async fn the_limits_of_the_configuration_are_in_force() {
    const HEAD_TIMEOUT: Duration = Duration::from_millis(300);
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let view = fixture.context.view();
    let mut config = (*view.load().config).clone();
    config.sequence = config.sequence.next();
    config.caller_limits = Some(CallerLimits {
        header_bytes: 1_000,
        body_bytes: 1_000,
        header_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    });
    view.set_config(config.into());
    let good = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    let text = exchange(&fixture, good).await;
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    assert!(text.contains("keep-alive: timeout=1\r\n"), "{text}");
    let slow = exchange(&fixture, &format!("{good}GET /x HTTP/1.1\r\n")).await;
    assert!(slow.contains("HTTP/1.1 408 "), "{slow}");
    let long = format!(
        "GET /x HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(1_000)
    );
    let long = exchange(&fixture, &long).await;
    assert!(long.starts_with("HTTP/1.1 431 "), "{long}");
    assert_eq!(exchange(&fixture, "").await, "");
}

/// Guards against a head that is refused as late because its caller could not send the rest while earlier
/// requests held the connection.
#[actix_rt::test]
async fn pipelined_heads_that_come_in_parts_are_served() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let requests = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n".repeat(20);
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    for part in requests.as_bytes().chunks(11) {
        stream.write_all(part).await.unwrap();
        tokio::task::yield_now().await;
    }
    for _ in 0..20 {
        let reply = timeout(SOON, RawResponse::read_one(&mut stream)).await;
        reply.unwrap().assert_status(200).assert_body(b"hello");
    }
}

/// Guards against bytes of another protocol that are read as requests, and against a caller that waits for an
/// upgrade.
#[actix_rt::test]
async fn an_upgrade_is_ignored_and_ends_the_connection() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let upgrade = "GET /x HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n";
    let tunnel = "CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n";
    for (request, status) in [(upgrade, "200"), (tunnel, "404")] {
        let text = exchange(&fixture, &format!("{request}{SMUGGLED}")).await;
        assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
        assert!(text.contains("connection: close\r\n"), "{text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    }
    let heads = fixture.heads();
    assert!(heads.iter().all(|head| head.target == "/x"), "{heads:?}");
}
