//! Planned stops.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::{
    caller::{Answer, Connection},
    fleet::{Fleet, GRACE_S, wait_until},
};

/// Time in milliseconds that an upstream works on a request: longer than the time of a stop on
/// deployments with a shorter grace period, and within that of this one.
const LONG_WORK_MS: u64 = 6_500;
/// Time in milliseconds that an upstream works on a request that outlasts any stop.
const ENDLESS_WORK_MS: u64 = 14_000;
/// Calls after which a sidecar lets its upstream run several requests at once.
const WARM_UP_CALLS: usize = 50;
/// Callers that use a node while another one stops.
const BUSY_CALLERS: usize = 12;

/// Starts a request that runs for some time and waits until its upstream has begun.
async fn begin_call(fleet: &Fleet, vm: usize, work_ms: u64) -> JoinHandle<Option<Answer>> {
    begin_call_of(fleet, 0, vm, work_ms).await
}

/// Does the same for the service of the upstream on a VM.
async fn begin_call_of(
    fleet: &Fleet,
    upstream: usize,
    vm: usize,
    work_ms: u64,
) -> JoinHandle<Option<Answer>> {
    let id = format!("long-{vm}-{upstream}");
    let service = fleet.vms[upstream].service();
    let mut connection = Connection::open(fleet.vms[vm].callers()).await.unwrap();
    let path = format!("/{service}/w{work_ms}");
    let call = {
        let id = id.clone();
        actix_rt::spawn(async move { connection.post(&id, &path).await.ok() })
    };
    let upstream = &fleet.vms[upstream].upstream;
    wait_until("the request to run", || upstream.has_run(&id)).await;
    call
}

/// Returns the status of the answer to a call, if there is one.
async fn status_of(call: JoinHandle<Option<Answer>>) -> Option<u16> {
    let answer = call.await.unwrap();
    answer.map(|answer| answer.status)
}

fn whole_answer(vm: usize) -> Option<Answer> {
    Some(Answer {
        retry_after: None,
        status: 200,
        body: format!("long-{vm}-0"),
        is_last: true,
    })
}

/// A call that an upstream works on was cut 5.2 s after SIGTERM, of the 10 s that the platform gives.
#[actix_rt::test]
async fn a_stop_leaves_calls_the_time_that_the_platform_gives() {
    let mut fleet = Fleet::start(&["orders"]).await;
    let call = begin_call(&fleet, 0, LONG_WORK_MS).await;
    fleet.vms[0].signal(Signal::SIGTERM);
    assert_eq!(call.await.unwrap(), whole_answer(0));
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
}

