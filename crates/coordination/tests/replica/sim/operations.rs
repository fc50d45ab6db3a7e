//! Operations and faults that tests apply to a simulation.

use wagtaillever_coordination::DrainOrder;

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

    /// Drops all messages from one failure domain to another.
    pub(crate) fn block(&mut self, from: &str, to: &str) {
        self.blocked.insert((from.into(), to.into()));
    }
}
