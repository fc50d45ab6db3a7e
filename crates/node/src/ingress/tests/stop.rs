//! Calls that are not passed on yet when the notice period of a stop is over.

use std::collections::BTreeSet;

use tokio::time::{Instant, timeout};

use super::*;

/// Time limit of a caller, beyond the end of the stops of these tests.
const LONG_LIMIT: (&str, &str) = ("x-deadline-ms", "3500");
/// Time after the start of a stop at which it gives up calls in flight.
const CALLS_TIME: Duration = Duration::from_secs(2);
/// Time within which a call is refused once the notice is over.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time for which a call waits before the notice ends.
const WAIT: Duration = Duration::from_millis(200);

impl Fixture {
    /// Ends the notice of a stop that gives up calls after [`CALLS_TIME`].
    fn end_notice(&self) {
        self.context.view().set_phase(Phase::Stopping);
        self.context.stop_gate().close(Instant::now() + CALLS_TIME);
    }

    /// Returns the number of upstreams that got calls.
    fn upstreams_called(&self) -> usize {
        let heads = self.heads().into_iter().map(|head| head.upstream);
        heads.collect::<BTreeSet<_>>().len()
    }

    /// Opens a connection and sends a part of a request with a body of `length` bytes.
    async fn send_part(&self, length: usize, limit_ms: &str, part: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        let head = format!(
            "POST /x HTTP/1.1\r\nhost: a\r\nx-deadline-ms: {limit_ms}\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(part).await.unwrap();
        tokio::time::sleep(WAIT).await;
        stream
    }
}

async fn refusal_of(stream: &mut TcpStream) -> RawResponse {
    let head = timeout(REFUSAL_TIME, RawResponse::read_head(stream)).await;
    head.expect("not refused at once")
}

/// A call whose body came late was passed on although the stop could break it off.
#[actix_rt::test]
async fn a_stop_refuses_an_incomplete_request_at_the_end_of_the_notice() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let mut stream = fixture.send_part(4, LONG_LIMIT.1, b"b").await;
    fixture.end_notice();
    let head = refusal_of(&mut stream).await;
    head.assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    assert!(fixture.heads().is_empty());
}

#[actix_rt::test]
async fn a_stop_waits_for_a_body_whose_call_it_can_finish() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let mut stream = fixture.send_part(4, "1500", b"b").await;
    fixture.end_notice();
    tokio::time::sleep(WAIT).await;
    stream.write_all(b"ody").await.unwrap();
    let head = RawResponse::read_head(&mut stream).await;
    head.assert_status(200).assert_body(b"hello");
}

/// A whole request that meets the end of the notice is refused before any attempt.
#[actix_rt::test]
async fn a_stop_refuses_a_whole_request_without_an_attempt() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let gate = fixture.context.stop_gate();
    gate.close(Instant::now());
    let reply = fixture.post("/x", &[LONG_LIMIT]).await;
    reply
        .assert_status(503)
        .assert_header("x-reason", "not-ready")
        .assert_header("x-retry-after-ms", "500");
}

/// The start of a body that is larger than the part read for the fingerprint was passed on before the rest
/// came, so the call could no longer be refused as not run.
#[actix_rt::test]
async fn a_leaving_node_passes_no_part_of_a_small_body_on() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    fixture.context.view().set_phase(Phase::Leaving);
    let part = [b'b'; 20 << 10];
    let mut stream = fixture.send_part(30 << 10, LONG_LIMIT.1, &part).await;
    fixture.end_notice();
    let head = refusal_of(&mut stream).await;
    head.assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    assert!(fixture.heads().is_empty());
}

/// Whether an upstream has begun to run a part of a request is not known.
#[actix_rt::test]
async fn a_request_that_a_stop_breaks_off_in_part_has_an_unknown_outcome() {
    let fixture = Fixture::start(&TWO_UPSTREAMS[..1], |_| hello_sidecar()).await;
    let part = [b'b'; 20 << 10];
    let mut stream = fixture.send_part(30 << 10, LONG_LIMIT.1, &part).await;
    assert_eq!(fixture.heads().len(), 1);
    fixture.end_notice();
    let head = refusal_of(&mut stream).await;
    head.assert_status(502)
        .assert_header("x-outcome", "unknown");
}

/// A call was sent to another sidecar after a refusal, with less time left than it could take.
#[actix_rt::test]
async fn a_stop_makes_no_further_attempt_at_a_call_that_it_may_break_off() {
    let refuse_later = |call: FakeCall| {
        if call.head.method == "GET" {
            return answer(call, b"hello");
        }
        async move {
            tokio::time::sleep(2 * WAIT).await;
            refuse_with_sequence(call, Outcome::DidNotRun, RefusalReason::Overloaded, 7).await;
        }
        .boxed_local()
    };
    let fixture = Fixture::start(TWO_UPSTREAMS, move |_| FakeSidecar::new(refuse_later)).await;
    // Both connections are open, so an attempt is sent at once.
    while fixture.upstreams_called() < TWO_UPSTREAMS.len() {
        fixture.get("/x").await.assert_status(200);
    }
    let warm_up_calls = fixture.heads().len();
    let call = fixture.post("/x", &[LONG_LIMIT]);
    let stop = async {
        tokio::time::sleep(WAIT).await;
        fixture.end_notice();
    };
    let (reply, ()) = tokio::join!(call, stop);
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run")
        .assert_header("x-reason", "overloaded");
    assert_eq!(fixture.heads().len(), warm_up_calls + 1);
}

/// A call with a key waited for the connection to the owner of the key and was sent when the time of the stop
/// was almost over.
#[actix_rt::test]
async fn a_stop_refuses_a_call_that_waits_for_a_connection() {
    let fixture = Fixture::start_with_unreachable(&TWO_UPSTREAMS[..1], |_| None).await;
    let _silent = std::net::TcpListener::bind(fixture.address("a1")).unwrap();
    let call = async {
        let reply = fixture.post("/x", &[LONG_LIMIT, KEY_HEADER]).await;
        (reply, Instant::now())
    };
    let stop = async {
        tokio::time::sleep(WAIT).await;
        fixture.end_notice();
        Instant::now()
    };
    let ((reply, ended), notice_ended) = tokio::join!(call, stop);
    reply
        .assert_status(503)
        .assert_header("x-outcome", "did-not-run");
    assert!(ended < notice_ended + REFUSAL_TIME);
}
