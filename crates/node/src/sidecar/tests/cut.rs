//! Upstreams that close the connection in the middle of an answer.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fixture::{Fixture, Reply, get, post};
use crate::wire::{CallHead, Outcome, Refusal};

/// Settings of a node on the users' platform that keeps no record of failures between the calls.
const SETTINGS: &str = "protocol: store\nplatform: [127.0.0.1:1]\n\
     policies:\n  ramp: false\n  adaptive: false\n  poison: false\n";

const SIZED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nResponse-Signature: s\r\n\
     Content-Length: 12\r\n\r\nhello, world";
const EMPTY: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 0\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n\
     5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\n\r\n";
const WITH_TRAILER: &str = "HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\
     Trailer: x-sum\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 9\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Upstream that sends a part of an answer on each connection and closes it.
struct CuttingUpstream {
    answer: Cell<&'static str>,
    cut: Cell<usize>,
    /// Whether the connection is reset.
    resets: Cell<bool>,
}

impl CuttingUpstream {
    async fn start() -> (Rc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Rc::new(Self {
            answer: Cell::new(SIZED),
            cut: Cell::new(0),
            resets: Cell::new(false),
        });
        let served = Rc::clone(&upstream);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(Rc::clone(&served).send(stream));
            }
        });
        (upstream, address)
    }

    async fn send(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = [0; 4096];
        if stream.read(&mut buffer).await.is_ok_and(|read| read == 0) {
            return;
        }
        let part = &self.answer.get().as_bytes()[..self.cut.get()];
        let _ = stream.write_all(part).await;
        if self.resets.get() {
            let _ = stream.set_zero_linger();
        }
    }
}

fn is_success(reply: &Reply) -> bool {
    matches!(reply, Reply::Complete { .. })
}

/// Clients got a success with an empty or short body, framed as whole.
#[actix_rt::test]
async fn an_answer_that_is_cut_at_any_byte_is_no_success() {
    let (upstream, address) = CuttingUpstream::start().await;
    let fixture = Fixture::with_settings(address, SETTINGS, 4).await;
    for answer in [SIZED, EMPTY, CHUNKED, WITH_TRAILER] {
        upstream.answer.set(answer);
        for resets in [false, true] {
            upstream.resets.set(resets);
            for cut in 0..answer.len() {
                upstream.cut.set(cut);
                for head in [get(), post(Some(4))] {
                    let reply = fixture.call(head, b"body").await;
                    let sent = &answer[..cut];
                    assert!(!is_success(&reply), "{reply:?} after {sent:?}");
                }
            }
        }
        upstream.resets.set(false);
        upstream.cut.set(answer.len());
        let reply = fixture.call(get(), b"").await;
        assert!(is_success(&reply), "{reply:?} to a whole answer");
    }
}

/// A rejection is proof that a request did not run; the start of one is none.
#[actix_rt::test]
async fn a_rejection_that_is_cut_at_any_byte_proves_nothing() {
    let (upstream, address) = CuttingUpstream::start().await;
    let fixture = Fixture::with_settings(address, SETTINGS, 4).await;
    upstream.answer.set(REJECTED);
    for cut in 0..REJECTED.len() {
        upstream.cut.set(cut);
        let call = CallHead {
            left_ms: Duration::from_secs(5).as_millis() as u64,
            ..post(Some(4))
        };
        let reply = fixture.call(call, b"body").await;
        let unknown = Outcome::Unknown;
        let is_unknown =
            matches!(&reply, Reply::Refused(Refusal { outcome, .. }) if *outcome == unknown);
        assert!(is_unknown, "{reply:?} after {:?}", &REJECTED[..cut]);
    }
}
