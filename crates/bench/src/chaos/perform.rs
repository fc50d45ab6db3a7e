//! Begins and ends the actions of a schedule.

use std::time::{Duration, Instant};

use rand::{seq::IndexedRandom, seq::SliceRandom};
use wagtaillever_coordination::{DrainAction, DrainScope};

use crate::{
    caller::CallerLoad,
    chaos::{action::Action, invariant, quiet::Quiet, run::Run},
    error::BenchError,
    platform::{Faults, Outage},
    proxy::{Rule, Rules},
};

/// Time for which a killed upstream stays down.
const UPSTREAM_DOWN: Duration = Duration::from_millis(500);
/// Sendings with which a caller repeats a request that crashes upstreams.
const CRASH_SENDINGS: u32 = 8;
/// Time for which a caller repeats such a request.
const CRASH_DEADLINE: Duration = Duration::from_secs(6);
/// Longest time until a replaced node serves.
const SERVE_LIMIT: Duration = Duration::from_secs(20);

/// An action that began, with what its end must know.
pub(crate) struct Active {
    /// What began.
    pub(crate) action: Action,
    /// When it ends, since the start.
    pub(crate) end: Duration,
    /// Revision of the platform when it began.
    pub(crate) revision: u64,
    /// Nodes that it hit.
    pub(crate) hit: Vec<usize>,
    /// Whether it changed something that its end must undo.
    pub(crate) effective: bool,
}

impl Run {
    /// Begins an action and returns what its end must know.
    pub(crate) async fn begin(&mut self, action: Action, end: Duration) -> Active {
        let mut active = Active {
            action,
            end,
            revision: self.site.fleet.platform().revision(),
            hit: Vec::new(),
            effective: true,
        };
        match action {
            Action::GoodNote => self.notes.good(&self.site.fleet, &mut self.rng),
            Action::BadNote(kind) => self.notes.bad(&self.site.fleet, kind),
            Action::Churn(vm) => {
                active.effective = self.notes.withdraw(&self.site.fleet, vm);
                self.be_quiet(&active, invariant::LEAVING_GETS_NO_WORK, vec![vm]);
            }
            Action::LeaveVm(vm) => {
                active.effective = self.orders.leave(&self.site.fleet, vm);
                self.be_quiet(&active, invariant::LEAVING_GETS_NO_WORK, vec![vm]);
            }
            Action::DrainDomain(_) | Action::DrainVm(_) => self.drain(&mut active).await,
            Action::KillNode(vm) => self.kill(&mut active, vec![vm]).await,
            Action::Herd(domain) => {
                let vms = self.site.fleet.layout().vms_of(domain);
                let half = vms.len().div_ceil(2);
                let herd: Vec<usize> = vms.choose_multiple(&mut self.rng, half).copied().collect();
                self.kill(&mut active, herd).await;
            }
            Action::StopNode(vm) => self.stop(&mut active, vm),
            Action::PauseNode(vm) => self.pause(&mut active, vm),
            Action::KillUpstream(vm) => self.site.upstreams[vm].kill(Some(UPSTREAM_DOWN)),
            Action::ColdUpstream(vm) => {
                self.turned_cold.insert(vm);
                self.site.upstreams[vm].state().turn_cold();
            }
            Action::CrashRequest => self.crash_request(),
            Action::Partition { .. }
            | Action::OneWay(_)
            | Action::CutPlatform(_)
            | Action::Outage { .. }
            | Action::Stale { .. }
            | Action::Crossed => {}
        }
        active
    }

