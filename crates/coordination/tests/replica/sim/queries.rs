//! Queries of the simulation state.

use wagtaillever_coordination::{Overlay, Replica};

use super::Sim;

impl Sim {
    pub(crate) fn running(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.iter().filter_map(|node| node.replica.as_ref())
    }

    pub(crate) fn all_have(&self, sequence: u64) -> bool {
        self.running().all(|r| r.config().sequence.0 >= sequence)
    }

    pub(crate) fn all_serve(&self) -> bool {
        self.running().all(Replica::is_serving)
    }

    /// Returns the node indices of a failure domain in order of position in its tree.
    pub(crate) fn by_position(&self, domain: &str) -> Vec<usize> {
        let overlay = Overlay::new(&self.platform.vms);
        let domain = domain.into();
        let index_of = |vm| self.nodes.iter().position(|node| node.entry.vm == vm);
        let nodes = overlay.nodes(&domain).iter();
        nodes
            .filter_map(|entry| index_of(entry.vm.clone()))
            .collect()
    }

    pub(crate) fn describe(&self) -> String {
        let mut text = String::new();
        for node in &self.nodes {
            let Some(replica) = &node.replica else {
                continue;
            };
            text += &format!(
                "\n{} note {} highest {} vms {} {:?} {:?} {:?} neighbours {:?}",
                node.entry.vm,
                replica.config().sequence,
                replica.highest_sequence(),
                replica.vms().number,
                node.rule,
                replica.join_wait(),
                node.mode,
                replica
                    .neighbours()
                    .iter()
                    .map(|v| v.as_str().to_string())
                    .collect::<Vec<_>>(),
            );
        }
        text
    }
}
