//! Injection of faults.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom, seq::index};
use tokio::time::sleep;

use crate::{
    clock::wall_ms,
    converge::{fault::ConvergeFault, observer::Observer, spans::UnreachableSpans},
    error::BenchError,
    fleet::Fleet,
    platform::Outage,
    proxy::{Rule, Rules},
};

/// Share of stale answers of the platform, in percent.
const STALE_PERCENT: u8 = 70;
/// One in this many nodes is paused.
const NODES_PER_PAUSED: usize = 10;
/// Time until killed nodes are replaced.
const NODE_DOWNTIME: Duration = Duration::from_millis(700);

/// Injects the fault of a run and records when nodes are unreachable.
pub(crate) struct Injector<'a> {
    pub(crate) fault: ConvergeFault,
    pub(crate) fleet: &'a mut Fleet,
    pub(crate) spans: &'a mut UnreachableSpans,
    pub(crate) observer: &'a mut Observer,
    pub(crate) rng: &'a mut SmallRng,
}

impl Injector<'_> {
    /// Starts the fault.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) async fn begin(&mut self) -> Result<(), BenchError> {
        match self.fault {
            ConvergeFault::None | ConvergeFault::RelayKill => {}
            ConvergeFault::Herd => {
                let victims = self.random_half_domain();
                self.kill(&victims).await;
                sleep(NODE_DOWNTIME).await;
            }
            ConvergeFault::Storm => {
                let all = self.fleet.running();
                self.kill(&all).await;
                self.start_replacements()?;
            }
            ConvergeFault::PlatformOutage => self.begin_outage(),
            ConvergeFault::PlatformStale => {
                self.fleet.platform().freeze(STALE_PERCENT);
                self.fleet.platform().set_faults(|faults| {
                    faults.crossed = true;
                    faults.repeated = true;
                });
            }
            ConvergeFault::Partition => self.begin_partition(),
            ConvergeFault::OneWay => self.begin_one_way(),
            ConvergeFault::Pause => self.begin_pause().await,
        }
        Ok(())
    }

    /// Continues the fault after a note was published.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) async fn continue_fault(&mut self) -> Result<(), BenchError> {
        self.start_replacements()?;
        if self.fault == ConvergeFault::RelayKill {
            let relays = self.relay_per_domain();
            let victim = relays.choose(self.rng).copied();
            self.kill(victim.as_slice()).await;
        }
        Ok(())
    }

    /// Ends the fault.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) fn end(&mut self) -> Result<(), BenchError> {
        self.start_replacements()?;
        let now = wall_ms();
        self.fleet.platform().clear_faults();
        if let Some(proxy) = self.fleet.proxy() {
            proxy.rules().change(Rules::heal);
        }
        for vm in self.fleet.running() {
            let node = self.fleet.node_mut(vm);
            if let Some(node) = node.filter(|node| node.is_paused()) {
                node.resume();
            }
            self.spans.end(vm, now);
        }
        Ok(())
    }

    fn begin_outage(&mut self) {
        let silent = self.rng.random_bool(0.5);
        let outage = if silent {
            Outage::Silent
        } else {
            Outage::Refuse
        };
        let platform = self.fleet.platform();
        platform.set_faults(|faults| faults.outage = Some(outage));
        let all = self.fleet.running();
        self.mark_unreachable(&all);
    }

    fn begin_partition(&mut self) {
        let domains = self.fleet.layout().domains.len();
        let isolated = domains / 2..domains;
        self.change_rules(|rules| {
            for inside in isolated.clone() {
                for outside in 0..domains / 2 {
                    rules.set_both_ways(inside, outside, Rule::Hold);
                }
            }
        });
        for domain in isolated {
            self.cut_platform(domain);
            let vms = self.fleet.layout().vms_of(domain);
            self.mark_unreachable(&vms);
        }
    }

    /// Cuts failure domain 1 off from the platform and holds traffic to it from all domains but the
    /// last.
    fn begin_one_way(&mut self) {
        let domains = self.fleet.layout().domains.len();
        let target = 1 % domains;
        let allowed = if domains > 2 { domains - 1 } else { target };
        self.change_rules(|rules| {
            for other in (0..domains).filter(|&other| other != target && other != allowed) {
                rules.set_one_way(other, target, Rule::Hold);
            }
        });
        self.cut_platform(target);
        if allowed == target {
            let vms = self.fleet.layout().vms_of(target);
            self.mark_unreachable(&vms);
        }
    }

    async fn begin_pause(&mut self) {
        let count = self.fleet.layout().vms.len().div_ceil(NODES_PER_PAUSED);
        let mut paused = self.relay_per_domain();
        paused.truncate(1);
        let others = index::sample(self.rng, self.fleet.layout().vms.len(), count);
        paused.extend(others);
        paused.dedup();
        self.poll_statuses(&paused).await;
        self.mark_unreachable(&paused);
        for vm in paused {
            if let Some(node) = self.fleet.node_mut(vm) {
                node.pause();
            }
        }
    }

    fn random_half_domain(&mut self) -> Vec<usize> {
        let domain = self.rng.random_range(0..self.fleet.layout().domains.len());
        let vms = self.fleet.layout().vms_of(domain);
        let half = vms.len().div_ceil(2);
        vms.choose_multiple(self.rng, half).copied().collect()
    }

    /// Returns a random relay of each failure domain that has one.
    fn relay_per_domain(&mut self) -> Vec<usize> {
        let watchers = self.fleet.platform().watchers();
        let layout = self.fleet.layout();
        let relays_of = |domain| {
            let vms = layout.vms_of(domain).into_iter();
            let relays = vms.filter(|&vm| watchers.contains(&layout.vms[vm].ip));
            relays.collect::<Vec<_>>()
        };
        let domains = (0..layout.domains.len()).map(relays_of);
        domains
            .filter_map(|relays| relays.choose(self.rng).copied())
            .collect()
    }

    async fn kill(&mut self, vms: &[usize]) {
        self.poll_statuses(vms).await;
        self.mark_unreachable(vms);
        for &vm in vms {
            self.fleet.kill(vm);
        }
    }

    /// Starts a replacement on each VM without a running node.
    fn start_replacements(&mut self) -> Result<(), BenchError> {
        for vm in 0..self.fleet.layout().vms.len() {
            if self.fleet.node(vm).is_none() {
                self.spans.end(vm, wall_ms());
                self.fleet.start(vm)?;
            }
        }
        Ok(())
    }

    async fn poll_statuses(&mut self, vms: &[usize]) {
        let statuses = self.fleet.statuses(vms).await;
        for (vm, status) in vms.iter().zip(statuses) {
            if let Some(status) = status {
                self.observer.record_status(*vm, &status);
            }
        }
    }

    fn mark_unreachable(&mut self, vms: &[usize]) {
        let now = wall_ms();
        for &vm in vms {
            self.spans.begin(vm, now);
        }
    }

    fn cut_platform(&self, domain: usize) {
        let address = self.fleet.layout().platform[domain].ip();
        self.fleet.platform().set_faults(|faults| {
            faults.cut.insert(address);
        });
    }

    fn change_rules(&self, change: impl FnOnce(&mut Rules)) {
        if let Some(proxy) = self.fleet.proxy() {
            proxy.rules().change(change);
        }
    }
}