    /// Ends an action.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) async fn end(&mut self, active: Active) -> Result<(), BenchError> {
        if !active.effective {
            return Ok(());
        }
        match active.action {
            Action::Churn(vm) => {
                self.quiet.remove(&key_of(active.action));
                self.notes.add_again(&self.site.fleet, vm);
            }
            Action::LeaveVm(vm) => {
                self.quiet.remove(&key_of(active.action));
                self.orders.come_back(&self.site.fleet, vm);
            }
            Action::DrainDomain(_) | Action::DrainVm(_) => {
                self.quiet.remove(&key_of(active.action));
                let scope = self.scope(active.action);
                let order = self.orders.next(&scope, DrainAction::Restore);
                self.orders.publish(&self.site.fleet, order);
            }
            Action::KillNode(_) | Action::Herd(_) => {
                for vm in active.hit {
                    self.site.fleet.start(vm)?;
                }
            }
            Action::StopNode(vm) => self.finish_stop(vm).await?,
            Action::PauseNode(vm) => {
                if let Some(node) = self.site.fleet.node_mut(vm) {
                    node.resume();
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Lets proxy and platform follow the actions that go on.
    pub(crate) fn apply_faults(&self) {
        let domains = self.site.fleet.layout().domains.len();
        let others = |domain| (0..domains).filter(move |&other| other != domain);
        let mut faults = Faults::default();
        let mut rules: Vec<(usize, usize, Rule)> = Vec::new();
        for active in &self.active {
            match active.action {
                Action::Partition { domain, reset } => {
                    let rule = if reset { Rule::Cut } else { Rule::Hold };
                    for other in others(domain) {
                        rules.push((domain, other, rule));
                        rules.push((other, domain, rule));
                    }
                }
                Action::OneWay(domain) => {
                    let held = others(domain).map(|other| (other, domain, Rule::Hold));
                    rules.extend(held);
                }
                Action::CutPlatform(domain) => {
                    let address = self.site.fleet.layout().platform[domain];
                    faults.cut.insert(address.ip());
                }
                Action::Outage { silent } => {
                    let kind = if silent {
                        Outage::Silent
                    } else {
                        Outage::Refuse
                    };
                    faults.outage = Some(kind);
                }
                Action::Stale { percent } => {
                    faults.stale_at = Some(active.revision);
                    faults.stale_percent = Some(percent);
                }
                Action::Crossed => {
                    faults.crossed = true;
                    faults.repeated = true;
                }
                _ => {}
            }
        }
        self.site
            .fleet
            .platform()
            .set_faults(|current| *current = faults);
        if let Some(proxy) = self.site.fleet.proxy() {
            proxy.rules().change(|current| {
                Rules::heal(current);
                for (from, to, rule) in rules {
                    current.set_one_way(from, to, rule);
                }
            });
        }
    }

    async fn drain(&mut self, active: &mut Active) {
        let scope = self.scope(active.action);
        active.effective = self.orders.begin(&scope);
        if !active.effective {
            return;
        }
        let order = self.orders.next(&scope, DrainAction::Drain);
        let vms = match active.action {
            Action::DrainDomain(domain) => {
                self.orders.publish(&self.site.fleet, order);
                self.site.fleet.layout().vms_of(domain)
            }
            Action::DrainVm(vm) => {
                let mut nodes = self.awake();
                nodes.shuffle(&mut self.rng);
                self.orders.tell(&self.site.fleet, &nodes, order).await;
                vec![vm]
            }
            _ => Vec::new(),
        };
        self.be_quiet(active, invariant::DRAINED_GETS_NO_WORK, vms);
    }

    fn scope(&self, action: Action) -> DrainScope {
        let layout = self.site.fleet.layout();
        match action {
            Action::DrainVm(vm) => DrainScope::Vm(layout.vms[vm].vm.clone()),
            Action::DrainDomain(domain) => DrainScope::Domain(layout.domains[domain].clone()),
            other => unreachable!("{other} has no scope"),
        }
    }

    fn be_quiet(&mut self, active: &Active, invariant: &'static str, vms: Vec<usize>) {
        if active.effective {
            let quiet = Quiet::new(invariant, vms, Instant::now());
            self.quiet.insert(key_of(active.action), quiet);
        }
    }

    async fn kill(&mut self, active: &mut Active, vms: Vec<usize>) {
        let running = self.site.fleet.running();
        let stopping = &self.stopping;
        let is_free = |vm: &usize| running.contains(vm) && !stopping.contains_key(vm);
        active.hit = vms.into_iter().filter(is_free).collect();
        self.poll(&active.hit.clone()).await;
        for &vm in &active.hit {
            self.site.fleet.kill(vm);
        }
    }

    fn stop(&mut self, active: &mut Active, vm: usize) {
        let is_awake = self.awake().contains(&vm);
        active.effective = is_awake && !self.stopping.contains_key(&vm);
        if !active.effective {
            return;
        }
        if let Some(node) = self.site.fleet.node(vm) {
            node.terminate();
            self.stopping.insert(vm, Instant::now());
        }
    }

    /// Stops a node of each failure domain when nothing else can cut requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started or does not serve in time.
    pub(crate) async fn stop_calmly(&mut self) -> Result<(), BenchError> {
        for domain in 0..self.site.fleet.layout().domains.len() {
            let vms = self.site.fleet.layout().vms_of(domain);
            let Some(&vm) = vms.iter().find(|&&vm| self.site.fleet.node(vm).is_some()) else {
                continue;
            };
            if let Some(node) = self.site.fleet.node(vm) {
                node.terminate();
            }
            self.stopping.insert(vm, Instant::now());
            self.finish_stop(vm).await?;
            self.site.fleet.wait_serving(&[vm], SERVE_LIMIT).await?;
        }
        Ok(())
    }

    fn pause(&mut self, active: &mut Active, vm: usize) {
        active.effective = self.awake().contains(&vm) && !self.stopping.contains_key(&vm);
        if !active.effective {
            return;
        }
        if let Some(node) = self.site.fleet.node_mut(vm) {
            node.pause();
        }
    }

    fn crash_request(&mut self) {
        self.crashes += 1;
        let label = format!("crash-{}", self.crashes);
        let mut workload = self.site.workload(&label, 1.0);
        workload.kinds.retain(|kind| !kind.keyed);
        let Some(kind) = workload.kinds.first_mut() else {
            return;
        };
        kind.query = format!("crash={}", self.crashes);
        workload.sendings = CRASH_SENDINGS;
        workload.deadline = CRASH_DEADLINE;
        let call = CallerLoad::once(self.site.targets(), workload, self.crashes);
        actix_rt::spawn(call);
    }
}

fn key_of(action: Action) -> String {
    action.to_string()
}
