//! Calls whose body becomes whole late in a planned stop.

use std::time::{Duration, Instant};

use actix_rt::{
    task::JoinHandle,
    time::{sleep_until, timeout},
};
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::{
    caller::{Answer, Connection},
    fleet::{Fleet, GRACE_S},
};

/// Time after the signal at which callers send the head and the first byte of the body.
const HEAD_SENT: Duration = Duration::from_millis(500);
/// Time after the signal by which a call that the stop does not pass on is refused: the notice and
/// headroom for a busy machine.
const REFUSED_BY: Duration = Duration::from_millis(4_500);
/// Length of a body that is not buffered whole before it is sent.
const LARGE_BODY_BYTES: usize = 100 << 10;

/// Call whose body becomes whole some time after the signal.
struct LateCall {
    id: String,
    deadline_ms: u64,
    /// Time after the signal at which the rest of the body follows; it never does if `None`.
    rest_sent: Option<Duration>,
    work_ms: u64,
    body_bytes: usize,
    is_chunked: bool,
}

/// What the caller of a [`LateCall`] saw.
#[derive(Debug)]
struct LateAnswer {
    id: String,
    answer: Option<Answer>,
    /// Time after the signal.
    ended: Duration,
}

impl LateCall {
    fn new(id: &str, deadline_ms: u64, rest_sent: Option<u64>) -> Self {
        Self {
            id: id.into(),
            deadline_ms,
            rest_sent: rest_sent.map(Duration::from_millis),
            work_ms: 2_500,
            body_bytes: 4,
            is_chunked: false,
        }
    }

    /// Sends the call on a connection that was opened before the signal.
    async fn send(
        self,
        mut connection: Connection,
        service: &str,
        signalled: Instant,
    ) -> LateAnswer {
        let framing = match self.is_chunked {
            true => "Transfer-Encoding: chunked".into(),
            false => format!("Content-Length: {}", self.body_bytes),
        };
        let head = format!(
            "POST /{service}/w{} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {}\r\n\
             Deadline-Ms: {}\r\n{framing}\r\n\r\n",
            self.work_ms, self.id, self.deadline_ms
        );
        let (first, rest) = match self.is_chunked {
            true => ("1\r\nb\r\n".into(), "3\r\nody\r\n0\r\n\r\n".into()),
            false => ("b".repeat(self.body_bytes - 1), "b".to_owned()),
        };
        sleep_until((signalled + HEAD_SENT).into()).await;
        connection.send(&head).await.unwrap();
        connection.send(&first).await.unwrap();
        let answer = match self.rest_sent {
            Some(rest_sent) => {
                // An answer may come before the body is whole.
                let left = (signalled + rest_sent).saturating_duration_since(Instant::now());
                match timeout(left, connection.read_answer()).await {
                    Ok(answer) => answer,
                    Err(_) => match connection.send(&rest).await {
                        Ok(()) => connection.read_answer().await,
                        Err(err) => Err(err),
                    },
                }
            }
            None => connection.read_answer().await,
        };
        LateAnswer {
            id: self.id,
            answer: answer.ok(),
            ended: signalled.elapsed(),
        }
    }
}

impl LateAnswer {
    fn status(&self) -> Option<u16> {
        self.answer.as_ref().map(|answer| answer.status)
    }
}

/// Stops the first node and sends calls to a service through a node meanwhile.
async fn stop_with(
    fleet: &mut Fleet,
    vm: usize,
    service: &'static str,
    calls: Vec<LateCall>,
) -> Vec<LateAnswer> {
    let mut connections = Vec::new();
    for _ in &calls {
        connections.push(Connection::open(fleet.vms[vm].callers()).await.unwrap());
    }
    let signalled = Instant::now();
    fleet.vms[0].signal(Signal::SIGTERM);
    let sent: Vec<JoinHandle<LateAnswer>> = calls
        .into_iter()
        .zip(connections)
        .map(|(call, connection)| actix_rt::spawn(call.send(connection, service, signalled)))
        .collect();
    let answers = join_all(sent).await;
    assert_eq!(fleet.vms[0].wait().await.code(), Some(0));
    assert!(signalled.elapsed() < Duration::from_secs(GRACE_S));
    answers.into_iter().map(Result::unwrap).collect()
}

/// Calls whose body became whole after the notice were passed on whatever time the stop left them, and
/// broken off with an upstream at work; callers whose body never became whole got no answer.
#[actix_rt::test]
async fn a_stop_refuses_late_bodies_that_it_may_break_off() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let mut calls = vec![
        LateCall::new("early", 20_000, Some(3_500)),
        LateCall::new("in-time", 20_000, Some(7_000)),
        LateCall::new("over", 20_000, Some(8_800)),
        LateCall::new("never", 20_000, None),
    ];
    for (id, rest_sent) in [("chunked", Some(7_000)), ("chunked-never", None)] {
        let mut call = LateCall::new(id, 20_000, rest_sent);
        call.is_chunked = true;
        calls.push(call);
    }
    for answer in stop_with(&mut fleet, 0, "other", calls).await {
        assert_eq!(answer.status(), Some(503), "{answer:?}");
        assert!(answer.ended < REFUSED_BY, "{answer:?}");
        let has_run = fleet.vms[1].upstream.has_run(&answer.id);
        assert!(!has_run, "refused and passed on: {answer:?}");
    }
}

/// The stop leaves these calls their whole time limit.
#[actix_rt::test]
async fn a_stop_passes_on_late_bodies_whose_time_it_covers() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let calls = vec![
        LateCall::new("short", 6_500, Some(3_500)),
        LateCall::new("whole-in-notice", 20_000, Some(1_000)),
    ];
    for answer in stop_with(&mut fleet, 0, "other", calls).await {
        assert_eq!(answer.status(), Some(200), "{answer:?}");
    }
}

/// The end of a body that was passed on in part reached the upstream whatever time the stop left the call.
#[actix_rt::test]
async fn a_stop_completes_no_body_of_a_call_that_it_may_break_off() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let large = |id| {
        let mut call = LateCall::new(id, 20_000, Some(7_000));
        call.body_bytes = LARGE_BODY_BYTES;
        call
    };
    let answers = stop_with(&mut fleet, 0, "other", vec![large("large")]).await;
    assert!(!fleet.vms[1].upstream.has_run("large"), "{answers:?}");
    assert_eq!(answers[0].status(), Some(502), "{answers:?}");
    assert!(answers[0].ended < REFUSED_BY, "{answers:?}");
}

/// The same at the sidecar, for a call that another node took from its caller.
#[actix_rt::test]
async fn a_stop_completes_no_body_of_another_node_that_it_may_break_off() {
    let mut fleet = Fleet::start(&["orders", "other"]).await;
    let mut call = LateCall::new("large", 20_000, Some(7_000));
    call.body_bytes = LARGE_BODY_BYTES;
    let answers = stop_with(&mut fleet, 1, "orders", vec![call]).await;
    assert!(!fleet.vms[0].upstream.has_run("large"), "{answers:?}");
    assert_eq!(answers[0].status(), Some(502), "{answers:?}");
    assert!(answers[0].ended < REFUSED_BY, "{answers:?}");
}
