//! What the tests do to a simulation.

use wagtaillever_coordination::DrainOrder;

use super::Sim;
use crate::event::Kind;

impl Sim {
    pub(crate) fn kill(&mut self, number: usize) {
        self.nodes[number].replica = None;
        let gone = self.links.iter().filter(|(_, end)| end.node == number);
        let gone: Vec<_> = gone.map(|(id, end)| (*id, end.other)).collect();
        for (id, other) in gone {
            self.links.remove(&id);
            self.push(2, Kind::Down(other));
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

    pub(crate) fn order(&mut self, number: usize, order: &DrainOrder) {
        let now = self.now();
        if let Some(replica) = &mut self.nodes[number].replica {
            replica.apply_drain_order(order, now);
        }
        self.act(number);
    }

    /// Cuts all messages from one failure domain to another.
    pub(crate) fn cut(&mut self, from: &str, to: &str) {
        self.cuts.insert((from.into(), to.into()));
    }
}
