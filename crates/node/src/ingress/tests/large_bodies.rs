//! Bodies over the limit, in small chunks, and beyond the memory for bodies.

use wagtaillever_coordination::CallerLimits;

use super::*;

const MAX_BODY_BYTES: u64 = 100_000;

/// Starts a node with a limit on bodies, in front of a sidecar that echoes the length of a body.
async fn start(max_calls: usize) -> Fixture {
    let fixture = Fixture::start_with_call_limit(max_calls, &TWO_UPSTREAMS[..1], |_| {
        Some(FakeSidecar::new(|mut call: FakeCall| {
            async move {
                let mut received = 0;
                while let Ok(Some(part)) = call.reader.read_bytes().await {
                    received += part.len();
                }
                let text = received.to_string();
                let head = answer_head(Some(text.len() as u64));
                let _ = call.writer.write_frame(&head).await;
                let _ = call.writer.write_bytes(text.into()).await;
                let _ = call.writer.finish();
            }
            .boxed_local()
        }))
    })
    .await;
    let view = fixture.context.view();
    let mut config = (*view.load().config).clone();
    config.sequence = config.sequence.next();
    config.caller_limits = Some(CallerLimits {
        header_bytes: 16_384,
        body_bytes: MAX_BODY_BYTES,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    });
    view.set_config(config.into());
    fixture
}

/// Sends the head of a request and a body as far as the node takes it.
async fn send(fixture: &Fixture, framing: &str, body: &[u8]) -> RawResponse {
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    let head = format!("POST /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let _ = stream.write_all(body).await;
    RawResponse::read(stream).await
}

fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "b".repeat(bytes))
}

/// A body of 10 GB was passed through.
#[actix_rt::test]
async fn a_body_that_is_declared_over_the_limit_is_not_forwarded() {
    let fixture = start(8).await;
    let framing = format!("content-length: {}", MAX_BODY_BYTES + 1);
    let response = send(&fixture, &framing, b"").await;
    response.assert_status(413);
    assert!(fixture.heads().is_empty());
    let whole = vec![b'b'; usize::try_from(MAX_BODY_BYTES).unwrap()];
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    let response = send(&fixture, &framing, &whole).await;
    response.assert_status(200).assert_body(b"100000");
}

/// A body without a length had no limit, and must not look whole to the upstream where it ends.
#[actix_rt::test]
async fn a_body_that_grows_over_the_limit_ends_with_413() {
    let fixture = start(8).await;
    let body = chunk(10_000).repeat(12) + "0\r\n\r\n";
    let response = send(&fixture, "transfer-encoding: chunked", body.as_bytes()).await;
    response.assert_status(413);
    fixture.get("/x").await.assert_status(200);
}

/// Each chunk of a caller was a frame between the nodes and kept its read buffer alive.
#[actix_rt::test]
async fn a_body_in_chunks_of_one_byte_arrives_whole() {
    let fixture = start(8).await;
    let body = chunk(1).repeat(70_000) + "0\r\n\r\n";
    let response = send(&fixture, "transfer-encoding: chunked", body.as_bytes()).await;
    response.assert_status(200).assert_body(b"70000");
}

/// Bodies of other callers that use up the memory must not refuse a call. Its body is no longer kept for a
/// resend beyond its first part.
#[actix_rt::test]
async fn bodies_are_served_while_others_use_up_the_memory() {
    let fixture = start(8).await;
    let mut others = fixture.context.body_budget().reserve();
    assert!(others.try_set(8 << 16));
    let response = send(&fixture, "content-length: 4", b"body").await;
    response.assert_status(200).assert_body(b"4");
    let body = vec![b'b'; 60_000];
    let response = send(&fixture, "content-length: 60000", &body).await;
    response.assert_status(200).assert_body(b"60000");
    drop(others);
    assert_eq!(fixture.context.body_budget().used(), 0);
}

/// A status of a sidecar that is none must not reach a caller.
#[actix_rt::test]
async fn an_invalid_status_is_answered_with_502() {
    for invalid in [0, 99, 1000] {
        let script = move |mut call: FakeCall| {
            async move {
                let mut head = answer_head(Some(0));
                if let ReplyHead::Answer { status, .. } = &mut head {
                    *status = invalid;
                }
                call.writer.write_frame(&head).await.unwrap();
                call.writer.finish().unwrap();
            }
            .boxed_local()
        };
        let fixture = Fixture::start(&TWO_UPSTREAMS[..1], move |_| FakeSidecar::new(script)).await;
        let response = fixture.post("/x", &[]).await;
        response
            .assert_status(502)
            .assert_header("x-outcome", "unknown");
        assert_eq!(fixture.heads().len(), 1);
    }
}

/// An answer with an invalid status to the second attempt leaves the outcome unknown, although the first
/// one did not run, and is not followed by a third attempt.
#[actix_rt::test]
async fn an_invalid_status_of_a_second_attempt_is_answered_with_502() {
    let calls = Rc::new(Cell::new(0));
    let fixture = Fixture::start(TWO_UPSTREAMS, |_| {
        let calls = Rc::clone(&calls);
        FakeSidecar::new(move |call| {
            calls.set(calls.get() + 1);
            match calls.get() {
                1 => fake::refuse(call, Outcome::DidNotRun, RefusalReason::Draining),
                2 => fake::refuse(call, Outcome::Unknown, RefusalReason::BadAnswer),
                _ => answer(call, b"hello"),
            }
        })
    })
    .await;
    let response = fixture.post("/x", &[]).await;
    response
        .assert_status(502)
        .assert_header("x-outcome", "unknown");
    assert_eq!(fixture.heads().len(), 2);
    fixture.post("/x", &[]).await.assert_status(200);
}
