//! Operations and faults that tests apply to a simulation.

use wagtaillever_coordination::{DrainAction, DrainOrder, DrainScope};

use super::Sim;
use crate::event::EventKind;

impl Sim {
    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes[number].replica = None;
        let closed = self.links.iter().filter(|(_, end)| end.node == number);
        let closed: Vec<_> = closed.map(|(id, end)| (*id, end.other)).collect();
        for (id, other) in closed {
            self.links.remove(&id);
            self.schedule(2, EventKind::LinkDown(other));
        }
    }

    pub(crate) fn publish(&mut self, text: impl Fn(usize) -> String) {
        let text = text(self.platform.notes.len() + 1);
        self.platform.notes.push(text.into_bytes().into());
    }

    /// Publishes a note that adds one service.
    pub(crate) fn publish_service(&mut self) {
        self.publish(|n| format!("note: {n}\nservices: {{add: [{{name: s{n}}}]}}\n"));
    }

    pub(crate) fn apply_order(&mut self, number: usize, order: &DrainOrder) {
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.apply_drain_order(order);
        }
        self.process_outputs(number);
    }

    /// Publishes an order to drain a failure domain through the platform.
    pub(crate) fn publish_order(&mut self, domain: &str) {
        let numbers = self.platform.drains.iter().map(|order| order.number);
        let number = numbers.max().unwrap_or(0) + 1;
        self.platform.drains = vec![DrainOrder {
            number,
            scope: DrainScope::Domain(domain.into()),
            action: DrainAction::Drain,
        }];
    }

    /// Publishes a newer list of the same VMs.
    pub(crate) fn publish_vms(&mut self) {
        self.platform.vms.number += 1;
    }

    /// Drops all messages from one failure domain to another.
    pub(crate) fn block(&mut self, from: &str, to: &str) {
        self.blocked.insert((from.into(), to.into()));
    }
}
