//! Invariants that are checked at run time.

use log::error;

/// Logs a violated invariant and counts it by name in `invariant_broken_total`.
pub(crate) fn check_invariant(name: &'static str, holds: bool) {
    if holds {
        return;
    }
    error!(invariant = name; "invariant violated");
    metrics::counter!("invariant_broken_total", "name" => name).increment(1);
}
