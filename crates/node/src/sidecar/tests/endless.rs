//! Upstreams that send bytes without end.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use assert_matches::assert_matches;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
};

use super::fixture::{Fixture, Reply, get};
use crate::wire::{CallHead, Outcome, Refusal};

/// Time that the callers of these tests allow.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time by which a call has ended: its own time, a second for answers that are under way, and
/// headroom for a busy machine.
const MAX_CALL_TIME: Duration = Duration::from_secs(4);
/// Memory that a process may gain from a few dozen endless answers: a small part of the 88 MB of
/// the weakest VM.
const MAX_GROWTH_BYTES: u64 = 24 << 20;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "1000\r\n";

/// Start of an answer and what follows it until the connection is closed.
#[derive(Clone, Copy)]
struct Script {
    start: &'static str,
    /// Length of the filler that follows each prefix.
    filler: usize,
    prefix: &'static str,
    suffix: &'static str,
    /// Pause after each repetition.
    pause: Duration,
}

impl Script {
    async fn serve(self) -> Fixture {
        self.serve_with_signal(Rc::default()).await
    }

    /// Serves the upstream and notifies once for each connection that it has sent bytes after the start.
    async fn serve_with_signal(self, sent_more: Rc<Notify>) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(self.send(stream, Rc::clone(&sent_more)));
            }
        });
        Fixture::with_settings(address, "policies:\n  ramp: false\n  adaptive: false\n", 48).await
    }

    async fn send(self, mut stream: TcpStream, sent_more: Rc<Notify>) {
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).await;
        let mut part = self.prefix.as_bytes().to_vec();
        part.resize(part.len() + self.filler, b'a');
        part.extend_from_slice(self.suffix.as_bytes());
        let mut sent = stream.write_all(self.start.as_bytes()).await;
        let mut is_first = true;
        while sent.is_ok() {
            sleep(self.pause).await;
            sent = stream.write_all(&part).await;
            if std::mem::take(&mut is_first) {
                sent_more.notify_one();
            }
        }
    }
}

fn short_call() -> CallHead {
    let left_ms = u64::try_from(CALL_TIMEOUT.as_millis()).unwrap();
    CallHead { left_ms, ..get() }
}

/// Calls the upstream several times; each call must end in time without a complete answer, which
/// also shows that the slots of earlier ones were released.
async fn assert_ends(script: Script, is_expected: impl Fn(&Reply) -> bool) {
    let fixture = script.serve().await;
    for number in 1..=2 {
        let started = Instant::now();
        let reply = fixture.call(short_call(), b"").await;
        let took = started.elapsed();
        assert!(is_expected(&reply), "call {number}: {}", outline(&reply));
        assert!(took < MAX_CALL_TIME, "took {took:?}");
    }
}

/// Describes a reply without its body.
fn outline(reply: &Reply) -> String {
    match reply {
        Reply::Complete { status, body } => format!("complete {status}, {} bytes", body.len()),
        other => format!("{other:?}"),
    }
}

fn is_unknown(reply: &Reply) -> bool {
    let unknown = Outcome::Unknown;
    matches!(reply, Reply::Refused(Refusal { outcome, .. }) if *outcome == unknown)
}

fn is_truncated(reply: &Reply) -> bool {
    matches!(reply, Reply::Truncated { status: 200 })
}

const FAST: Script = Script {
    start: "HTTP/1.1 200 OK\r\n",
    filler: 4096,
    prefix: "",
    suffix: "",
    pause: Duration::ZERO,
};

const SLOW: Script = Script {
    filler: 1,
    pause: Duration::from_millis(50),
    ..FAST
};

#[actix_rt::test]
async fn a_head_without_end_is_no_answer() {
    assert_ends(FAST, is_unknown).await;
    assert_ends(SLOW, is_unknown).await;
}

#[actix_rt::test]
async fn headers_without_end_are_no_answer() {
    let lines = Script {
        prefix: "x-a: ",
        filler: 64,
        suffix: "\r\n",
        ..FAST
    };
    assert_ends(lines, is_unknown).await;
}

#[actix_rt::test]
async fn a_chunked_body_without_end_is_truncated() {
    let fast = Script {
        start: CHUNKED,
        prefix: CHUNK,
        suffix: "\r\n",
        ..FAST
    };
    assert_ends(fast, is_truncated).await;
    let slow = Script {
        prefix: "1\r\n",
        filler: 1,
        pause: Duration::from_millis(50),
        ..fast
    };
    assert_ends(slow, is_truncated).await;
}

#[actix_rt::test]
async fn chunk_extensions_and_trailers_without_end_are_truncated() {
    for start in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\nx-a: ",
    ] {
        assert_ends(Script { start, ..FAST }, is_truncated).await;
        assert_ends(Script { start, ..SLOW }, is_truncated).await;
    }
}

const HELLO: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

fn is_hello(reply: &Reply) -> bool {
    matches!(reply, Reply::Complete { body, .. } if body == b"hello")
}

#[actix_rt::test]
async fn bytes_past_the_length_belong_to_no_answer() {
    // The next request may be on its way when the first of these bytes arrives. It is then unknown
    // whether it ran.
    let is_hello_or_unknown = |reply: &Reply| is_hello(reply) || is_unknown(reply);
    for pace in [FAST, SLOW] {
        let script = Script {
            start: HELLO,
            ..pace
        };
        assert_ends(script, is_hello_or_unknown).await;
    }
}

/// A call was refused because of bytes that had followed the answer to the call before it.
#[actix_rt::test]
async fn a_connection_with_bytes_past_the_length_is_not_used_again() {
    for pace in [FAST, SLOW] {
        let script = Script {
            start: HELLO,
            ..pace
        };
        let sent_more = Rc::new(Notify::new());
        let fixture = script.serve_with_signal(Rc::clone(&sent_more)).await;
        for number in 1..=4 {
            let reply = fixture.call(short_call(), b"").await;
            assert!(is_hello(&reply), "call {number}: {}", outline(&reply));
            sent_more.notified().await;
        }
    }
}

/// A caller that does not read must not make the process hold what the upstream sends.
#[actix_rt::test]
async fn endless_answers_to_slow_readers_take_bounded_memory() {
    let script = Script {
        start: CHUNKED,
        prefix: CHUNK,
        suffix: "\r\n",
        ..FAST
    };
    let fixture = script.serve().await;
    let before = resident_bytes();
    let mut calls = Vec::new();
    for _ in 0..36 {
        calls.push(fixture.open(short_call()).await);
    }
    sleep(CALL_TIMEOUT).await;
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes more");
    drop(calls);
    let reply = fixture.call(short_call(), b"").await;
    assert_matches!(reply, Reply::Truncated { .. });
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4096
}
