//! Steps of the demo.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;
use wagtaillever_coordination::{
    Changes, DrainAction, DrainOrder, DrainScope, ReleaseNote, RouteSpec, Sequence, StatusReport,
};

use super::{call::Call, show};
use crate::{
    caller::{CallOutcome, CallerLoad, Tally, Workload},
    checks::Checks,
    clock::wall_ms,
    deployment::ServiceShape,
    error::BenchError,
    fleet::{FleetOptions, json},
    http_client::HttpClient,
    layout::Placement,
    service::{CallAudit, Testbed},
};

/// Maximum time until a note is in force on all nodes.
const NOTE_TIMEOUT: Duration = Duration::from_secs(8);
/// Maximum time until a drained failure domain receives no new requests.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Time for which a drained failure domain must receive no new requests.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Time under load before the drain and after the restore.
const RESTORE_TIME: Duration = Duration::from_secs(4);
/// Rate of the background load.
const BACKGROUND_CALLS_PER_S: f64 = 60.0;

/// A run of the demo.
pub(super) struct DemoRun {
    testbed: Testbed,
    client: HttpClient,
    checks: Checks,
}

impl DemoRun {
    /// Starts upstreams and nodes and waits until all nodes serve.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or does not serve in time.
    pub(super) async fn start(options: FleetOptions) -> Result<Self, BenchError> {
        let begin = Instant::now();
        let testbed = Testbed::start(options).await?;
        println!("  all nodes serve after {} ms", begin.elapsed().as_millis());
        Ok(Self {
            testbed,
            client: HttpClient::default(),
            checks: Checks::default(),
        })
    }

    /// Returns the results of the checks.
    pub(super) fn checks(&self) -> &Checks {
        &self.checks
    }

    /// Keeps the directory with settings and logs.
    pub(super) fn keep_logs(&mut self) -> PathBuf {
        self.testbed.fleet.keep_logs()
    }

    /// Executes all steps.
    ///
    /// # Errors
    ///
    /// Returns an error if a step fails.
    pub(super) async fn execute(&mut self) -> Result<(), BenchError> {
        self.publish_valid().await?;
        self.call_all().await;
        let workload = self.workload();
        let load = CallerLoad::start(self.testbed.targets(), workload, 1);
        let drained = self.drain_and_restore().await;
        let refused = self.publish_invalid().await;
        self.finish_load(load).await;
        drained?;
        refused?;
        self.check_platform();
        self.check_processes();
        Ok(())
    }

    async fn publish_valid(&mut self) -> Result<(), BenchError> {
        show::step("Publish release note 2, which adds a route");
        let note = ReleaseNote {
            note: Sequence(2),
            summary: Some("summaries have a route of their own".into()),
            routes: Changes {
                add: vec![Arc::new(summary_route(self.first_service()))],
                ..Changes::default()
            },
            ..ReleaseNote::default()
        };
        let published = wall_ms();
        self.testbed.fleet.publish_note(&note);
        self.wait_in_force(Sequence(2)).await?;
        let after_ms = self.in_force_delays(2, published).await;
        show::delays(self.testbed.fleet.layout(), &after_ms);
        let slowest = after_ms.iter().copied().max().flatten();
        let everywhere = after_ms.iter().all(Option::is_some);
        let limit = NOTE_TIMEOUT.as_millis();
        let in_time = slowest.is_some_and(|ms| u128::from(ms) <= limit);
        let seen = format!("slowest {slowest:?} ms");
        self.checks
            .expect("accepted-note-in-force", everywhere && in_time, seen);
        self.check_same_digest("same-configuration-everywhere")
            .await;
        Ok(())
    }

    async fn wait_in_force(&self, note: Sequence) -> Result<(), BenchError> {
        let vms = self.testbed.fleet.running();
        let holds = |status: &StatusReport| status.note >= note;
        let what = format!("note {note} in force");
        self.testbed
            .fleet
            .wait_for(&vms, &what, NOTE_TIMEOUT, holds)
            .await
    }

    /// Returns the milliseconds from `published` until the note was in force, for each node.
    async fn in_force_delays(&self, note: u64, published: u64) -> Vec<Option<u64>> {
        let vms = self.testbed.fleet.running();
        let events = self.testbed.fleet.events(&vms).await;
        let first = |events: &Vec<crate::fleet::Event>| {
            let mut reached = events.iter().filter(|e| e.applied_sequence() >= Some(note));
            reached
                .next()
                .map(|e| e.at.wall_ms.saturating_sub(published))
        };
        events.iter().map(first).collect()
    }

