//! Sequence number of a release note.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Position of a release note in the total order in which all nodes fold notes.
///
/// Sequence 0 is the empty configuration before any note.
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
    /// Panics when the sequence space of 2^64 notes is used up.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.checked_add(1).expect("sequence space is used up"))
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
