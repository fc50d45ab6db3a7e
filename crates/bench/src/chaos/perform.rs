//! Start and end of the actions of a schedule.

use std::time::{Duration, Instant};

use rand::{seq::IndexedRandom, seq::SliceRandom};
use wagtaillever_coordination::{DrainAction, DrainScope};

use crate::{
    caller::CallerLoad,
    chaos::{action::Action, invariant, quiet::QuietScope, run::Run},
    error::BenchError,
    platform::{Faults, Outage},
    proxy::{Rule, Rules},
};

/// Time until a killed upstream restarts.
const UPSTREAM_DOWNTIME: Duration = Duration::from_millis(500);
/// Number of times that a caller sends a request that crashes upstreams.
const CRASH_SENDS: u32 = 8;
/// Time after which a caller abandons such a request.
const CRASH_DEADLINE: Duration = Duration::from_secs(6);
/// Maximum time until a replacement node serves.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// An action in progress and the state needed to end it.
pub(crate) struct ActiveAction {
    pub(crate) action: Action,
    /// End, relative to the start of the schedule.
    pub(crate) end: Duration,
    /// Revision of the platform at the start of the action.
    pub(crate) revision: u64,
    /// Nodes killed by the action.
    pub(crate) killed: Vec<usize>,
    /// Whether the action changed anything that must be undone at its end.
    pub(crate) has_effect: bool,
}

impl Run {
    /// Begins an action and returns the state needed to end it.
    pub(crate) async fn begin(&mut self, action: Action, end: Duration) -> ActiveAction {
        let mut active = ActiveAction {
            action,
            end,
            revision: self.testbed.fleet.platform().revision(),
            killed: Vec::new(),
            has_effect: true,
        };
        match action {
            Action::GoodNote => self.notes.publish_valid(&self.testbed.fleet, &mut self.rng),
            Action::BadNote(kind) => self.notes.publish_invalid(&self.testbed.fleet, kind),
            Action::Churn(vm) => {
                active.has_effect = self.notes.publish_withdrawal(&self.testbed.fleet, vm);
                self.watch_quiet_scope(&active, invariant::LEAVING_GETS_NO_WORK, vec![vm]);
            }
            Action::LeaveVm(vm) => {
                active.has_effect = self.orders.list_leaving(&self.testbed.fleet, vm);
                self.watch_quiet_scope(&active, invariant::LEAVING_GETS_NO_WORK, vec![vm]);
            }
            Action::DrainDomain(_) | Action::DrainVm(_) => self.drain(&mut active).await,
            Action::KillNode(vm) => self.kill(&mut active, vec![vm]).await,
            Action::Herd(domain) => {
                let vms = self.testbed.fleet.layout().vms_of(domain);
                let half = vms.len().div_ceil(2);
                let victims: Vec<usize> =
                    vms.choose_multiple(&mut self.rng, half).copied().collect();
                self.kill(&mut active, victims).await;
            }
            Action::StopNode(vm) => self.stop(&mut active, vm),
            Action::PauseNode(vm) => self.pause(&mut active, vm),
            Action::KillUpstream(vm) => self.testbed.upstreams[vm].kill(Some(UPSTREAM_DOWNTIME)),
            Action::ColdUpstream(vm) => {
                self.cold_upstreams.insert(vm);
                self.testbed.upstreams[vm].state().reset_warm_up();
            }
            Action::LimitUpstream { vm, percent } => {
                let state = self.testbed.upstreams[vm].state();
                let limit = state.model().capacity() * f64::from(percent) / 100.0;
                state.set_limit(Some(limit));
            }
            Action::LeaveUpstream(vm) => self.testbed.upstreams[vm].state().leave(),
            Action::CrashRequest => self.send_crash_request(),
            Action::Partition { .. }
            | Action::OneWay(_)
            | Action::CutPlatform(_)
            | Action::Outage { .. }
            | Action::Stale { .. }
            | Action::Crossed => {}
        }
        active
    }

