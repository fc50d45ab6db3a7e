//! Rules that the proxy applies to traffic between VMs.

use std::{collections::HashMap, sync::Arc};

use parking_lot::RwLock;
use tokio::sync::watch;

/// Treatment of traffic in one direction; of several rules, the last in this order applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    /// Traffic is forwarded.
    #[default]
    Pass,
    /// Traffic is forwarded after that many microseconds.
    Delay(u64),
    /// Connections are reset after that many bytes.
    CutAfter(u64),
    /// Connections close on the receiver's side; the sender's side stays open without an answer.
    HalfOpen,
    /// Traffic is held until the rule is removed.
    Hold,
    /// Open and new connections are reset.
    Cut,
}

/// Rules between failure domains and for single VMs, by index.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    domains: HashMap<(usize, usize), Rule>,
    vms: HashMap<usize, Rule>,
    cross_domain: Rule,
}

/// VM and failure domain at one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// Index of the failure domain.
    pub(crate) domain: usize,
    /// Index of the VM.
    pub(crate) vm: usize,
}

impl Rules {
    /// Sets the rule for traffic between different failure domains.
    pub(crate) fn set_cross_domain(&mut self, rule: Rule) {
        self.cross_domain = rule;
    }

    /// Sets the rule for traffic from one failure domain to another.
    pub(crate) fn set_one_way(&mut self, from: usize, to: usize, rule: Rule) {
        self.domains.insert((from, to), rule);
    }

    /// Sets the rule for traffic between two failure domains in both directions.
    pub(crate) fn set_both_ways(&mut self, one: usize, other: usize, rule: Rule) {
        self.set_one_way(one, other, rule);
        self.set_one_way(other, one, rule);
    }

    /// Sets the rule for all traffic to and from a VM.
    pub(crate) fn set_vm(&mut self, vm: usize, rule: Rule) {
        self.vms.insert(vm, rule);
    }

    /// Removes all rules but the one for traffic between different failure domains.
    pub(crate) fn heal(&mut self) {
        self.domains.clear();
        self.vms.clear();
    }

    /// Returns the rule for traffic from one VM to another.
    pub(crate) fn rule(&self, from: Location, to: Location) -> Rule {
        let domain_rule = self.domains.get(&(from.domain, to.domain));
        let from_rule = self.vms.get(&from.vm);
        let to_rule = self.vms.get(&to.vm);
        let specific = [domain_rule, from_rule, to_rule]
            .into_iter()
            .flatten()
            .max();
        let cross_domain = if from.domain == to.domain {
            Rule::Pass
        } else {
            self.cross_domain
        };
        specific.copied().unwrap_or_default().max(cross_domain)
    }
}

/// Shared rules that can be changed while the proxy runs.
#[derive(Clone)]
pub(crate) struct SharedRules {
    rules: Arc<RwLock<Rules>>,
    changed: watch::Sender<u64>,
}

impl Default for SharedRules {
    fn default() -> Self {
        Self {
            rules: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl SharedRules {
    /// Changes the rules; they apply to open connections immediately.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.rules.write());
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns the rule for traffic from one VM to another.
    pub(crate) fn rule(&self, from: Location, to: Location) -> Rule {
        self.rules.read().rule(from, to)
    }

    /// Returns a receiver that is notified of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

#[cfg(test)]
mod tests;
