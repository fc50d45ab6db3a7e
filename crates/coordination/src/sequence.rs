//! Sequence number of a release note.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a release note in the total order in which every node folds notes.
///
/// Sequence 0 stands for the empty configuration before the first note.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Sequence before any release note.
    pub const ZERO: Self = Self(0);

    /// Returns the sequence that directly follows this one.
    ///
    /// # Panics
    ///
    /// Panics if the sequence is `u64::MAX`.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.checked_add(1).expect("sequence number overflow"))
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
