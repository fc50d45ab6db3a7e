//! Upstreams that write bytes on a kept connection that belong to no request, where the answer to the
//! next one is expected.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use assert_matches::assert_matches;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fixture::{Fixture, Reply, get, post};
use crate::wire::{CallHead, Outcome, Refusal, RefusalReason};

/// Settings of a node on the users' platform.
const STORE: &str = "protocol: store\nplatform: [127.0.0.1:1]\npolicies:\n  ramp: false\n";
/// Settings of a node that speaks the product's own protocol.
const NOTES: &str = "policies:\n  ramp: false\n";

/// Upstream that rejects the first request of each connection, and writes other bytes before it answers
/// later ones.
#[derive(Clone, Copy)]
struct Script {
    /// Answer to the first request of a connection; `ID` stands for its ID.
    first: &'static str,
    /// Bytes in front of the answers to further requests.
    stray: &'static str,
    /// Header with the ID of a request.
    id_header: &'static str,
}

/// IDs of the requests that an upstream ran, with the connection on which they came.
type Runs = Rc<RefCell<Vec<(usize, String)>>>;

impl Script {
    async fn serve(self, settings: &str) -> (Fixture, Runs) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let runs = Runs::default();
        let kept = Rc::clone(&runs);
        actix_rt::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                actix_rt::spawn(self.answer(stream, connection, Rc::clone(&kept)));
            }
        });
        (Fixture::with_settings(address, settings, 4).await, runs)
    }

    async fn answer(self, mut stream: TcpStream, connection: usize, runs: Runs) {
        for number in 0.. {
            let Some(id) = self.read_request(&mut stream).await else {
                return;
            };
            let mut answer = self.first.replace("ID", &id);
            if number > 0 {
                let own = "HTTP/1.1 200 OK\r\nID_HEADER: ID\r\ncontent-length: 4\r\n\r\nmine";
                let own = own.replace("ID_HEADER", self.id_header).replace("ID", &id);
                answer = format!("{}{own}", self.stray);
                runs.borrow_mut().push((connection, id));
            }
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Reads a request, whose body has four bytes if it has one, and returns its ID.
    async fn read_request(self, stream: &mut TcpStream) -> Option<String> {
        let mut bytes = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
            if let Some(end) = text.find("\r\n\r\n") {
                let body = if text.starts_with("post") { 4 } else { 0 };
                if bytes.len() >= end + 4 + body {
                    let prefix = format!("{}: ", self.id_header);
                    return text
                        .lines()
                        .find_map(|line| line.strip_prefix(&prefix).map(String::from));
                }
            }
            if stream.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        }
    }
}

const REJECTED: &str = "HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";
const SHED: &str = "HTTP/1.1 503 Busy\r\nx-shed: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Other\r\ninstance-id: i-9\r\ncontent-length: 0\r\n\r\n";
const SUCCESS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nforeign";
const OWN_EMPTY: &str = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncontent-length: 0\r\n\r\n";

fn call(id: &str) -> CallHead {
    CallHead {
        call: id.into(),
        ..post(Some(4))
    }
}

fn has_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::Refused(Refusal { outcome, .. }) if *outcome == Outcome::DidNotRun)
}

/// A rejection that carries no ID can be written once more at any time. The second copy was taken for
/// the rejection of the next request, which ran.
#[actix_rt::test]
async fn a_second_copy_of_a_rejection_refuses_no_other_call() {
    for (settings, id_header, rejection) in [
        (STORE, "request-id", REJECTED),
        (STORE, "request-id", MISDIRECTED),
        (NOTES, "x-call-id", SHED),
    ] {
        let script = Script {
            first: rejection,
            stray: rejection,
            id_header,
        };
        let (fixture, runs) = script.serve(settings).await;
        for number in 0..4 {
            let id = format!("call-{number}");
            let reply = fixture.call(call(&id), b"body").await;
            let has_run = runs.borrow().iter().any(|(_, ran)| *ran == id);
            assert!(has_not_run(&reply), "{rejection:?}: {reply:?}");
            assert!(
                !has_run,
                "{id} ran and was refused as not run, {rejection:?}"
            );
        }
    }
}

/// An answer without the ID of its request belongs to no request where upstreams echo IDs.
#[actix_rt::test]
async fn a_success_without_an_id_is_no_answer_where_upstreams_echo_ids() {
    let script = Script {
        first: OWN_EMPTY,
        stray: SUCCESS,
        id_header: "request-id",
    };
    let (fixture, _) = script.serve(STORE).await;
    let first = fixture.call(get(), b"").await;
    assert_matches!(first, Reply::Complete { status: 200, .. });
    let second = fixture.call(call("second"), b"body").await;
    assert_matches!(
        second,
        Reply::Refused(Refusal {
            outcome: Outcome::Unknown,
            reason: RefusalReason::BadAnswer,
            ..
        })
    );
    let third = fixture.call(call("third"), b"body").await;
    assert_matches!(third, Reply::Complete { status: 200, .. });
}
