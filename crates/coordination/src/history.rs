//! Bounded log of folded notes, used to send deltas to peers.

use std::{collections::VecDeque, sync::Arc};

use crate::sequence::Sequence;

/// Result of folding a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The note is in force.
    Accepted,
    /// The note was refused for the given reason and changed nothing.
    Refused(Arc<str>),
}

/// The most recently folded notes in sequence order, without gaps.
#[derive(Clone, Debug, Default)]
pub struct History {
    entries: VecDeque<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    sequence: Sequence,
    text: Arc<[u8]>,
    verdict: Verdict,
}

/// Maximum number of notes kept.
const MAX_ENTRIES: usize = 256;
/// Maximum total size of the notes kept.
const MAX_BYTES: usize = 8 << 20;

impl History {
    /// Returns the verdict on a note, if the history still holds it.
    #[must_use]
    pub fn verdict(&self, sequence: Sequence) -> Option<&Verdict> {
        self.entries
            .iter()
            .find(|entry| entry.sequence == sequence)
            .map(|entry| &entry.verdict)
    }

    /// Returns the notes after a sequence, or `None` if some of them are no longer retained.
    #[must_use]
    pub fn since(&self, after: Sequence) -> Option<Vec<(Sequence, Arc<[u8]>)>> {
        let first = self.entries.front()?.sequence;
        if after.next() < first {
            return None;
        }
        let newer = self.entries.iter().filter(|entry| entry.sequence > after);
        Some(
            newer
                .map(|entry| (entry.sequence, Arc::clone(&entry.text)))
                .collect(),
        )
    }

    pub(crate) fn push(&mut self, sequence: Sequence, text: Arc<[u8]>, verdict: Verdict) {
        self.entries.push_back(Entry {
            sequence,
            text,
            verdict,
        });
        while self.entries.len() > MAX_ENTRIES || self.bytes() > MAX_BYTES {
            self.entries.pop_front();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    fn bytes(&self) -> usize {
        self.entries.iter().map(|entry| entry.text.len()).sum()
    }
}
