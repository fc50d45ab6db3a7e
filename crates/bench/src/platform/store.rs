//! Key-value store with one increasing revision and enough history to serve stale values.

use std::{collections::BTreeMap, sync::Arc};

use serde::Serialize;

/// Maximum bytes of values in one response to a watch; a larger single value is sent alone.
const MAX_ANSWER_BYTES: usize = 1_000_000;
/// Number of revisions kept of each key.
const MAX_REVISIONS: usize = 64;

/// Value of a key at a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Name of the key.
    pub key: Arc<str>,
    /// Revision of the store that the write created.
    pub revision: u64,
    /// Text of the value.
    pub value: Arc<str>,
}

/// Response to a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WatchAnswer {
    /// Revision from which the next watch continues.
    pub revision: u64,
    /// Newest values of the keys written since the requested revision, oldest first.
    pub events: Vec<Entry>,
}

/// The changes that a watch requests were compacted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Key-value store with one increasing revision.
#[derive(Clone, Debug, Default)]
pub struct Store {
    revision: u64,
    floor: u64,
    keys: BTreeMap<Arc<str>, Vec<Entry>>,
}

impl Store {
    /// Writes a value and returns its revision.
    pub fn put(&mut self, key: &str, value: &str) -> u64 {
        self.revision += 1;
        let key: Arc<str> = key.into();
        let entry = Entry {
            key: Arc::clone(&key),
            revision: self.revision,
            value: value.into(),
        };
        let entries = self.keys.entry(key).or_default();
        entries.push(entry);
        if entries.len() > MAX_REVISIONS {
            entries.remove(0);
        }
        self.revision
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Discards the watch history up to a revision; watches from before it fail with [`Gone`].
    pub fn compact(&mut self, revision: u64) {
        self.floor = self.floor.max(revision.min(self.revision));
    }

    /// Returns the value of a key as of a revision.
    #[must_use]
    pub fn get(&self, key: &str, at: u64) -> Option<&Entry> {
        let entries = self.keys.get(key)?;
        entries.iter().rev().find(|entry| entry.revision <= at)
    }

    /// Returns the newest values of the keys written after `after` and up to `at`.
    ///
    /// # Errors
    ///
    /// Returns an error when the history after `after` was compacted.
    pub fn since(&self, after: u64, at: u64) -> Result<WatchAnswer, Gone> {
        if after < self.floor {
            return Err(Gone);
        }
        let newest = self.keys.keys().filter_map(|key| self.get(key, at));
        let mut events: Vec<Entry> = newest.filter(|e| e.revision > after).cloned().collect();
        events.sort_by_key(|event| event.revision);
        Ok(bounded_answer(events, at))
    }
}

fn bounded_answer(events: Vec<Entry>, at: u64) -> WatchAnswer {
    let mut answer = WatchAnswer {
        revision: at,
        events: Vec::new(),
    };
    let mut bytes = 0;
    for event in events {
        bytes += event.value.len();
        if bytes > MAX_ANSWER_BYTES && !answer.events.is_empty() {
            answer.revision = answer.events.last().map_or(at, |last| last.revision);
            return answer;
        }
        answer.events.push(event);
    }
    answer
}

#[cfg(test)]
mod tests;
