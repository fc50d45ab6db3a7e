//! Refusals of the sidecar, each with its truthful outcome.

use std::time::Duration;

use crate::wire::{Outcome, Refusal, RefusalReason};

/// Time after which a resend makes sense when nothing better is known.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which a broken request may be resent: by then a crash is told from a broken
/// connection, and all nodes know the requests that were in flight.
const BROKEN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns a refusal of a request of which nothing was written to an upstream.
pub(super) fn did_not_run(reason: RefusalReason) -> Refusal {
    with_outcome(Outcome::DidNotRun, reason)
}

/// Returns a refusal of a request that may have run.
pub(super) fn unknown(reason: RefusalReason) -> Refusal {
    with_outcome(Outcome::Unknown, reason)
}

/// Returns a refusal with an outcome.
pub(super) fn with_outcome(outcome: Outcome, reason: RefusalReason) -> Refusal {
    let retry_after = match reason {
        RefusalReason::Broken => BROKEN_RETRY_AFTER,
        _ => RETRY_AFTER,
    };
    with_retry_after(outcome, reason, retry_after)
}

/// Returns a refusal with an outcome and the time after which a resend makes sense.
pub(super) fn with_retry_after(
    outcome: Outcome,
    reason: RefusalReason,
    retry_after: Duration,
) -> Refusal {
    Refusal {
        outcome,
        is_arrived: outcome != Outcome::DidNotRun,
        reason,
        after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    }
}