/// A second SIGTERM ended the process immediately, with all calls in flight.
#[actix_rt::test]
async fn a_second_sigterm_cuts_no_call() {
    let mut fleet = Fleet::start(&["orders"]).await;
    let call = begin_call(&fleet, 0, 1_500).await;
    for _ in 0..3 {
        fleet.vms[0].signal(Signal::SIGTERM);
        actix_rt::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(call.await.unwrap(), whole_answer(0));
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
}

#[actix_rt::test]
async fn a_second_sigint_ends_the_process_immediately() {
    let mut fleet = Fleet::start(&["orders"]).await;
    let call = begin_call(&fleet, 0, LONG_WORK_MS).await;
    for signal in [Signal::SIGINT, Signal::SIGTERM, Signal::SIGINT] {
        fleet.vms[0].signal(signal);
        actix_rt::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(fleet.vms[0].wait().await.code(), Some(3));
    assert_eq!(call.await.unwrap(), None);
}

/// A call of a caller of the stopping node used up the time of the stop, and connections of other nodes
/// were closed without notice: their calls ended with an unknown outcome.
#[actix_rt::test]
async fn a_stop_that_uses_up_its_time_leaves_no_call_of_other_nodes_unknown() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    for _ in 0..WARM_UP_CALLS {
        fleet.vms[1].wait_until_served("orders").await;
    }
    let cut = begin_call(&fleet, 0, ENDLESS_WORK_MS).await;
    let is_over = Rc::new(Cell::new(false));
    let node = fleet.vms[1].callers();
    let callers = (0..BUSY_CALLERS).map(|number| use_node(node, number, Rc::clone(&is_over)));
    let callers = actix_rt::spawn(join_all(callers));
    let started = Instant::now();
    fleet.vms[0].signal(Signal::SIGTERM);
    fleet.vms[0].wait().await;
    let took = started.elapsed();
    is_over.set(true);
    let statuses: Vec<u16> = callers.await.unwrap().into_iter().flatten().collect();
    assert_eq!(
        status_of(cut).await,
        Some(502),
        "the call outlasts the stop"
    );
    assert!(took < Duration::from_secs(GRACE_S), "killed after {took:?}");
    assert!(statuses.contains(&200) && statuses.contains(&503));
    let unknown = statuses
        .iter()
        .filter(|status| !matches!(status, 200 | 503));
    assert_eq!(unknown.count(), 0, "calls with an unknown outcome");
}

/// Calls that were still queued at the end of a stop got an unknown outcome, although they had not run.
#[actix_rt::test]
async fn a_stop_refuses_calls_that_are_queued_until_its_end() {
    let mut fleet = Fleet::start(&["single", "other"]).await;
    let cut = begin_call(&fleet, 0, ENDLESS_WORK_MS).await;
    let node = fleet.vms[1].callers();
    let queued = (0..3).map(|number| async move {
        let mut connection = Connection::open(node).await.unwrap();
        let id = format!("queued-{number}");
        connection.post(&id, "/single/w1").await.unwrap().status
    });
    let queued = actix_rt::spawn(join_all(queued));
    fleet.vms[0].signal(Signal::SIGTERM);
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
    assert_eq!(queued.await.unwrap(), [503; 3]);
    assert_eq!(
        status_of(cut).await,
        Some(502),
        "the call outlasts the stop"
    );
}

/// Queued calls were started late in a stop and broken off with an upstream at work.
#[actix_rt::test]
async fn a_stop_starts_no_queued_call_that_it_may_break_off() {
    let mut fleet = Fleet::start(&["single", "other"]).await;
    let running = begin_call(&fleet, 0, 5_000).await;
    let queued = (0..4).map(|number| {
        let node = fleet.vms[number % 2].callers();
        async move {
            let mut connection = Connection::open(node).await.unwrap();
            let id = format!("queued-{number}");
            let answer = connection.post(&id, "/single/w5000").await.unwrap();
            (answer.status, Instant::now())
        }
    });
    let queued = actix_rt::spawn(join_all(queued));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let signalled = Instant::now();
    fleet.vms[0].signal(Signal::SIGTERM);
    for (status, ended) in queued.await.unwrap() {
        assert_eq!(status, 503);
        assert!(ended < signalled + Duration::from_millis(4_400));
    }
    assert_eq!(running.await.unwrap(), whole_answer(0));
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
    assert_eq!(fleet.vms[0].upstream.runs_of("queued-"), 0);
}

/// Callers of calls that outlast a stop had their connection closed without an answer.
#[actix_rt::test]
async fn a_stop_answers_calls_that_outlast_it() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    warm_up(&fleet).await;
    let of_own_upstream = begin_call_of(&fleet, 0, 0, ENDLESS_WORK_MS).await;
    let of_other_upstream = begin_call_of(&fleet, 1, 0, ENDLESS_WORK_MS).await;
    let of_other_node = begin_call_of(&fleet, 0, 1, ENDLESS_WORK_MS).await;
    fleet.vms[0].signal(Signal::SIGTERM);
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
    assert_eq!(status_of(of_own_upstream).await, Some(502));
    assert_eq!(status_of(of_other_upstream).await, Some(502));
    assert_eq!(status_of(of_other_node).await, Some(502));
    assert_eq!(fleet.count_log_lines("broken_by=connection-lost"), 0);
}

/// Sends short requests to the first upstream for as long as its slow start needs to allow two at once.
async fn warm_up(fleet: &Fleet) {
    let mut connection = Connection::open(fleet.vms[0].callers()).await.unwrap();
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        let answer = connection.post("warm", "/orders/w10").await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

/// Sends one request after the other until the end and returns the statuses.
async fn use_node(node: SocketAddr, number: usize, is_over: Rc<Cell<bool>>) -> Vec<u16> {
    let mut statuses = Vec::new();
    let mut connection = Connection::open(node).await.unwrap();
    while !is_over.get() {
        let id = format!("busy-{number}-{}", statuses.len());
        let answer = connection.post(&id, "/orders/w1").await.unwrap();
        statuses.push(answer.status);
        if answer.is_last {
            connection = Connection::open(node).await.unwrap();
        }
    }
    statuses
}
