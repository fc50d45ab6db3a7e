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
    caller::{Answered, CallerLoad, Tally, Workload},
    checks::Checks,
    clock::wall_ms,
    deployment::ServiceShape,
    error::BenchError,
    fleet::{FleetOptions, json},
    http_client::HttpClient,
    layout::Placement,
    service::{CallAudit, Testbed},
};

/// Longest time until a note is in force everywhere.
const NOTE_LIMIT: Duration = Duration::from_secs(8);
/// Longest time until a drained failure domain gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the absence of new work is watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Time for which the callers go on after a restore.
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Requests a second that callers send in the background.
const BACKGROUND_RATE: f64 = 60.0;

/// A run of the demo.
pub(super) struct Act {
    testbed: Testbed,
    client: HttpClient,
    checks: Checks,
}

impl Act {
    /// Starts upstreams and nodes and waits until all nodes serve.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started or does not serve in time.
    pub(super) async fn start(options: FleetOptions) -> Result<Self, BenchError> {
        let begin = Instant::now();
        let testbed = Testbed::start(options).await?;
        println!("  all serve after {} ms", begin.elapsed().as_millis());
        Ok(Self {
            testbed,
            client: HttpClient::default(),
            checks: Checks::default(),
        })
    }

    /// Returns what was checked.
    pub(super) fn checks(&self) -> &Checks {
        &self.checks
    }

    /// Keeps the directory with settings and logs.
    pub(super) fn keep_logs(&mut self) -> PathBuf {
        self.testbed.fleet.keep_logs()
    }

    /// Plays all steps.
    ///
    /// # Errors
    ///
    /// Returns an error when a step can't be played.
    pub(super) async fn play(&mut self) -> Result<(), BenchError> {
        self.publish_good().await?;
        self.call_all().await;
        let workload = self.workload();
        let load = CallerLoad::start(self.testbed.targets(), workload, 1);
        let moved = self.move_domain().await;
        let refused = self.publish_bad().await;
        self.finish_load(load).await;
        moved?;
        refused?;
        self.check_platform();
        self.check_processes();
        Ok(())
    }

    async fn publish_good(&mut self) -> Result<(), BenchError> {
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
        let after_ms = self.spread_of(2, published).await;
        show::spread(self.testbed.fleet.layout(), &after_ms);
        let slowest = after_ms.iter().copied().max().flatten();
        let everywhere = after_ms.iter().all(Option::is_some);
        let limit = NOTE_LIMIT.as_millis();
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
            .wait_for(&vms, &what, NOTE_LIMIT, holds)
            .await
    }

