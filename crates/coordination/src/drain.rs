//! Operators' orders that take a failure domain or a VM out of service and back.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::name::{DomainName, VmName};

/// What an order refers to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainScope {
    /// A whole failure domain.
    Domain(DomainName),
    /// One VM.
    Vm(VmName),
}

impl fmt::Display for DrainScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Domain(domain) => write!(f, "domain {domain}"),
            Self::Vm(vm) => write!(f, "vm {vm}"),
        }
    }
}

/// Whether an order takes its scope out of service or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainAction {
    /// The scope gets no new work.
    Drain,
    /// The scope gets work again.
    Restore,
}

/// One order of an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// Order number; the highest one for a scope is in force.
    pub number: u64,
    /// What the order refers to.
    pub scope: DrainScope,
    /// What is to be done.
    pub action: DrainAction,
}

/// The newest order of each scope.
///
/// Merging is commutative, associative and idempotent, so crossed and repeated
/// orders end the same on every node. Two orders with one number resolve to
/// the draining one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainList {
    orders: BTreeMap<DrainScope, (u64, DrainAction)>,
}

impl DrainList {
    /// Merges one order and returns whether it changed the list.
    pub fn merge(&mut self, order: &DrainOrder) -> bool {
        let known = self.orders.get(&order.scope).copied();
        if known.is_some_and(|known| !supersedes(order, known)) {
            return false;
        }
        self.orders
            .insert(order.scope.clone(), (order.number, order.action));
        true
    }

    /// Returns whether a VM of a failure domain must get no new work.
    #[must_use]
    pub fn is_drained(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.drains(&DrainScope::Vm(vm.clone())) || self.drains(&DrainScope::Domain(domain.clone()))
    }

    /// Iterates over the newest order of each scope.
    pub fn iter(&self) -> impl Iterator<Item = DrainOrder> + '_ {
        self.orders
            .iter()
            .map(|(scope, &(number, action))| DrainOrder {
                number,
                scope: scope.clone(),
                action,
            })
    }

    /// Returns the highest order number of the list.
    #[must_use]
    pub fn highest_number(&self) -> u64 {
        self.orders
            .values()
            .map(|&(number, _)| number)
            .max()
            .unwrap_or(0)
    }

    fn drains(&self, scope: &DrainScope) -> bool {
        self.orders
            .get(scope)
            .is_some_and(|&(_, action)| action == DrainAction::Drain)
    }
}

fn supersedes(order: &DrainOrder, (number, action): (u64, DrainAction)) -> bool {
    order.number > number
        || (order.number == number
            && order.action == DrainAction::Drain
            && action == DrainAction::Restore)
}
