//! Callers that keep a slot: with an answer that they don't take, or a body that they don't finish.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fixture::{Fixture, Reply, get, post, reply};
use crate::wire::{CallHead, Outcome, Refusal};

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

/// The slot stayed with a caller that did not finish its body.
#[actix_rt::test]
async fn a_body_that_stalls_gives_up_its_slot_to_a_waiting_call() {
    let fixture = Fixture::with_settings(upstream().await, "", 1).await;
    let (mut writer, mut unfinished) = fixture.open(patient(post(Some(40_001)))).await;
    writer.write_bytes(vec![b'b'; 40_000].into()).await.unwrap();
    assert_answered(&fixture.call(patient(get()), b"").await);
    let refused = reply(&mut unfinished).await;
    let is_unknown = matches!(
        refused,
        Reply::Refused(Refusal {
            outcome: Outcome::Unknown,
            ..
        })
    );
    assert!(is_unknown, "{refused:?}");
}

/// Calls whose bodies were not whole took slots that others could have used, one after the other.
#[actix_rt::test]
async fn a_call_without_its_whole_body_leaves_the_slot_to_others() {
    let fixture = Fixture::with_settings(upstream().await, "", 1).await;
    let large = CallHead {
        target: "/large".into(),
        ..patient(get())
    };
    let (_writer, mut running) = fixture.open(large).await;
    let (mut writer, mut unfinished) = fixture.open(patient(post(Some(5)))).await;
    writer
        .write_bytes(Bytes::from_static(b"bbbb"))
        .await
        .unwrap();
    let (mut whole_writer, mut whole) = fixture.open(patient(post(Some(5)))).await;
    whole_writer
        .write_bytes(Bytes::from_static(b"bbbbb"))
        .await
        .unwrap();
    whole_writer.finish().unwrap();
    let large = reply(&mut running).await;
    assert!(matches!(large, Reply::Complete { .. }), "{large:?}");
    assert_answered(&reply(&mut whole).await);
    writer.write_bytes(Bytes::from_static(b"b")).await.unwrap();
    writer.finish().unwrap();
    assert_answered(&reply(&mut unfinished).await);
}
