//! What must hold in a run, by name.

use serde::Serialize;

use crate::subcommand::Verdict;

/// Checks of a run and what broke.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    held: Vec<&'static str>,
    broken: Vec<Violation>,
}

/// Something that had to hold and did not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Violation {
    /// Name of the check.
    pub(crate) name: &'static str,
    /// What was seen.
    pub(crate) seen: String,
}

impl Checks {
    /// Records whether a check held, with what was seen, and returns it.
    pub(crate) fn expect(&mut self, name: &'static str, holds: bool, seen: String) -> bool {
        if holds {
            self.held.push(name);
        } else {
            self.broken.push(Violation { name, seen });
        }
        holds
    }

    /// Records a check that holds when nothing was counted.
    pub(crate) fn expect_zero(&mut self, name: &'static str, counted: u64) -> bool {
        self.expect(name, counted == 0, format!("{counted} cases"))
    }

    /// Returns what broke.
    pub(crate) fn broken(&self) -> &[Violation] {
        &self.broken
    }

    /// Returns the number of checks that held.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns whether all checks held; none at all is not enough.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() && !self.held.is_empty() {
            return Verdict::Held;
        }
        Verdict::Broken
    }
}

#[cfg(test)]
mod tests;
