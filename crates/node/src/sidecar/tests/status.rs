//! Answers whose status is not three digits from 100 on.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use wagtaillever_coordination::Service;

use super::{
    fixture::{Fixture, Reply, get},
    listed::ListedFixture,
};
use crate::wire::{Outcome, Refusal, RefusalReason};

const INVALID: [&str; 6] = ["000", "099", "1000", "20", "abc", ""];

/// Upstream whose answers have the given statuses in turn, the last one for good; it keeps connections.
struct Upstream {
    connections: Rc<Cell<usize>>,
    answers: Rc<Cell<usize>>,
}

impl Upstream {
    async fn start(
        statuses: Vec<&'static str>,
        header: &'static str,
    ) -> (Self, std::net::SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            connections: Rc::default(),
            answers: Rc::default(),
        };
        let connections = Rc::clone(&upstream.connections);
        let answers = Rc::clone(&upstream.answers);
        let statuses = Rc::new(statuses);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let served = serve(stream, Rc::clone(&statuses), Rc::clone(&answers), header);
                actix_rt::spawn(served);
            }
        });
        (upstream, address)
    }
}

async fn serve(
    mut stream: TcpStream,
    statuses: Rc<Vec<&'static str>>,
    answers: Rc<Cell<usize>>,
    header: &'static str,
) {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await.is_ok_and(|read| read > 0) {
        if !bytes.ends_with(b"\r\n\r\n") {
            continue;
        }
        bytes.clear();
        let status = statuses[answers.get().min(statuses.len() - 1)];
        answers.set(answers.get() + 1);
        let answer = format!("HTTP/1.1 {status} OK\r\n{header}content-length: 5\r\n\r\nhello");
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

fn is_unknown(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Refused(Refusal {
            outcome: Outcome::Unknown,
            reason: RefusalReason::BadAnswer,
            ..
        })
    )
}

/// An answer with an invalid status proves nothing, on a new connection and on a reused one, and what
/// follows it on its connection belongs to no call.
#[actix_rt::test]
async fn an_invalid_status_is_no_answer_and_ends_its_connection() {
    for status in INVALID {
        let (upstream, address) = Upstream::start(vec!["200", status, "200"], "").await;
        let fixture = Fixture::start(address).await;
        let first = fixture.call(get(), b"").await;
        assert!(
            matches!(first, Reply::Complete { status: 200, .. }),
            "{first:?}"
        );
        let invalid = fixture.call(get(), b"").await;
        assert!(is_unknown(&invalid), "{status:?}: {invalid:?}");
        assert_eq!(upstream.connections.get(), 1, "{status:?}");
        let next = fixture.call(get(), b"").await;
        assert!(
            matches!(next, Reply::Complete { status: 200, .. }),
            "{status:?}: {next:?}"
        );
        assert_eq!(upstream.connections.get(), 2, "{status:?}");
    }
}

/// A health check whose answer has an invalid or an interim status states nothing about its upstream.
#[actix_rt::test]
async fn a_health_check_with_an_invalid_status_states_nothing() {
    for status in INVALID.into_iter().chain(["100", "199"]) {
        let header = "cold-ms: 0\r\nserver-leaving: 1\r\n";
        let (upstream, address) = Upstream::start(vec![status], header).await;
        let service = Service {
            health: Some("/health".into()),
            cold_per_second: Some(1),
            cold_ms: 60_000,
            ..Service::with_name("s".into())
        };
        let listed = ListedFixture::for_address(address, service).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert!(upstream.answers.get() > 0, "{status:?}: no health check");
        let reply = listed.fixture.call(get(), b"").await;
        let is_refused_for = |reason| matches!(&reply, Reply::Refused(it) if it.reason == reason);
        assert!(
            !is_refused_for(RefusalReason::Draining),
            "{status:?}: {reply:?}"
        );
    }
}
