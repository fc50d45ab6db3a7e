//! Spans in which a node could not be reached.

/// A span of wall time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    /// Start.
    pub(crate) from: u64,
    /// End; a span that goes on has none.
    pub(crate) to: Option<u64>,
}

/// Spans in which each node could not be reached, by position.
#[derive(Debug)]
pub(crate) struct Spans {
    nodes: Vec<Vec<Span>>,
}

impl Spans {
    /// Returns no spans for as many nodes.
    pub(crate) fn new(nodes: usize) -> Self {
        Self {
            nodes: vec![Vec::new(); nodes],
        }
    }

    /// Starts a span of a node unless one goes on.
    pub(crate) fn begin(&mut self, node: usize, from: u64) {
        let goes_on = self.nodes[node]
            .last()
            .is_some_and(|span| span.to.is_none());
        if !goes_on {
            self.nodes[node].push(Span { from, to: None });
        }
    }

    /// Ends the span of a node that goes on.
    pub(crate) fn end(&mut self, node: usize, to: u64) {
        if let Some(span) = self.nodes[node].last_mut() {
            span.to = span.to.or(Some(to));
        }
    }

    /// Returns the time from which a node can be asked to have a note that was
    /// published at one time and came into force at another, and whether a span delayed it.
    pub(crate) fn reference(&self, node: usize, published: u64, reached: u64) -> (u64, bool) {
        let overlapping = self.nodes[node]
            .iter()
            .filter(|span| span.from < reached && span.to.is_some_and(|to| to > published));
        let last = overlapping.filter_map(|span| span.to).max();
        match last {
            Some(end) => (end, true),
            None => (published, false),
        }
    }
}

#[cfg(test)]
mod tests;
