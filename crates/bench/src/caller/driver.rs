//! Generates the load of the callers on a fixed number of threads.

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
        send::{Reply, SendAttempt},
    },
    http_client::HttpClient,
};

/// Node to which callers send requests.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// Address on which the node serves callers.
    pub(crate) address: SocketAddr,
    /// Failure domain of the node.
    pub(crate) domain: String,
    /// Service whose calls the target accepts; `None` accepts calls of all services.
    pub(crate) service: Option<String>,
}

/// Running load; it ends with [`CallerLoad::finish`].
pub(crate) struct CallerLoad {
    started: Instant,
    token: CancellationToken,
    threads: Vec<thread::JoinHandle<Vec<CallRecord>>>,
}

/// Number of threads that generate the load.
const THREADS: u64 = 3;
/// Number of tracked calls above which the finished ones are removed.
const PRUNE_THRESHOLD: usize = 4096;
/// Shortest delay before a resend, also used when the response names none.
const MIN_RESEND_DELAY: Duration = Duration::from_millis(50);

impl CallerLoad {
    /// Starts callers that send requests to the targets.
    pub(crate) fn start(targets: Vec<Target>, workload: Workload, seed: u64) -> Self {
        let started = Instant::now();
        let token = CancellationToken::new();
        let spawn = |number| {
            let load = LoadThread {
                targets: targets.clone(),
                workload: workload.clone(),
                started,
                token: token.clone(),
                number,
            };
            thread::spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(load.run(SmallRng::seed_from_u64(seed ^ (number << 32))))
            })
        };
        let threads = (0..THREADS).map(spawn).collect();
        Self {
            started,
            token,
            threads,
        }
    }

    /// Makes one request of the first kind on the current thread.
    pub(crate) async fn call_once(
        targets: Vec<Target>,
        workload: Workload,
        seed: u64,
    ) -> CallRecord {
        let kind = workload.kinds[0].clone();
        let label = workload.label.clone();
        let thread = LoadThread {
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

    /// Returns the time at which the load started.
    pub(crate) fn started(&self) -> Instant {
        self.started
    }

    /// Starts no further requests, waits for the pending ones and returns all records.
    ///
    /// # Panics
    ///
    /// Panics when a load thread panicked.
    pub(crate) async fn finish(self) -> Vec<CallRecord> {
        self.token.cancel();
        let joined = tokio::task::spawn_blocking(move || {
            let join = |thread: thread::JoinHandle<_>| thread.join().expect("load thread panicked");
            self.threads.into_iter().flat_map(join).collect()
        });
        joined.await.expect("joining the load threads panicked")
    }
}

struct LoadThread {
    targets: Vec<Target>,
    workload: Workload,
    started: Instant,
    token: CancellationToken,
    number: u64,
}

impl LoadThread {
    async fn run(self, mut rng: SmallRng) -> Vec<CallRecord> {
        let client = HttpClient::default();
        let thread = Rc::new(self);
        let records = Rc::new(RefCell::new(Vec::new()));
        let mut calls: Vec<JoinHandle<()>> = Vec::new();
        let mut due = Duration::ZERO;
        let mut count = 0_u64;
        loop {
            due += thread.arrival_gap(&mut rng);
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
            if calls.len() > PRUNE_THRESHOLD {
                calls.retain(|call| !call.is_finished());
            }
        }
        for call in calls {
            let _ = call.await;
        }
        records.take()
    }

    fn arrival_gap(&self, rng: &mut SmallRng) -> Duration {
        let rate = self.workload.rate / THREADS as f64;
        let draw = 1.0 - rng.random::<f64>();
        Duration::from_secs_f64(-draw.ln() / rate)
    }

    fn eligible_targets(&self, kind: &CallKind) -> Vec<usize> {
        let accepts = |target: &Target| target.service.as_ref().is_none_or(|s| *s == kind.service);
        let all = 0..self.targets.len();
        all.filter(|&at| accepts(&self.targets[at])).collect()
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
    async fn run(mut self, thread: &LoadThread, client: &HttpClient) -> CallRecord {
        let deadline = self.due + thread.workload.deadline;
        let caller = self.rng.random_range(0..thread.workload.callers.max(1));
        let caller = format!("caller-{caller}");
        let nodes = thread.eligible_targets(&self.kind);
        let mut at = self.rng.random_range(0..nodes.len());
        let mut key = self.key(thread, nodes[at]);
        let mut sends: Vec<SendRecord> = Vec::new();
        loop {
            let id = format!("{}#{}", self.id, sends.len());
            let attempt = SendAttempt {
                client,
                target: &thread.targets[nodes[at]],
                kind: &self.kind,
                request_id: &self.id,
                id: &id,
                key: key.as_deref(),
                caller: &caller,
                time_left: deadline.saturating_sub(thread.started.elapsed()),
            };
            let reply = attempt.run().await;
            sends.push(SendRecord {
                id,
                node: nodes[at],
                outcome: reply.outcome,
                reason: reply.reason.clone(),
                ended: thread.started.elapsed(),
            });
            let delay = self.resend_delay(&reply);
            let next = thread.started.elapsed() + delay;
            let is_last = sends.len() as u32 >= thread.workload.max_sends;
            if !can_resend(reply.outcome) || is_last || next >= deadline {
                break;
            }
            sleep(delay).await;
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

    /// Returns a new idempotency key in the failure domain of a node. A caller may replace its key
    /// as long as none of its sends may have run.
    fn key(&self, thread: &LoadThread, node: usize) -> Option<String> {
        let domain = &thread.targets[node].domain;
        let new_key = || format!("{domain}.{}", Uuid::now_v7());
        self.kind.keyed.then(new_key)
    }

    fn resend_delay(&mut self, reply: &Reply) -> Duration {
        let base = reply.retry_after.max(MIN_RESEND_DELAY);
        base.mul_f64(0.75 + self.rng.random::<f64>() / 2.0)
    }

    fn other_node(&mut self, node: usize, nodes: usize) -> usize {
        if nodes == 1 {
            return node;
        }
        (node + self.rng.random_range(1..nodes)) % nodes
    }
}

fn can_resend(outcome: SendOutcome) -> bool {
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
