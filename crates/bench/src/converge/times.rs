//! Times from the publication of notes until they are in force.

use crate::{
    converge::{notes::Published, spans::Spans},
    fleet::Event,
};

/// Times in milliseconds from publication until in force.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Times {
    /// Of nodes that could be reached all the time.
    pub(crate) direct: Vec<u64>,
    /// Of nodes that could not be reached for a span, from its end.
    pub(crate) after: Vec<u64>,
    /// Accepted notes that never came into force on a node, counted by node and note.
    pub(crate) missing: u64,
}

impl Times {
    /// Takes in all events of the process that runs on a node.
    pub(crate) fn add(
        &mut self,
        node: usize,
        events: &[Event],
        published: &[Published],
        spans: &Spans,
    ) {
        for note in published.iter().filter(|note| note.good) {
            let mut reached = events
                .iter()
                .filter(|e| e.applied_sequence() >= Some(note.note));
            let Some(event) = reached.next() else {
                self.missing += 1;
                continue;
            };
            let (from, delayed) = spans.reference(node, note.at_ms, event.at.wall_ms);
            let time = event.at.wall_ms.saturating_sub(from);
            match delayed {
                true => self.after.push(time),
                false => self.direct.push(time),
            }
        }
    }

    /// Sorts the times, as quantiles need it.
    pub(crate) fn sort(&mut self) {
        self.direct.sort_unstable();
        self.after.sort_unstable();
    }
}

/// Returns a quantile of sorted times; 0 when there are none.
pub(crate) fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0;
    };
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.saturating_sub(1).min(last)]
}

#[cfg(test)]
mod tests;
