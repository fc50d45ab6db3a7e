//! Drain orders and states of VMs that a chaotic run publishes.

use std::{collections::BTreeSet, sync::Arc};

use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope, VmEntry, VmState};

use crate::fleet::{Fleet, json};

/// Orders and lists published so far.
#[derive(Default)]
pub(crate) struct Orders {
    number: u64,
    published: Vec<DrainOrder>,
    drained: BTreeSet<DrainScope>,
    leaving: BTreeSet<usize>,
    list: u64,
}

impl Orders {
    /// Returns whether a scope is not drained yet, and drains it then.
    pub(crate) fn begin(&mut self, scope: &DrainScope) -> bool {
        self.drained.insert(scope.clone())
    }

    /// Returns the next order for a scope.
    pub(crate) fn next(&mut self, scope: &DrainScope, action: DrainAction) -> DrainOrder {
        if action == DrainAction::Restore {
            self.drained.remove(scope);
        }
        self.number += 1;
        DrainOrder {
            number: self.number,
            scope: scope.clone(),
            action,
        }
    }

    /// Publishes an order on the platform.
    pub(crate) fn publish(&mut self, fleet: &Fleet, order: DrainOrder) {
        self.published.push(order);
        fleet.platform().publish("drains", &json(&self.published));
    }

    /// Gives an order to the first of the nodes that takes it, or else publishes it.
    pub(crate) async fn tell(&mut self, fleet: &Fleet, vms: &[usize], order: DrainOrder) {
        for &vm in vms {
            let address = fleet.layout().vms[vm].admin;
            if fleet
                .admin()
                .send_order(address, fleet.token(), &order)
                .await
            {
                return;
            }
        }
        self.publish(fleet, order);
    }

    /// Lists a VM as leaving, unless it is listed so already.
    pub(crate) fn leave(&mut self, fleet: &Fleet, vm: usize) -> bool {
        let is_new = self.leaving.insert(vm);
        if is_new {
            self.publish_vms(fleet);
        }
        is_new
    }

    /// Lists a VM as live again.
    pub(crate) fn come_back(&mut self, fleet: &Fleet, vm: usize) {
        self.leaving.remove(&vm);
        self.publish_vms(fleet);
    }

    fn publish_vms(&mut self, fleet: &Fleet) {
        self.list += 1;
        let mut list = fleet.layout().vm_list(1 + self.list);
        for &vm in &self.leaving {
            let entry = VmEntry {
                state: VmState::Leaving,
                ..VmEntry::clone(&list.vms[vm])
            };
            list.vms[vm] = Arc::new(entry);
        }
        fleet.platform().publish("vms", &json(&list));
    }
}
