//! Brings faults about and ends them.

use std::time::Duration;

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom, seq::index};
use tokio::time::sleep;

use crate::{
    clock::wall_ms,
    converge::{fault::ConvergeFault, observer::Observer, spans::Spans},
    error::BenchError,
    fleet::Fleet,
    platform::Outage,
    proxy::{Rule, Rules},
};

/// Share of the platform's answers that are old, in percent.
const STALE_PERCENT: u8 = 70;
/// One of so many nodes is paused.
const PAUSED_ONE_OF: usize = 10;
/// Time for which killed nodes stay away.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Fault of a run, and the nodes that it hit.
pub(crate) struct Injector<'a> {
    pub(crate) fault: ConvergeFault,
    pub(crate) fleet: &'a mut Fleet,
    pub(crate) spans: &'a mut Spans,
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
                let herd = self.herd();
                self.kill(&herd).await;
                sleep(DOWN_TIME).await;
            }
            ConvergeFault::Storm => {
                let all = self.fleet.running();
                self.kill(&all).await;
                self.replace_all()?;
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

    /// Goes on with the fault after a note was published.
    ///
    /// # Errors
    ///
    /// Returns an error when a replacement can't be started.
    pub(crate) async fn go_on(&mut self) -> Result<(), BenchError> {
        self.replace_all()?;
        if self.fault == ConvergeFault::RelayKill {
            let relays = self.one_relay_each();
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
        self.replace_all()?;
        let now = wall_ms();
        self.fleet.platform().heal();
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
        self.begin_spans(&all);
    }

    fn begin_partition(&mut self) {
        let domains = self.fleet.layout().domains.len();
        let island = domains / 2..domains;
        self.rules(|rules| {
            for inner in island.clone() {
                for outer in 0..domains / 2 {
                    rules.set_both_ways(inner, outer, Rule::Hold);
                }
            }
        });
        for domain in island {
            self.cut_platform(domain);
            let vms = self.fleet.layout().vms_of(domain);
            self.begin_spans(&vms);
        }
    }

    /// Cuts failure domain 1 from the platform and lets only the last one's traffic in.
    fn begin_one_way(&mut self) {
        let domains = self.fleet.layout().domains.len();
        let hit = 1 % domains;
        let open = if domains > 2 { domains - 1 } else { hit };
        self.rules(|rules| {
            for other in (0..domains).filter(|&other| other != hit && other != open) {
                rules.set_one_way(other, hit, Rule::Hold);
            }
        });
        self.cut_platform(hit);
        if open == hit {
            let vms = self.fleet.layout().vms_of(hit);
            self.begin_spans(&vms);
        }
    }

    async fn begin_pause(&mut self) {
        let count = self.fleet.layout().vms.len().div_ceil(PAUSED_ONE_OF);
        let mut chosen = self.one_relay_each();
        chosen.truncate(1);
        let others = index::sample(self.rng, self.fleet.layout().vms.len(), count);
        chosen.extend(others);
        chosen.dedup();
        self.poll(&chosen).await;
        self.begin_spans(&chosen);
        for vm in chosen {
            if let Some(node) = self.fleet.node_mut(vm) {
                node.pause();
            }
        }
    }

    fn herd(&mut self) -> Vec<usize> {
        let domain = self.rng.random_range(0..self.fleet.layout().domains.len());
        let vms = self.fleet.layout().vms_of(domain);
        let half = vms.len().div_ceil(2);
        vms.choose_multiple(self.rng, half).copied().collect()
    }

    /// Returns one node of each failure domain that watches the platform.
    fn one_relay_each(&mut self) -> Vec<usize> {
        let watchers = self.fleet.platform().watchers();
        let layout = self.fleet.layout();
        let relays = |domain| {
            let vms = layout.vms_of(domain).into_iter();
            let watching = vms.filter(|&vm| watchers.contains(&layout.vms[vm].ip));
            watching.collect::<Vec<_>>()
        };
        let domains = (0..layout.domains.len()).map(relays);
        domains
            .filter_map(|relays| relays.choose(self.rng).copied())
            .collect()
    }

    async fn kill(&mut self, vms: &[usize]) {
        self.poll(vms).await;
        self.begin_spans(vms);
        for &vm in vms {
            self.fleet.kill(vm);
        }
    }

    /// Starts a replacement wherever there is no node.
    fn replace_all(&mut self) -> Result<(), BenchError> {
        for vm in 0..self.fleet.layout().vms.len() {
            if self.fleet.node(vm).is_none() {
                self.spans.end(vm, wall_ms());
                self.fleet.start(vm)?;
            }
        }
        Ok(())
    }

    async fn poll(&mut self, vms: &[usize]) {
        let statuses = self.fleet.statuses(vms).await;
        for (vm, status) in vms.iter().zip(statuses) {
            if let Some(status) = status {
                self.observer.status(*vm, &status);
            }
        }
    }

    fn begin_spans(&mut self, vms: &[usize]) {
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

    fn rules(&self, change: impl FnOnce(&mut Rules)) {
        if let Some(proxy) = self.fleet.proxy() {
            proxy.rules().change(change);
        }
    }
}
