//! Bodies of calls that wait for their upstream.

use std::time::Duration;

use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use super::fixture::{Fixture, Reply, post, reply};
use crate::wire::{Outcome, Refusal, RefusalReason};

/// The bodies of waiting calls had no common bound, and a refusal for want of memory must be one of a call
/// that did not run.
#[actix_rt::test]
async fn a_waiting_call_is_refused_as_not_run_if_there_is_no_memory_for_its_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let fixture = Fixture::with_settings(address, "", 1).await;
    let running = fixture.open(post(Some(0))).await;
    let _silent = listener.accept().await.unwrap();
    let mut others = fixture.context.body_budget().reserve();
    others.set(usize::MAX >> 1);
    let (mut small, mut small_answer) = fixture.open(post(Some(60_000))).await;
    small.write_bytes(vec![b'b'; 4_000].into()).await.unwrap();
    let waits = timeout(Duration::from_millis(200), reply(&mut small_answer)).await;
    assert!(waits.is_err(), "{waits:?}");
    let (mut large, mut large_answer) = fixture.open(post(Some(60_000))).await;
    large.write_bytes(vec![b'b'; 60_000].into()).await.unwrap();
    let refused = reply(&mut large_answer).await;
    assert!(
        matches!(
            refused,
            Reply::Refused(Refusal {
                outcome: Outcome::DidNotRun,
                reason: RefusalReason::NoMemory,
                after_ms: 1_000,
                ..
            })
        ),
        "{refused:?}"
    );
    drop((small, small_answer, running));
    drop(others);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fixture.context.body_budget().used(), 0);
}