    /// Returns for each node the milliseconds from a wall time until a note was in force.
    async fn spread_of(&self, note: u64, published: u64) -> Vec<Option<u64>> {
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

    /// Takes a failure domain out of service and brings it back.
    async fn move_domain(&mut self) -> Result<(), BenchError> {
        let domain = 1 % self.testbed.fleet.layout().domains.len();
        let name = self.testbed.fleet.layout().domains[domain].clone();
        show::step(&format!(
            "Take {name} out of service, by an order to one node"
        ));
        sleep(RETURN_TIME).await;
        let order = |number, action| DrainOrder {
            number,
            scope: DrainScope::Domain(name.clone()),
            action,
        };
        let ran_before = self.runs_in(domain);
        let node = self.testbed.fleet.layout().vms[0].admin;
        let drain = order(1, DrainAction::Drain);
        let taken = self
            .testbed
            .fleet
            .admin()
            .send_order(node, self.testbed.fleet.token(), &drain);
        let taken = taken.await;
        self.checks
            .expect("order-taken", taken, "refused by the node".into());
        sleep(DRAIN_LIMIT).await;
        let settled = self.runs_in(domain);
        sleep(WATCH_TIME).await;
        let late = self.runs_in(domain) - settled;
        println!(
            "  {name}: {ran_before} calls before, {} within {} s, {late} in the {} s after",
            settled - ran_before,
            DRAIN_LIMIT.as_secs(),
            WATCH_TIME.as_secs(),
        );
        self.checks.expect_zero("no-new-work-after-drain", late);
        show::step(&format!("Bring {name} back, by the platform"));
        let restore = order(2, DrainAction::Restore);
        self.testbed
            .fleet
            .platform()
            .publish("drains", &json(&[restore]));
        sleep(RETURN_TIME).await;
        let back = self.runs_in(domain) - settled - late;
        println!("  {name}: {back} calls in {} s", RETURN_TIME.as_secs());
        self.checks
            .expect("work-after-restore", back > 0, "no call".into());
        Ok(())
    }

    fn runs_in(&self, domain: usize) -> u64 {
        let vms = self.testbed.fleet.layout().vms_of(domain);
        let runs = |vm: usize| {
            let counts = self.testbed.upstreams[vm].state().counts();
            counts.ran.values().copied().map(u64::from).sum::<u64>()
        };
        vms.into_iter().map(runs).sum()
    }

    /// Publishes a note that must change nothing, then a good one.
    async fn publish_bad(&mut self) -> Result<(), BenchError> {
        let service = self.first_service().name.clone();
        show::step(&format!(
            "Publish release note 3, which withdraws {service} while routes lead to it"
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
        let is_bad = |status: &StatusReport| status.refused.iter().any(|r| r.note.0 == 3);
        let refusing = statuses.iter().flatten().filter(|status| is_bad(status));
        let refusing = refusing.count();
        let reason = statuses.iter().flatten().find_map(|status| {
            let mut refused = status.refused.iter();
            refused.find(|r| r.note.0 == 3).map(|r| r.reason.clone())
        });
        println!("  refused on {refusing} of {} nodes", vms.len());
        println!("  reason: {}", reason.as_deref().unwrap_or("none is shown"));
        let seen = format!("refused on {refusing} of {}", vms.len());
        self.checks
            .expect("bad-note-refused", refusing == vms.len(), seen);
        self.check_same_digest("same-verdict-everywhere").await;
        let vm = self.testbed.fleet.layout().vms[0].clone();
        let shape = self.first_service().clone();
        let (told, _) = self.call(&vm, &shape, &shape.path).run().await;
        let goes_on = told.starts_with("200");
        self.checks
            .expect("bad-note-changes-nothing", goes_on, told);
        Ok(())
    }

    async fn finish_load(&mut self, load: CallerLoad) {
        show::step("What the callers in the background saw");
        let records = load.finish().await;
        let tally = Tally::of(&records, Duration::ZERO, Duration::MAX);
        let good = tally.count(Answered::Good);
        println!(
            "  {} requests: {good} answered, {} refused, {} unknown; p50 {:.0} ms, p99 {:.0} ms",
            tally.offered,
            tally.count(Answered::Refused),
            tally.count(Answered::Unknown) + tally.count(Answered::Broken),
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
        checks.expect_zero("answers-are-whole", tally.count(Answered::Broken));
        checks.expect_zero("routed-to-own-service", audit.misrouted);
        checks.expect_zero("upstreams-not-swamped", audit.swamped);
    }

    fn check_platform(&mut self) {
        let counts = self.testbed.fleet.platform().counts();
        println!(
            "  the platform counted {} reads in its busiest second",
            counts.peak
        );
        if let Some(proxy) = self.testbed.fleet.proxy() {
            let traffic = proxy.counts().read();
            let bytes: u64 = traffic.iter().map(|vm| vm.received).sum();
            let opened: u64 = traffic.iter().map(|vm| vm.opened).sum();
            println!(
                "  {} kB passed between the nodes over {opened} connections",
                bytes / 1000
            );
        }
        self.checks
            .expect_zero("platform-rate-kept", counts.refused);
    }

    fn check_processes(&mut self) {
        let ended = self.testbed.fleet.exited();
        let names: Vec<_> = ended
            .iter()
            .map(|&vm| &self.testbed.fleet.layout().vms[vm].vm)
            .collect();
        let seen = format!("{names:?} ended");
        self.checks.expect("nodes-run", ended.is_empty(), seen);
    }

    fn workload(&self) -> Workload {
        self.testbed.workload("background", BACKGROUND_RATE)
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
