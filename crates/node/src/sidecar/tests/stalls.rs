//! Callers that keep a slot.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fixture::{Fixture, Reply, get, reply};
use crate::wire::CallHead;

/// Longer than a test, so that no call ends by its deadline.
const LEFT_MS: u64 = 120_000;
/// Size of an answer that does not fit into the windows between nodes.
const LARGE_BYTES: usize = 4 << 20;

fn patient(head: CallHead) -> CallHead {
    CallHead {
        left_ms: LEFT_MS,
        ..head
    }
}

/// Starts an upstream that answers a request to `/large` with a large body, and others with a small one once
/// they are whole.
async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) {
    let mut request = Vec::new();
    while stream.read_buf(&mut request).await.is_ok_and(|n| n > 0) {
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        if length.is_some_and(|length| length.parse() != Ok(body.len())) {
            continue;
        }
        let bytes = if head.starts_with("get /large") {
            LARGE_BYTES
        } else {
            5
        };
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
        if stream.write_all(&vec![b'b'; bytes]).await.is_err() {
            return;
        }
        request.clear();
    }
}

#[track_caller]
fn assert_answered(reply: &Reply) {
    let is_whole = matches!(reply, Reply::Complete { status: 200, body } if body == b"bbbbb");
    assert!(is_whole, "{reply:?}");
}

/// The slot stayed with a caller that took nothing of its answer, and others waited until their deadline.
#[actix_rt::test]
async fn an_answer_that_is_not_taken_gives_up_its_slot_to_a_waiting_call() {
    let fixture = Fixture::with_settings(upstream().await, "", 1).await;
    let large = CallHead {
        target: "/large".into(),
        ..patient(get())
    };
    let (_writer, mut unread) = fixture.open(large).await;
    assert_answered(&fixture.call(patient(get()), b"").await);
    let cut = reply(&mut unread).await;
    assert!(matches!(cut, Reply::Truncated { status: 200 }), "{cut:?}");
}
