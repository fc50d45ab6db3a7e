//! Connections of requests that are rejected before any attempt.

use tokio::time::timeout;

use super::*;

/// Time within which a request gets an answer or its connection ends, by the users' rules.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Sends a request with a small body, reads its rejection and sends another request.
async fn use_after_rejection(fixture: &Fixture, target: &str, status: u16) {
    let request = format!("POST {target} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody");
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let head = RawResponse::read_head(&mut stream).await;
    head.assert_status(status);
    let _ = stream.write_all(request.as_bytes()).await;
    let mut byte = [0];
    let next = timeout(LOSS_SLACK, stream.read(&mut byte)).await;
    assert!(next.is_ok(), "neither answered nor closed");
}

/// The next request on the connection of a rejected one was read and got neither an answer nor a close for a
/// second.
#[actix_rt::test]
async fn no_request_waits_behind_a_rejection() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    use_after_rejection(&fixture, "/nowhere", 404).await;
    fixture.context.view().set_phase(Phase::Stopping);
    use_after_rejection(&fixture, "/x", 503).await;
}

/// A caller that is slow to send its body learns at once that the request is rejected.
#[actix_rt::test]
async fn a_rejection_does_not_wait_for_the_body() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    fixture.context.view().set_phase(Phase::Stopping);
    let mut stream = TcpStream::connect(fixture.callers).await.unwrap();
    let request = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nb";
    stream.write_all(request.as_bytes()).await.unwrap();
    let head = timeout(LOSS_SLACK, RawResponse::read_head(&mut stream)).await;
    head.unwrap().assert_status(503);
}

/// The same for a request that is accepted in the moment in which the notice of a stop ends.
#[actix_rt::test]
async fn no_request_waits_behind_a_refusal_by_a_stop() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let gate = fixture.context.stop_gate();
    gate.close(tokio::time::Instant::now());
    use_after_rejection(&fixture, "/x", 503).await;
}
