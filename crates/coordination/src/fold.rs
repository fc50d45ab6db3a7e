//! Folds release notes into the configuration in sequence order, regardless of arrival order.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    config::Config,
    error::NoteError,
    history::{History, Verdict},
    sequence::Sequence,
};

/// Current configuration, recently folded notes, and notes buffered behind a sequence gap.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    config: Arc<Config>,
    history: History,
    pending: BTreeMap<Sequence, Arc<[u8]>>,
}

/// Outcome of a folded note or an installed snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldEvent {
    /// A note is in force.
    Accepted(Sequence),
    /// A note was refused; it consumed its sequence number and changed nothing else.
    Refused(Sequence, Arc<str>),
    /// A snapshot replaced the configuration.
    Installed(Sequence),
}

/// Maximum number of notes buffered behind a sequence gap.
const MAX_PENDING: usize = 1024;
/// Maximum total size of the notes buffered behind a sequence gap.
const MAX_PENDING_BYTES: usize = 8 << 20;

impl Fold {
    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Returns the sequence of the configuration in force.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.config.sequence
    }

    /// Returns the log of recently folded notes.
    #[must_use]
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the next missing sequence if later notes are buffered.
    #[must_use]
    pub fn gap(&self) -> Option<Sequence> {
        (!self.pending.is_empty()).then(|| self.sequence().next())
    }

    /// Buffers one note and folds all notes that are next in sequence.
    ///
    /// When the buffer exceeds its limits, the notes with the highest sequences are
    /// dropped and have to be inserted again.
    pub fn insert(&mut self, sequence: Sequence, text: Arc<[u8]>) -> Vec<FoldEvent> {
        if sequence > self.sequence() {
            self.pending.entry(sequence).or_insert(text);
        }
        let events = self.fold_pending();
        self.trim_pending();
        events
    }

    fn trim_pending(&mut self) {
        while self.pending.len() > MAX_PENDING || self.pending_bytes() > MAX_PENDING_BYTES {
            self.pending.pop_last();
        }
    }

    fn pending_bytes(&self) -> usize {
        self.pending.values().map(|text| text.len()).sum()
    }

    /// Replaces the configuration with a newer snapshot; ignores an older or equal one.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the snapshot breaks; the configuration is then unchanged.
    pub fn install(&mut self, snapshot: Config) -> Result<Vec<FoldEvent>, NoteError> {
        if snapshot.sequence <= self.sequence() {
            return Ok(Vec::new());
        }
        snapshot.validate()?;
        let sequence = snapshot.sequence;
        self.pending = self.pending.split_off(&sequence.next());
        self.history.clear();
        self.config = Arc::new(snapshot);
        let mut events = vec![FoldEvent::Installed(sequence)];
        events.extend(self.fold_pending());
        Ok(events)
    }

    fn fold_pending(&mut self) -> Vec<FoldEvent> {
        let mut events = Vec::new();
        while let Some(text) = self.pending.remove(&self.sequence().next()) {
            events.push(self.fold_next(text));
        }
        events
    }

    fn fold_next(&mut self, text: Arc<[u8]>) -> FoldEvent {
        let sequence = self.sequence().next();
        match self.config.apply_text(sequence, &text) {
            Ok(config) => {
                self.replace(config);
                self.history.push(sequence, text, Verdict::Accepted);
                FoldEvent::Accepted(sequence)
            }
            Err(err) => {
                let reason: Arc<str> = err.to_string().into();
                let mut config = Config::clone(&self.config);
                config.sequence = sequence;
                self.replace(config);
                let verdict = Verdict::Refused(Arc::clone(&reason));
                self.history.push(sequence, text, verdict);
                FoldEvent::Refused(sequence, reason)
            }
        }
    }

    fn replace(&mut self, config: Config) {
        assert!(
            config.sequence > self.config.sequence,
            "configuration sequence must increase"
        );
        self.config = Arc::new(config);
    }
}
