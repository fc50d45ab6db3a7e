//! Operators' drain orders, which take a failure domain or a VM out of service or restore it.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::name::{DomainName, VmName};

/// Scope of a drain order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainScope {
    /// A failure domain with all its VMs.
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

/// Whether an order drains or restores its scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainAction {
    /// The scope gets no new work.
    Drain,
    /// The scope gets work again.
    Restore,
}

/// A drain order issued by an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// Order number; the order with the highest number for a scope is in force.
    pub number: u64,
    /// Failure domain or VM that the order applies to.
    pub scope: DrainScope,
    /// Whether to drain or restore the scope.
    pub action: DrainAction,
}

/// The newest order of each scope.
///
/// Merging is commutative, associative and idempotent, so reordered and repeated orders yield the
/// same list on every node. Of two orders with the same number, the one that drains wins.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainList {
    orders: BTreeMap<DrainScope, (u64, DrainAction)>,
}

impl DrainList {
    /// Merges an order and returns whether the list changed.
    pub fn merge(&mut self, order: &DrainOrder) -> bool {
        let current = self.orders.get(&order.scope).copied();
        if current.is_some_and(|current| !supersedes(order, current)) {
            return false;
        }
        self.orders
            .insert(order.scope.clone(), (order.number, order.action));
        true
    }

    /// Returns whether a VM or its failure domain is drained and must get no new work.
    #[must_use]
    pub fn is_drained(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.is_scope_drained(&DrainScope::Vm(vm.clone()))
            || self.is_scope_drained(&DrainScope::Domain(domain.clone()))
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

    /// Returns the highest order number in the list, or 0 if it is empty.
    #[must_use]
    pub fn highest_number(&self) -> u64 {
        self.orders
            .values()
            .map(|&(number, _)| number)
            .max()
            .unwrap_or(0)
    }

    fn is_scope_drained(&self, scope: &DrainScope) -> bool {
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
