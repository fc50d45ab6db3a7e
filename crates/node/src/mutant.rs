//! Fault injection: each mutant violates one invariant, to prove that its check detects the
//! violation. Without the feature `mutants` no fault can be enabled.

#[cfg(feature = "mutants")]
use std::{collections::BTreeSet, sync::OnceLock};

/// Injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "mutants", derive(serde::Deserialize))]
#[cfg_attr(feature = "mutants", serde(rename_all = "snake_case"))]
pub enum Mutant {
    /// An older configuration replaces the one in force.
    GoBack,
    /// Requests are routed to upstreams of any service.
    Misroute,
    /// Only the first change of a refused note is applied.
    PartialNote,
    /// Upstreams that just started get unlimited requests.
    NoRamp,
    /// Drain orders are ignored.
    IgnoreDrains,
    /// Leaving VMs and upstreams count as live.
    IgnoreLeaving,
    /// Limits that upstreams state are ignored.
    IgnoreLimits,
    /// Truncated response bodies end as if they were complete.
    ShortAnswers,
    /// Requests are sent with the headers of the previous request.
    CrossedAnswers,
    /// Requests that may have run are reported as not run.
    FalseDidNotRun,
    /// Requests with a known idempotency key run again.
    RunTwice,
    /// A graceful stop ends the process without stopping the services.
    AbruptStop,
    /// Accepted notes do not take effect.
    DropNotes,
}

#[cfg(feature = "mutants")]
static ENABLED: OnceLock<BTreeSet<Mutant>> = OnceLock::new();

/// Enables faults; only the first call in a process has an effect.
#[cfg(feature = "mutants")]
pub(crate) fn enable(mutants: &[Mutant]) {
    let _ = ENABLED.set(mutants.iter().copied().collect());
}

/// Returns whether a fault is enabled.
#[cfg(feature = "mutants")]
pub(crate) fn is_enabled(mutant: Mutant) -> bool {
    ENABLED
        .get()
        .is_some_and(|enabled| enabled.contains(&mutant))
}

/// Returns false, as the process is built without faults.
#[cfg(not(feature = "mutants"))]
pub(crate) const fn is_enabled(_: Mutant) -> bool {
    false
}
