//! Delays from the publication of notes until they are in force.

use crate::{
    converge::{notes::PublishedNote, spans::UnreachableSpans},
    fleet::Event,
};

/// Delays in milliseconds from publication until in force.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Delays {
    /// Delays on nodes that were reachable all the time.
    pub(crate) direct_ms: Vec<u64>,
    /// Delays on nodes that were unreachable for a span, measured from its end.
    pub(crate) recovery_ms: Vec<u64>,
    /// Number of pairs of node and accepted note for which the note was never in force.
    pub(crate) missing: u64,
}

impl Delays {
    /// Adds the delays of all notes on a node, from the events of its current process.
    pub(crate) fn add(
        &mut self,
        node: usize,
        events: &[Event],
        published: &[PublishedNote],
        spans: &UnreachableSpans,
    ) {
        for note in published.iter().filter(|note| note.is_valid) {
            let mut applied = events
                .iter()
                .filter(|e| e.applied_sequence() >= Some(note.note));
            let Some(event) = applied.next() else {
                self.missing += 1;
                continue;
            };
            let (start, is_delayed) = spans.delay_start(node, note.at_ms, event.at.wall_ms);
            let delay = event.at.wall_ms.saturating_sub(start);
            match is_delayed {
                true => self.recovery_ms.push(delay),
                false => self.direct_ms.push(delay),
            }
        }
    }

    /// Sorts the delays, as `quantile` requires.
    pub(crate) fn sort(&mut self) {
        self.direct_ms.sort_unstable();
        self.recovery_ms.sort_unstable();
    }
}

/// Returns a quantile of sorted values by nearest rank; 0 if there are none.
pub(crate) fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0;
    };
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.saturating_sub(1).min(last)]
}

#[cfg(test)]
mod tests;
