//! Drives the callers from a few threads.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{task::JoinHandle, time::sleep};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::{
    caller::{
        CallKind, CallOutcome, CallRecord, SendOutcome, SendRecord, Workload,
        sending::{Reply, Sending},
    },
    http_client::HttpClient,
};

/// A node that callers can use.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address on which the node serves callers.
    pub(crate) address: SocketAddr,
    /// Failure domain of the node.
    pub(crate) domain: String,
    /// Service to which the target is bound; `None` takes calls of all services.
    pub(crate) service: Option<String>,
}

/// Load that runs until it is stopped.
pub(crate) struct CallerLoad {
    started: Instant,
    token: CancellationToken,
    threads: Vec<thread::JoinHandle<Vec<CallRecord>>>,
}

/// Threads that drive callers.
const THREADS: u64 = 3;
/// Calls after which those that ended are forgotten.
const SWEEP_CALLS: usize = 4096;
/// Pause before a resend when the answer names none.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

impl CallerLoad {
    /// Starts callers that use the targets.
    pub(crate) fn start(targets: Vec<Target>, workload: Workload, seed: u64) -> Self {
        let started = Instant::now();
        let token = CancellationToken::new();
        let spawn = |at| {
            let load = Thread {
                targets: targets.clone(),
                workload: workload.clone(),
                started,
                token: token.clone(),
                number: at,
            };
            thread::spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(load.run(SmallRng::seed_from_u64(seed ^ (at << 32))))
            })
        };
        let threads = (0..THREADS).map(spawn).collect();
        Self {
            started,
            token,
            threads,
        }
    }

    /// Makes one request of the first kind on this thread.
    pub(crate) async fn call_once(
        targets: Vec<Target>,
        workload: Workload,
        seed: u64,
    ) -> CallRecord {
        let kind = workload.kinds[0].clone();
        let label = workload.label.clone();
        let thread = Thread {
            targets,
            workload,
            started: Instant::now(),
            token: CancellationToken::new(),
            number: 0,
        };
        let call = Call {
            id: format!("{label}-{seed}"),
            due: Duration::ZERO,
            kind,
            rng: SmallRng::seed_from_u64(seed),
        };
        call.run(&thread, &HttpClient::default()).await
    }

    /// Returns when the load started.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Stops new requests, waits for the answers and returns all records.
    ///
    /// # Panics
    ///
    /// Panics when a thread of the callers panicked.
    pub(crate) async fn finish(self) -> Vec<CallRecord> {
        self.token.cancel();
        let joined = tokio::task::spawn_blocking(move || {
            let join = |thread: thread::JoinHandle<_>| thread.join().expect("callers do not panic");
            self.threads.into_iter().flat_map(join).collect()
        });
        joined.await.expect("joining does not panic")
    }
}

struct Thread {
    targets: Vec<Target>,
    workload: Workload,
    started: Instant,
    token: CancellationToken,
    number: u64,
}

impl Thread {
    async fn run(self, mut rng: SmallRng) -> Vec<CallRecord> {
        let client = HttpClient::default();
        let thread = Rc::new(self);
        let records = Rc::new(RefCell::new(Vec::new()));
        let mut calls: Vec<JoinHandle<()>> = Vec::new();
        let mut due = Duration::ZERO;
        let mut count = 0_u64;
        loop {
            due += thread.gap(&mut rng);
            if !thread.wait_until(due).await {
                break;
            }
            let call = Call {
                id: format!("{}-{}-{count}", thread.workload.label, thread.number),
                due,
                kind: thread.workload.draw(&mut rng).clone(),
                rng: SmallRng::seed_from_u64(rng.random()),
            };
            count += 1;
            let (thread, client) = (Rc::clone(&thread), client.clone());
            let records = Rc::clone(&records);
            calls.push(actix_rt::spawn(async move {
                let record = call.run(&thread, &client).await;
                records.borrow_mut().push(record);
            }));
            if calls.len() > SWEEP_CALLS {
                calls.retain(|call| !call.is_finished());
            }
        }
        for call in calls {
            let _ = call.await;
        }
        records.take()
    }