    async fn check_same_digest(&mut self, name: &'static str) {
        let vms = self.testbed.fleet.running();
        let statuses = self.testbed.fleet.statuses(&vms).await;
        let mut seen: Vec<_> = statuses
            .iter()
            .map(|s| s.as_ref().map(|s| (s.note, s.digest.clone())))
            .collect();
        seen.sort();
        seen.dedup();
        let same = seen.len() == 1 && seen[0].is_some();
        self.checks.expect(name, same, format!("{seen:?}"));
    }

    async fn call_all(&mut self) {
        show::step("Call each service through each node");
        let mut answers: BTreeMap<String, Vec<(String, Duration)>> = BTreeMap::new();
        let mut unanswered = 0;
        let vms = self.testbed.fleet.layout().vms.clone();
        let services = self.testbed.fleet.deployment().services.clone();
        for vm in &vms {
            for shape in &services {
                let answer = self.call(vm, shape, &shape.path).run().await;
                unanswered += u64::from(!answer.0.starts_with("200"));
                let service = answers.entry(shape.name.to_string()).or_default();
                service.push(answer);
            }
            let shape = &services[0];
            let answer = self.call(vm, shape, &summary_path(shape)).run().await;
            unanswered += u64::from(!answer.0.starts_with("200"));
            answers
                .entry("route of note 2".into())
                .or_default()
                .push(answer);
        }
        show::answers(&answers);
        self.checks.expect_zero("calls-answered", unanswered);
    }

    fn call<'a>(&'a self, vm: &'a Placement, shape: &'a ServiceShape, path: &'a str) -> Call<'a> {
        Call {
            client: &self.client,
            node: vm.callers,
            domain: self.testbed.fleet.layout().domain_of(vm),
            shape,
            path,
        }
    }

    /// Drains a failure domain by an order to a node and restores it through the platform.
    async fn drain_and_restore(&mut self) -> Result<(), BenchError> {
        let domain = 1 % self.testbed.fleet.layout().domains.len();
        let name = self.testbed.fleet.layout().domains[domain].clone();
        show::step(&format!("Drain {name} by an order to one node"));
        sleep(RESTORE_TIME).await;
        let order = |number, action| DrainOrder {
            number,
            scope: DrainScope::Domain(name.clone()),
            action,
        };
        let ran_before = self.executions_in(domain);
        let node = self.testbed.fleet.layout().vms[0].admin;
        let drain = order(1, DrainAction::Drain);
        let accepted =
            self.testbed
                .fleet
                .admin()
                .send_order(node, self.testbed.fleet.token(), &drain);
        let accepted = accepted.await;
        self.checks
            .expect("order-taken", accepted, "refused by the node".into());
        sleep(MAX_DRAIN_TIME).await;
        let ran_drained = self.executions_in(domain);
        sleep(OBSERVATION_TIME).await;
        let late = self.executions_in(domain) - ran_drained;
        println!(
            "  {name}: {ran_before} calls before, {} within {} s, {late} in the {} s after",
            ran_drained - ran_before,
            MAX_DRAIN_TIME.as_secs(),
            OBSERVATION_TIME.as_secs(),
        );
        self.checks.expect_zero("no-new-work-after-drain", late);
        show::step(&format!("Restore {name} through the platform"));
        let restore = order(2, DrainAction::Restore);
        self.testbed
            .fleet
            .platform()
            .publish("drains", &json(&[restore]));
        sleep(RESTORE_TIME).await;
        let restored = self.executions_in(domain) - ran_drained - late;
        println!("  {name}: {restored} calls in {} s", RESTORE_TIME.as_secs());
        self.checks
            .expect("work-after-restore", restored > 0, "no calls".into());
        Ok(())
    }

    fn executions_in(&self, domain: usize) -> u64 {
        let vms = self.testbed.fleet.layout().vms_of(domain);
        let runs = |vm: usize| {
            let counts = self.testbed.upstreams[vm].state().counts();
            counts.ran.values().copied().map(u64::from).sum::<u64>()
        };
        vms.into_iter().map(runs).sum()
    }

