//! Detection of regressions and divergence in the statuses and events of nodes.

use std::collections::{BTreeMap, BTreeSet};

use wagtaillever_coordination::StatusReport;

use crate::fleet::{Event, EventKind};

/// Statuses and events that nodes reported so far, by node index.
#[derive(Debug)]
pub(crate) struct Observer {
    highest: Vec<u64>,
    digests: BTreeMap<u64, BTreeSet<String>>,
    verdicts: BTreeMap<u64, BTreeSet<bool>>,
    regressions: Vec<String>,
}

/// Phase in which a node serves requests.
const SERVING_PHASE: &str = "serving";

impl Observer {
    /// Returns an observer for the given number of nodes.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            highest: vec![0; nodes],
            digests: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            regressions: Vec::new(),
        }
    }

    /// Records the status of a node.
    pub(crate) fn record_status(&mut self, node: usize, status: &StatusReport) {
        let note = status.note.0;
        let digests = self.digests.entry(note).or_default();
        digests.insert(status.digest.clone());
        if status.phase == SERVING_PHASE {
            self.check_sequence(node, note, &format!("{} serves", status.vm));
        }
    }

    /// Records all events of one process of a node, oldest first.
    pub(crate) fn record_events(&mut self, node: usize, events: &[Event]) {
        let mut last = 0;
        for event in events {
            match event.kind() {
                EventKind::Folded { note, accepted } => {
                    self.verdicts.entry(note).or_default().insert(accepted);
                    self.check_increase(&mut last, note, &event.vm);
                }
                EventKind::Installed { note } => self.check_increase(&mut last, note, &event.vm),
                EventKind::Phase(_) | EventKind::Other => {}
            }
        }
        self.highest[node] = self.highest[node].max(last);
    }

    /// Returns descriptions of the cases in which a node returned to an older sequence.
    pub(crate) fn regressions(&self) -> &[String] {
        &self.regressions
    }

    /// Returns the sequences at which the configurations or verdicts of nodes differ.
    pub(crate) fn diverging_sequences(&self) -> Vec<u64> {
        let digests = self.digests.iter().filter(|(_, seen)| seen.len() > 1);
        let verdicts = self.verdicts.iter().filter(|(_, seen)| seen.len() > 1);
        let digests = digests.map(|(note, _)| *note);
        let diverging_sequences: BTreeSet<u64> =
            digests.chain(verdicts.map(|(note, _)| *note)).collect();
        diverging_sequences.into_iter().collect()
    }

    fn check_sequence(&mut self, node: usize, note: u64, what: &str) {
        let highest = self.highest[node];
        if note < highest {
            let text = format!("{what} note {note} after note {highest}");
            self.regressions.push(text);
        }
        self.highest[node] = highest.max(note);
    }

    fn check_increase(&mut self, last: &mut u64, note: u64, vm: &str) {
        if note <= *last {
            let text = format!("{vm} applied note {note} after note {last}");
            self.regressions.push(text);
        }
        *last = note.max(*last);
    }
}

#[cfg(test)]
mod tests;
