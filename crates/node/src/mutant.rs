//! Deliberate faults, each of which breaks one promise, so that runs can show that its check
//! fails; without the feature `mutants` all are off for good.

#[cfg(feature = "mutants")]
use std::{collections::BTreeSet, sync::OnceLock};

/// A deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "mutants", derive(serde::Deserialize))]
#[cfg_attr(feature = "mutants", serde(rename_all = "snake_case"))]
pub enum Mutant {
    /// An older configuration replaces the one in force.
    GoBack,
    /// Requests go to upstreams of any service.
    Misroute,
    /// A refused note is applied as far as its first change.
    PartialNote,
    /// Upstreams that started get all that arrives.
    NoRamp,
    /// Drain orders are ignored.
    IgnoreDrains,
    /// Leaving VMs count as live.
    IgnoreLeaving,
    /// Bodies that break off end as if they were whole.
    ShortAnswers,
    /// Requests are sent with the headers of the request before.
    CrossedAnswers,
    /// What may have run is told as not run.
    FalseDidNotRun,
    /// Keys that were seen before run again.
    RunTwice,
    /// A planned stop ends at once.
    AbruptStop,
    /// Accepted notes do not come into force.
    DropNotes,
}

#[cfg(feature = "mutants")]
static ON: OnceLock<BTreeSet<Mutant>> = OnceLock::new();

/// Switches deliberate faults on, once for the process.
#[cfg(feature = "mutants")]
pub(crate) fn enable(mutants: &[Mutant]) {
    let _ = ON.set(mutants.iter().copied().collect());
}

/// Returns whether a deliberate fault is on.
#[cfg(feature = "mutants")]
pub(crate) fn is_enabled(mutant: Mutant) -> bool {
    ON.get().is_some_and(|on| on.contains(&mutant))
}

/// Returns false: no deliberate fault is built in.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_enabled(_: Mutant) -> bool {
    false
}
