//! What nodes say over time, and whether any of them ever goes back or differs.

use std::collections::{BTreeMap, BTreeSet};

use wagtaillever_coordination::StatusReport;

use crate::fleet::{Event, EventKind};

/// What nodes said so far, by position.
#[derive(Debug)]
pub(crate) struct Observer {
    highest: Vec<u64>,
    digests: BTreeMap<u64, BTreeSet<String>>,
    verdicts: BTreeMap<u64, BTreeSet<bool>>,
    regressions: Vec<String>,
}

/// Phase in which a node takes work.
const SERVING: &str = "serving";

impl Observer {
    /// Returns an observer that has heard nothing of as many nodes.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            highest: vec![0; nodes],
            digests: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            regressions: Vec::new(),
        }
    }

    /// Takes in the status of a node.
    pub(crate) fn status(&mut self, node: usize, status: &StatusReport) {
        let note = status.note.0;
        let digests = self.digests.entry(note).or_default();
        digests.insert(status.digest.clone());
        if status.phase == SERVING {
            self.reached(node, note, &format!("{} serves", status.vm));
        }
    }

    /// Takes in all events of one process of a node, oldest first.
    pub(crate) fn events(&mut self, node: usize, events: &[Event]) {
        let mut own = 0;
        for event in events {
            match event.kind() {
                EventKind::Folded { note, accepted } => {
                    self.verdicts.entry(note).or_default().insert(accepted);
                    self.rises(&mut own, note, &event.vm);
                }
                EventKind::Installed { note } => self.rises(&mut own, note, &event.vm),
                EventKind::Phase(_) | EventKind::Other => {}
            }
        }
        self.highest[node] = self.highest[node].max(own);
    }

    /// Returns cases of a node that went back.
    pub(crate) fn regressions(&self) -> &[String] {
        &self.regressions
    }

    /// Returns the sequences at which configurations or verdicts differ.
    pub(crate) fn splits(&self) -> Vec<u64> {
        let digests = self.digests.iter().filter(|(_, seen)| seen.len() > 1);
        let verdicts = self.verdicts.iter().filter(|(_, seen)| seen.len() > 1);
        let digests = digests.map(|(note, _)| *note);
        let splits: BTreeSet<u64> = digests.chain(verdicts.map(|(note, _)| *note)).collect();
        splits.into_iter().collect()
    }

    fn reached(&mut self, node: usize, note: u64, what: &str) {
        let highest = self.highest[node];
        if note < highest {
            let text = format!("{what} {note} after it had {highest}");
            self.regressions.push(text);
        }
        self.highest[node] = highest.max(note);
    }

    fn rises(&mut self, own: &mut u64, note: u64, vm: &str) {
        if note <= *own {
            let text = format!("{vm} applied {note} after {own}");
            self.regressions.push(text);
        }
        *own = note.max(*own);
    }
}

#[cfg(test)]
mod tests;
