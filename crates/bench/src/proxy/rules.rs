//! What the proxy does with traffic from one place to another.

use std::{collections::HashMap, sync::Arc};

use parking_lot::RwLock;
use tokio::sync::watch;

/// What becomes of traffic in one direction; of several rules the highest holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rule {
    /// It passes.
    #[default]
    Pass,
    /// It passes after that many microseconds.
    Delay(u64),
    /// Connections are cut after that many bytes.
    CutAfter(u64),
    /// The receiver's side of a connection ends, the sender's stays open without an answer.
    HalfOpen,
    /// Nothing arrives; what was sent is held until the rule ends.
    Hold,
    /// Connections are reset, new ones too.
    Cut,
}

/// Rules between failure domains and for single VMs, by position.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    domains: HashMap<(usize, usize), Rule>,
    vms: HashMap<usize, Rule>,
    between: Rule,
}

/// Place of one end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// Position of the failure domain.
    pub(crate) domain: usize,
    /// Position of the VM.
    pub(crate) vm: usize,
}

impl Rules {
    /// Sets the rule for traffic between different failure domains.
    pub(crate) fn set_cross_domain(&mut self, rule: Rule) {
        self.between = rule;
    }

    /// Sets the rule for traffic from one failure domain to another.
    pub(crate) fn set_one_way(&mut self, from: usize, to: usize, rule: Rule) {
        self.domains.insert((from, to), rule);
    }

    /// Sets the rule for traffic between two failure domains, both ways.
    pub(crate) fn set_both_ways(&mut self, one: usize, other: usize, rule: Rule) {
        self.set_one_way(one, other, rule);
        self.set_one_way(other, one, rule);
    }

    /// Sets the rule for all traffic of a VM.
    pub(crate) fn set_vm(&mut self, vm: usize, rule: Rule) {
        self.vms.insert(vm, rule);
    }

    /// Ends all rules but the one between different failure domains.
    pub(crate) fn heal(&mut self) {
        self.domains.clear();
        self.vms.clear();
    }

    /// Returns the rule for traffic from one place to another.
    pub(crate) fn rule(&self, from: Place, to: Place) -> Rule {
        let domains = self.domains.get(&(from.domain, to.domain));
        let from_vm = self.vms.get(&from.vm);
        let to_vm = self.vms.get(&to.vm);
        let named = [domains, from_vm, to_vm].into_iter().flatten().max();
        let between = if from.domain == to.domain {
            Rule::Pass
        } else {
            self.between
        };
        named.copied().unwrap_or_default().max(between)
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
    /// Changes the rules; connections that are open follow at once.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Rules)) {
        change(&mut self.rules.write());
        self.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns the rule for traffic from one place to another.
    pub(crate) fn rule(&self, from: Place, to: Place) -> Rule {
        self.rules.read().rule(from, to)
    }

    /// Returns a receiver that is told of each change.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

#[cfg(test)]
mod tests;
