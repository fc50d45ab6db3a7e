//! Reuse of connections to upstreams that state how long they keep them.

use std::{cell::Cell, rc::Rc, time::Duration};

use assert_matches::assert_matches;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::fixture::{Fixture, Reply, get};

/// Starts a sidecar whose upstream adds a header to its answers, and counts its connections.
async fn start(header: &'static str) -> (Fixture, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Rc::new(Cell::new(0));
    let counted = Rc::clone(&connections);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            counted.set(counted.get() + 1);
            actix_rt::spawn(serve(stream, header));
        }
    });
    (Fixture::start(address).await, connections)
}

async fn serve(mut stream: TcpStream, header: &'static str) {
    let answer = format!("HTTP/1.1 200 OK\r\n{header}\r\ncontent-length: 5\r\n\r\nhello");
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {
        if bytes.ends_with(b"\r\n\r\n") {
            bytes.clear();
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }
}

/// A request was sent on a connection that its upstream was about to close, so its outcome was unknown.
#[actix_rt::test]
async fn a_connection_is_not_reused_at_the_end_of_the_time_that_its_upstream_states() {
    let pause = Duration::from_millis(700);
    for (header, expected) in [
        ("keep-alive: timeout=1", 2),
        ("keep-alive: max=9, timeout=1", 2),
        ("keep-alive: timeout=30", 1),
        ("keep-alive: timeout=soon", 1),
        ("x-other: 1", 1),
    ] {
        let (fixture, connections) = start(header).await;
        for _ in 0..3 {
            let reply = fixture.call(get(), b"").await;
            assert_matches!(reply, Reply::Complete { status: 200, .. });
        }
        assert_eq!(connections.get(), 1, "{header}");
        sleep(pause).await;
        let reply = fixture.call(get(), b"").await;
        assert_matches!(reply, Reply::Complete { status: 200, .. });
        assert_eq!(connections.get(), expected, "{header}");
    }
}
