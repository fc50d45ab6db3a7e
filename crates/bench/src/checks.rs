//! Named checks of a run.

use serde::Serialize;

use crate::subcommand::Verdict;

/// Results of the checks of a run.
#[derive(Debug, Default)]
pub(crate) struct Checks {
    held: Vec<&'static str>,
    broken: Vec<Violation>,
}

/// A check that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Violation {
    /// Name of the check.
    pub(crate) name: &'static str,
    /// Observed value or state.
    pub(crate) seen: String,
}

impl Checks {
    /// Records the result of a check with the observed value; returns whether it held.
    pub(crate) fn expect(&mut self, name: &'static str, holds: bool, seen: String) -> bool {
        if holds {
            self.held.push(name);
        } else {
            self.broken.push(Violation { name, seen });
        }
        holds
    }

    /// Records a check that holds if the count is zero; returns whether it held.
    pub(crate) fn expect_zero(&mut self, name: &'static str, count: u64) -> bool {
        self.expect(name, count == 0, format!("{count} cases"))
    }

    /// Returns the checks that failed.
    pub(crate) fn broken(&self) -> &[Violation] {
        &self.broken
    }

    /// Returns the number of checks that held.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns `Passed` if at least one check ran and none failed.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() && !self.held.is_empty() {
            return Verdict::Passed;
        }
        Verdict::Failed
    }
}

#[cfg(test)]
mod tests;
