//! Promises that are checked where the node keeps them.

use log::error;

/// Logs and counts a broken promise in `invariant_broken_total`, by its name.
pub(crate) fn check_invariant(name: &'static str, holds: bool) {
    if holds {
        return;
    }
    error!(invariant = name; "what must always hold is broken");
    metrics::counter!("invariant_broken_total", "name" => name).increment(1);
}