    /// Ends an action and undoes its changes.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) async fn end(&mut self, active: ActiveAction) -> Result<(), BenchError> {
        if !active.has_effect {
            return Ok(());
        }
        match active.action {
            Action::Churn(vm) => {
                self.quiet_scopes.remove(&scope_key(active.action));
                self.notes.publish_addition(&self.testbed.fleet, vm);
            }
            Action::LeaveVm(vm) => {
                self.quiet_scopes.remove(&scope_key(active.action));
                self.orders.list_live(&self.testbed.fleet, vm);
            }
            Action::DrainDomain(_) | Action::DrainVm(_) => {
                self.quiet_scopes.remove(&scope_key(active.action));
                let scope = self.drain_scope(active.action);
                let order = self.orders.next_order(&scope, DrainAction::Restore);
                self.orders.publish(&self.testbed.fleet, order);
            }
            Action::KillNode(_) | Action::Herd(_) => {
                for vm in active.killed {
                    self.testbed.fleet.start(vm)?;
                }
            }
            Action::StopNode(vm) => self.finish_stop(vm).await?,
            Action::PauseNode(vm) => {
                if let Some(node) = self.testbed.fleet.node_mut(vm) {
                    node.resume();
                }
            }
            Action::LimitUpstream { vm, .. } => self.testbed.upstreams[vm].state().set_limit(None),
            Action::LeaveUpstream(vm) => self.testbed.upstreams[vm].kill(Some(UPSTREAM_DOWNTIME)),
            _ => {}
        }
        Ok(())
    }

    /// Sets the faults of the proxy and the platform to those of the actions in progress.
    pub(crate) fn apply_faults(&self) {
        let domains = self.testbed.fleet.layout().domains.len();
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
                    let address = self.testbed.fleet.layout().platform[domain];
                    faults.cut.insert(address.ip());
                }
                Action::Outage { silent } => {
                    let outage = if silent {
                        Outage::Silent
                    } else {
                        Outage::Refuse
                    };
                    faults.outage = Some(outage);
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
        self.testbed
            .fleet
            .platform()
            .set_faults(|current| *current = faults);
        if let Some(proxy) = self.testbed.fleet.proxy() {
            proxy.rules().change(|current| {
                Rules::heal(current);
                for (from, to, rule) in rules {
                    current.set_one_way(from, to, rule);
                }
            });
        }
    }

    async fn drain(&mut self, active: &mut ActiveAction) {
        let scope = self.drain_scope(active.action);
        active.has_effect = self.orders.mark_drained(&scope);
        if !active.has_effect {
            return;
        }
        let order = self.orders.next_order(&scope, DrainAction::Drain);
        let vms = match active.action {
            Action::DrainDomain(domain) => {
                self.orders.publish(&self.testbed.fleet, order);
                self.testbed.fleet.layout().vms_of(domain)
            }
            Action::DrainVm(vm) => {
                let mut nodes = self.responsive_nodes();
                nodes.shuffle(&mut self.rng);
                self.orders.send(&self.testbed.fleet, &nodes, order).await;
                vec![vm]
            }
            _ => Vec::new(),
        };
        self.watch_quiet_scope(active, invariant::DRAINED_GETS_NO_WORK, vms);
    }

    fn drain_scope(&self, action: Action) -> DrainScope {
        let layout = self.testbed.fleet.layout();
        match action {
            Action::DrainVm(vm) => DrainScope::Vm(layout.vms[vm].vm.clone()),
            Action::DrainDomain(domain) => DrainScope::Domain(layout.domains[domain].clone()),
            other => unreachable!("{other} has no drain scope"),
        }
    }

    fn watch_quiet_scope(
        &mut self,
        active: &ActiveAction,
        invariant: &'static str,
        vms: Vec<usize>,
    ) {
        if active.has_effect {
            let scope = QuietScope::new(invariant, vms, Instant::now());
            self.quiet_scopes.insert(scope_key(active.action), scope);
        }
    }

    async fn kill(&mut self, active: &mut ActiveAction, vms: Vec<usize>) {
        let running = self.testbed.fleet.running();
        let stopping = &self.stopping;
        let can_be_killed = |vm: &usize| running.contains(vm) && !stopping.contains_key(vm);
        active.killed = vms.into_iter().filter(can_be_killed).collect();
        self.poll_statuses(&active.killed.clone()).await;
        for &vm in &active.killed {
            self.testbed.fleet.kill(vm);
            self.testbed.upstreams[vm].state().forget_statements();
        }
    }

    fn stop(&mut self, active: &mut ActiveAction, vm: usize) {
        let is_responsive = self.responsive_nodes().contains(&vm);
        active.has_effect = is_responsive && !self.stopping.contains_key(&vm);
        if !active.has_effect {
            return;
        }
        if let Some(node) = self.testbed.fleet.node(vm) {
            node.terminate();
            self.stopping.insert(vm, Instant::now());
        }
    }

    /// Stops one node of each failure domain in turn, while no other fault can cut requests.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started or does not serve in time.
    pub(crate) async fn stop_without_faults(&mut self) -> Result<(), BenchError> {
        for domain in 0..self.testbed.fleet.layout().domains.len() {
            let vms = self.testbed.fleet.layout().vms_of(domain);
            let Some(&vm) = vms
                .iter()
                .find(|&&vm| self.testbed.fleet.node(vm).is_some())
            else {
                continue;
            };
            if let Some(node) = self.testbed.fleet.node(vm) {
                node.terminate();
            }
            self.stopping.insert(vm, Instant::now());
            self.finish_stop(vm).await?;
            self.testbed
                .fleet
                .wait_serving(&[vm], SERVE_TIMEOUT)
                .await?;
        }
        Ok(())
    }

    fn pause(&mut self, active: &mut ActiveAction, vm: usize) {
        active.has_effect =
            self.responsive_nodes().contains(&vm) && !self.stopping.contains_key(&vm);
        if !active.has_effect {
            return;
        }
        if let Some(node) = self.testbed.fleet.node_mut(vm) {
            node.pause();
        }
    }

    fn send_crash_request(&mut self) {
        self.crash_requests += 1;
        let label = format!("crash-{}", self.crash_requests);
        let mut workload = self.testbed.workload(&label, 1.0);
        workload.kinds.retain(|kind| !kind.keyed);
        let Some(kind) = workload.kinds.first_mut() else {
            return;
        };
        kind.query = format!("crash={}", self.crash_requests);
        workload.max_sends = CRASH_SENDS;
        workload.deadline = CRASH_DEADLINE;
        let call = CallerLoad::call_once(self.testbed.targets(), workload, self.crash_requests);
        actix_rt::spawn(call);
    }
}

fn scope_key(action: Action) -> String {
    action.to_string()
}
