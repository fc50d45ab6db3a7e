//! Connections that callers open and use around the end of the notice of a planned stop.

use std::{
    cell::Cell,
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::{caller::Connection, fleet::Fleet};

/// Callers that use a connection until it is closed.
const CALLERS: usize = 60;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// Time within which a request gets an answer or its connection ends: `loss_slack_s` of the users' rules.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Path of a request that keeps the node from ending soon after the notice.
const LONG_PATH: &str = "/other/w5000";

/// Request whose connection ended without an answer.
#[derive(Debug)]
#[allow(dead_code, reason = "shown by a failed assertion")]
struct Unanswered {
    id: String,
    /// Time after the signal.
    sent: Duration,
    open: Duration,
    error: ErrorKind,
}

/// A request that followed a refusal on its connection was read and got neither an answer nor a close for up
/// to a second.
#[actix_rt::test]
async fn a_stop_leaves_no_request_waiting_behind_a_refusal() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let node = fleet.vms[0].callers();
    let mut connection = Connection::open(node).await.unwrap();
    let long = actix_rt::spawn(async move { connection.post("long", LONG_PATH).await });
    let is_over = Rc::new(Cell::new(false));
    let signalled = Instant::now();
    fleet.vms[0].signal(Signal::SIGTERM);
    let callers = (0..CALLERS).map(|number| {
        let is_over = Rc::clone(&is_over);
        use_connections(node, number, signalled, is_over)
    });
    let callers = actix_rt::spawn(join_all(callers));
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
    is_over.set(true);
    assert_eq!(long.await.unwrap().unwrap().status, 200);
    let unanswered: Vec<_> = callers.await.unwrap().into_iter().flatten().collect();
    let kept = unanswered.iter().filter(|it| it.open > LOSS_SLACK);
    let kept: Vec<_> = kept.collect();
    assert!(kept.is_empty(), "{kept:?}");
}

/// Sends requests on one connection after the other, each until it is closed, and returns the requests that
/// got no answer.
async fn use_connections(
    node: SocketAddr,
    number: usize,
    signalled: Instant,
    is_over: Rc<Cell<bool>>,
) -> Vec<Unanswered> {
    let mut unanswered = Vec::new();
    let mut requests = 0;
    while !is_over.get() {
        sleep(PAUSE).await;
        let Ok(mut connection) = Connection::open(node).await else {
            continue;
        };
        loop {
            requests += 1;
            let sent = Instant::now();
            let id = format!("late-{number}-{requests}");
            let Err(err) = connection.post(&id, "/other/w1").await else {
                sleep(PAUSE).await;
                continue;
            };
            unanswered.push(Unanswered {
                id,
                sent: sent - signalled,
                open: sent.elapsed(),
                error: err.kind(),
            });
            break;
        }
    }
    unanswered
}
