//! Times during which nodes are unreachable.

/// A span of wall time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// Start of the span.
    pub(crate) from: u64,
    /// End of the span; `None` while it lasts.
    pub(crate) to: Option<u64>,
}

/// Spans during which each node is unreachable, by node index.
#[derive(Debug)]
pub(crate) struct UnreachableSpans {
    nodes: Vec<Vec<Span>>,
}

impl UnreachableSpans {
    /// Returns an empty list of spans for each of the given number of nodes.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            nodes: vec![Vec::new(); nodes],
        }
    }

    /// Starts a span of a node unless one is in progress.
    pub(crate) fn begin(&mut self, node: usize, from: u64) {
        let in_progress = self.nodes[node]
            .last()
            .is_some_and(|span| span.to.is_none());
        if !in_progress {
            self.nodes[node].push(Span { from, to: None });
        }
    }

    /// Ends the span of a node that is in progress, if any.
    pub(crate) fn end(&mut self, node: usize, to: u64) {
        if let Some(span) = self.nodes[node].last_mut() {
            span.to = span.to.or(Some(to));
        }
    }

    /// Returns the time from which the delay of a note on a node counts, and whether a span delayed
    /// the note: the end of the last span between publication and the time at which the note was
    /// in force, or else the publication.
    pub(crate) fn delay_start(&self, node: usize, published: u64, in_force: u64) -> (u64, bool) {
        let overlapping = self.nodes[node]
            .iter()
            .filter(|span| span.from < in_force && span.to.is_some_and(|to| to > published));
        let last_end = overlapping.filter_map(|span| span.to).max();
        match last_end {
            Some(end) => (end, true),
            None => (published, false),
        }
    }
}

#[cfg(test)]
mod tests;
