//! Tests that upstreams are not overloaded, and that requests that crash them are refused.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use actix_web::{App, HttpServer, web};
use assert_matches::assert_matches;
use futures_util::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use super::fixture::{Fixture, Reply, get};
use crate::wire::{CallHead, Outcome, Refusal, RefusalReason};

/// Starts an upstream that answers after 20 ms and records the peak of concurrent requests.
fn counting_upstream(peak: Arc<AtomicU32>) -> SocketAddr {
    let active = Arc::new(AtomicU32::new(0));
    let server = HttpServer::new(move || {
        let active = Arc::clone(&active);
        let peak = Arc::clone(&peak);
        let work = move || {
            let active = Arc::clone(&active);
            let peak = Arc::clone(&peak);
            async move {
                let now = active.fetch_add(1, Ordering::SeqCst) + 1;
                peak.fetch_max(now, Ordering::SeqCst);
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                active.fetch_sub(1, Ordering::SeqCst);
                "done"
            }
        };
        App::new().route("/", web::get().to(work))
    });
    let server = server.workers(1).bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Starts an upstream that crashes on `/crash` and listens again after 150 ms.
async fn crashing_upstream(crashes: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut listener = Some(listener);
        loop {
            let open = match listener.take() {
                Some(open) => open,
                None => TcpListener::bind(address).await.unwrap(),
            };
            run_until_crash(open).await;
            crashes.fetch_add(1, Ordering::SeqCst);
            actix_rt::time::sleep(Duration::from_millis(150)).await;
        }
    });
    address
}

async fn run_until_crash(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            if buffer[..read].starts_with(b"GET /crash") {
                return;
            }
            answer(&mut stream).await;
        }
    }
}

async fn answer(stream: &mut TcpStream) {
    let _ = stream
        .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok")
        .await;
    let _ = stream.shutdown().await;
}

#[actix_rt::test]
async fn a_cold_upstream_gets_one_request_at_a_time() {
    let peak = Arc::new(AtomicU32::new(0));
    let fixture = Fixture::start(counting_upstream(Arc::clone(&peak))).await;
    let replies = join_all((0..4).map(|_| fixture.call(get(), b""))).await;
    for reply in replies {
        assert_matches!(reply, Reply::Complete { status: 200, .. });
    }
    assert_eq!(peak.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn a_warm_upstream_gets_at_most_its_slots() {
    let peak = Arc::new(AtomicU32::new(0));
    let address = counting_upstream(Arc::clone(&peak));
    let fixture = Fixture::with_settings(address, "policies: {ramp: false}", 3).await;
    let replies = join_all((0..30).map(|_| fixture.call(get(), b""))).await;
    let good = replies
        .iter()
        .filter(|reply| matches!(reply, Reply::Complete { .. }));
    assert!(good.count() >= 6);
    assert_eq!(peak.load(Ordering::SeqCst), 3);
}

#[actix_rt::test]
async fn a_request_that_crashes_upstreams_is_refused_after_two_crashes() {
    let crashes = Arc::new(AtomicU32::new(0));
    let address = crashing_upstream(Arc::clone(&crashes)).await;
    let fixture = Fixture::start(address).await;
    let crash = CallHead {
        target: "/crash".into(),
        fingerprint: 13,
        ..get()
    };
    let mut refusals = Vec::new();
    for _ in 0..4 {
        let reply = fixture.call(crash.clone(), b"").await;
        assert_matches!(&reply, Reply::Refused(_));
        if let Reply::Refused(Refusal {
            reason, outcome, ..
        }) = reply
        {
            refusals.push((reason, outcome));
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(crashes.load(Ordering::SeqCst), 2, "{refusals:?}");
    let poison = (RefusalReason::Poison, Outcome::DidNotRun);
    assert_eq!(refusals[2..], [poison, poison]);
    assert_matches!(
        fixture.call(get(), b"").await,
        Reply::Complete { status: 200, .. }
    );
}