    fn gap(&self, rng: &mut SmallRng) -> Duration {
        let rate = self.workload.rate / THREADS as f64;
        let draw = 1.0 - rng.random::<f64>();
        Duration::from_secs_f64(-draw.ln() / rate)
    }

    fn targets_of(&self, kind: &CallKind) -> Vec<usize> {
        let takes = |target: &Target| target.service.as_ref().is_none_or(|s| *s == kind.service);
        let all = 0..self.targets.len();
        all.filter(|&at| takes(&self.targets[at])).collect()
    }

    async fn wait_until(&self, due: Duration) -> bool {
        let left = due.saturating_sub(self.started.elapsed());
        if left.is_zero() {
            return !self.token.is_cancelled();
        }
        tokio::select! {
            () = self.token.cancelled() => false,
            () = sleep(left) => true,
        }
    }
}

struct Call {
    id: String,
    due: Duration,
    kind: CallKind,
    rng: SmallRng,
}

impl Call {
    async fn run(mut self, thread: &Thread, client: &HttpClient) -> CallRecord {
        let deadline = self.due + thread.workload.deadline;
        let caller = self.rng.random_range(0..thread.workload.callers.max(1));
        let caller = format!("caller-{caller}");
        let nodes = thread.targets_of(&self.kind);
        let mut at = self.rng.random_range(0..nodes.len());
        let mut key = self.key(thread, nodes[at]);
        let mut sends: Vec<SendRecord> = Vec::new();
        loop {
            let id = format!("{}#{}", self.id, sends.len());
            let sending = Sending {
                client,
                target: &thread.targets[nodes[at]],
                kind: &self.kind,
                request: &self.id,
                id: &id,
                key: key.as_deref(),
                caller: &caller,
                left: deadline.saturating_sub(thread.started.elapsed()),
            };
            let reply = sending.run().await;
            sends.push(SendRecord {
                id,
                node: nodes[at],
                outcome: reply.outcome,
                reason: reply.reason.clone(),
                ended: thread.started.elapsed(),
            });
            let pause = self.pause(&reply);
            let next = thread.started.elapsed() + pause;
            let is_last = sends.len() as u32 >= thread.workload.max_sends;
            if !is_worth_resending(reply.outcome) || is_last || next >= deadline {
                break;
            }
            sleep(pause).await;
            at = self.other_node(at, nodes.len());
            if !sends.iter().any(|send| send.outcome.may_have_run()) {
                key = self.key(thread, nodes[at]);
            }
        }
        CallRecord {
            outcome: call_outcome(&sends),
            id: self.id,
            keyed: self.kind.keyed,
            due: self.due,
            latency: thread.started.elapsed().saturating_sub(self.due),
            sends,
        }
    }

    /// Mints a key in the failure domain of a node. A caller that knows that none of its
    /// sends ran is free to take a new one.
    fn key(&self, thread: &Thread, node: usize) -> Option<String> {
        let domain = &thread.targets[node].domain;
        let mint = || format!("{domain}.{}", Uuid::now_v7());
        self.kind.keyed.then(mint)
    }

    fn pause(&mut self, reply: &Reply) -> Duration {
        let base = reply.after.max(RESEND_PAUSE);
        base.mul_f64(0.75 + self.rng.random::<f64>() / 2.0)
    }

    fn other_node(&mut self, node: usize, nodes: usize) -> usize {
        if nodes == 1 {
            return node;
        }
        (node + self.rng.random_range(1..nodes)) % nodes
    }
}

fn is_worth_resending(outcome: SendOutcome) -> bool {
    !matches!(
        outcome,
        SendOutcome::Good | SendOutcome::Wrong | SendOutcome::Ran | SendOutcome::TimedOut
    )
}

fn call_outcome(sends: &[SendRecord]) -> CallOutcome {
    let last = sends.last().map(|send| send.outcome);
    match last {
        Some(SendOutcome::Good) => CallOutcome::Good,
        Some(SendOutcome::Wrong) => CallOutcome::Wrong,
        Some(SendOutcome::Broken) => CallOutcome::Broken,
        _ if sends.iter().any(|send| send.outcome.may_have_run()) => CallOutcome::Unknown,
        _ => CallOutcome::Refused,
    }
}