    /// Publishes an invalid note and checks that all nodes refuse it without effect.
    async fn publish_invalid(&mut self) -> Result<(), BenchError> {
        let service = self.first_service().name.clone();
        show::step(&format!(
            "Publish release note 3, which withdraws {service} while routes still refer to it"
        ));
        let note = ReleaseNote {
            note: Sequence(3),
            services: Changes {
                withdraw: vec![service],
                ..Changes::default()
            },
            ..ReleaseNote::default()
        };
        self.testbed.fleet.publish_note(&note);
        self.wait_in_force(Sequence(3)).await?;
        let vms = self.testbed.fleet.running();
        let statuses = self.testbed.fleet.statuses(&vms).await;
        let has_refused = |status: &StatusReport| status.refused.iter().any(|r| r.note.0 == 3);
        let refusing = statuses
            .iter()
            .flatten()
            .filter(|status| has_refused(status));
        let refusing = refusing.count();
        let reason = statuses.iter().flatten().find_map(|status| {
            let mut refused = status.refused.iter();
            refused.find(|r| r.note.0 == 3).map(|r| r.reason.clone())
        });
        println!("  refused on {refusing} of {} nodes", vms.len());
        println!("  reason: {}", reason.as_deref().unwrap_or("not reported"));
        let seen = format!("refused on {refusing} of {}", vms.len());
        self.checks
            .expect("bad-note-refused", refusing == vms.len(), seen);
        self.check_same_digest("same-verdict-everywhere").await;
        let vm = self.testbed.fleet.layout().vms[0].clone();
        let shape = self.first_service().clone();
        let (outcome, _) = self.call(&vm, &shape, &shape.path).run().await;
        let answered = outcome.starts_with("200");
        self.checks
            .expect("bad-note-changes-nothing", answered, outcome);
        Ok(())
    }

    async fn finish_load(&mut self, load: CallerLoad) {
        show::step("Results of the background load");
        let records = load.finish().await;
        let tally = Tally::of(&records, Duration::ZERO, Duration::MAX);
        let good = tally.count(CallOutcome::Good);
        println!(
            "  {} requests: {good} answered, {} refused, {} unknown; p50 {:.0} ms, p99 {:.0} ms",
            tally.offered,
            tally.count(CallOutcome::Refused),
            tally.count(CallOutcome::Unknown) + tally.count(CallOutcome::Broken),
            tally.quantile_ms(0.5),
            tally.quantile_ms(0.99),
        );
        for (reason, count) in &tally.reasons {
            println!("  {count} refusals: {reason}");
        }
        let audit = CallAudit::of(&records, &self.testbed.counts());
        let checks = &mut self.checks;
        let answered = tally.offered > 0 && good * 100 >= tally.offered * 99;
        let seen = format!("{good} of {}", tally.offered);
        checks.expect("requests-answered", answered, seen);
        checks.expect_zero("at-most-once", audit.ran_twice);
        checks.expect_zero("refusals-are-true", audit.false_did_not_run);
        checks.expect_zero("answers-are-own", audit.wrong);
        checks.expect_zero("answers-are-whole", tally.count(CallOutcome::Broken));
        checks.expect_zero("routed-to-own-service", audit.misrouted);
        checks.expect_zero("upstreams-not-swamped", audit.swamped);
    }

    fn check_platform(&mut self) {
        let counts = self.testbed.fleet.platform().counts();
        println!("  peak rate of platform reads: {} per second", counts.peak);
        if let Some(proxy) = self.testbed.fleet.proxy() {
            let traffic = proxy.counts().read();
            let bytes: u64 = traffic.iter().map(|vm| vm.received).sum();
            let opened: u64 = traffic.iter().map(|vm| vm.opened).sum();
            println!(
                "  {} kB transferred between nodes over {opened} connections",
                bytes / 1000
            );
        }
        self.checks
            .expect_zero("platform-rate-kept", counts.refused);
    }

    fn check_processes(&mut self) {
        let exited = self.testbed.fleet.exited();
        let names: Vec<_> = exited
            .iter()
            .map(|&vm| &self.testbed.fleet.layout().vms[vm].vm)
            .collect();
        let seen = format!("{names:?} exited");
        self.checks.expect("nodes-run", exited.is_empty(), seen);
    }

    fn workload(&self) -> Workload {
        self.testbed.workload("background", BACKGROUND_CALLS_PER_S)
    }

    fn first_service(&self) -> &ServiceShape {
        &self.testbed.fleet.deployment().services[0]
    }
}

fn summary_path(shape: &ServiceShape) -> String {
    format!("{}/summary", shape.path)
}

fn summary_route(shape: &ServiceShape) -> RouteSpec {
    let name = format!("{}-summary", shape.name);
    RouteSpec {
        methods: shape.methods.clone(),
        ..RouteSpec::for_service(name.into(), summary_path(shape), shape.name.clone(), 5_000)
    }
}
