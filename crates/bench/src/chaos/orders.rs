//! Drain orders and VM lists that a chaos run publishes.

use std::{collections::BTreeSet, sync::Arc};

use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope, VmEntry, VmState};

use crate::fleet::{Fleet, json};

/// Drain orders and VM lists published so far.
#[derive(Default)]
pub(crate) struct Orders {
    last_number: u64,
    published: Vec<DrainOrder>,
    drained: BTreeSet<DrainScope>,
    leaving: BTreeSet<usize>,
    vm_lists: u64,
}

impl Orders {
    /// Marks a scope as drained; returns false if it already is.
    pub(crate) fn mark_drained(&mut self, scope: &DrainScope) -> bool {
        self.drained.insert(scope.clone())
    }

    /// Returns an order for a scope with the next order number.
    pub(crate) fn next_order(&mut self, scope: &DrainScope, action: DrainAction) -> DrainOrder {
        if action == DrainAction::Restore {
            self.drained.remove(scope);
        }
        self.last_number += 1;
        DrainOrder {
            number: self.last_number,
            scope: scope.clone(),
            action,
        }
    }

    /// Publishes an order on the platform.
    pub(crate) fn publish(&mut self, fleet: &Fleet, order: DrainOrder) {
        self.published.push(order);
        fleet.platform().publish("drains", &json(&self.published));
    }

    /// Sends an order to the given nodes until one accepts it; publishes it on the platform if none
    /// does.
    pub(crate) async fn send(&mut self, fleet: &Fleet, vms: &[usize], order: DrainOrder) {
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

    /// Lists a VM as leaving; returns false if it already is.
    pub(crate) fn list_leaving(&mut self, fleet: &Fleet, vm: usize) -> bool {
        let is_new = self.leaving.insert(vm);
        if is_new {
            self.publish_vms(fleet);
        }
        is_new
    }

    /// Lists a leaving VM as live.
    pub(crate) fn list_live(&mut self, fleet: &Fleet, vm: usize) {
        self.leaving.remove(&vm);
        self.publish_vms(fleet);
    }

    fn publish_vms(&mut self, fleet: &Fleet) {
        self.vm_lists += 1;
        let mut list = fleet.layout().vm_list(1 + self.vm_lists);
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
