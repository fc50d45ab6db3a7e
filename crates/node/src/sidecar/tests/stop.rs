//! Calls that an upstream does not run yet when the notice period of a stop is over.

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
use tokio::time::Instant;

use super::fixture::{Fixture, Reply, get};
use crate::wire::{CallHead, Outcome, Refusal, RefusalReason};

/// Time that the upstream works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Time before the notice ends.
const WAIT: Duration = Duration::from_millis(150);
/// Time left to a call that the stop may break off.
const LONG_LIMIT_MS: u64 = 10_000;
/// Time left to a call that the stop leaves its whole time.
const SHORT_LIMIT_MS: u64 = 2_000;
/// Time after the notice at which the stop gives up calls in flight.
const CALLS_TIME: Duration = Duration::from_secs(3);

/// Starts an upstream that counts the requests that it runs.
fn slow_upstream(ran: &Arc<AtomicU32>) -> SocketAddr {
    let ran = Arc::clone(ran);
    let server = HttpServer::new(move || {
        let ran = Arc::clone(&ran);
        let work = move || {
            ran.fetch_add(1, Ordering::SeqCst);
            async {
                actix_rt::time::sleep(WORK).await;
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

fn get_within(left_ms: u64) -> CallHead {
    CallHead { left_ms, ..get() }
}

/// A queued call was started after the notice whatever time the stop left it, and broken off.
#[actix_rt::test]
async fn a_stop_starts_no_queued_call_that_it_may_break_off() {
    let ran = Arc::default();
    let fixture = Fixture::with_settings(slow_upstream(&ran), "", 1).await;
    let running = fixture.call(get_within(SHORT_LIMIT_MS), b"");
    let queued = async {
        actix_rt::time::sleep(WAIT / 2).await;
        let reply = fixture.call(get_within(LONG_LIMIT_MS), b"").await;
        (reply, Instant::now())
    };
    let covered = async {
        actix_rt::time::sleep(WAIT / 2).await;
        fixture.call(get_within(SHORT_LIMIT_MS), b"").await
    };
    let stop = async {
        actix_rt::time::sleep(WAIT).await;
        let notice_ended = Instant::now();
        let gate = fixture.context.stop_gate();
        gate.close(notice_ended + CALLS_TIME);
        notice_ended
    };
    let (running, (queued, refused), covered, notice_ended) =
        tokio::join!(running, queued, covered, stop);
    assert_matches!(running, Reply::Complete { status: 200, .. });
    assert_matches!(
        queued,
        Reply::Refused(Refusal {
            outcome: Outcome::DidNotRun,
            reason: RefusalReason::Draining,
            ..
        })
    );
    assert!(refused < notice_ended + WORK / 2, "not refused at once");
    assert_matches!(covered, Reply::Complete { status: 200, .. });
    assert_eq!(ran.load(Ordering::SeqCst), 2);
}
