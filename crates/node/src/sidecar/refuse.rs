//! Refusals of the sidecar with their outcome and retry delay.

use std::time::Duration;

use crate::wire::{Outcome, Refusal, RefusalReason};

/// Default time after which a refused request may be resent.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time after which a request may be resent whose connection broke. By then it is known whether the
/// upstream crashed, and all nodes know the requests that were in flight.
const BROKEN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after which a request may be resent for whose body there was no memory: calls that wait here get
/// their slot or a refusal within about that time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns a refusal of a request that was not written to an upstream.
pub(super) fn did_not_run(reason: RefusalReason) -> Refusal {
    with_outcome(Outcome::DidNotRun, reason)
}

/// Returns the refusal of a request that waits for its upstream and for whose body there is no memory.
pub(super) fn no_memory() -> Refusal {
    metrics::counter!("sidecar_calls_refused_for_memory_total").increment(1);
    with_retry_after(
        Outcome::DidNotRun,
        RefusalReason::NoMemory,
        MEMORY_RETRY_AFTER,
    )
}

/// Returns the refusal of a request that a stop no longer passes on.
pub(super) fn refused_by_stop() -> Refusal {
    metrics::counter!("sidecar_calls_refused_by_stop_total").increment(1);
    did_not_run(RefusalReason::Draining)
}

/// Returns a refusal of a request that may have run.
pub(super) fn unknown(reason: RefusalReason) -> Refusal {
    with_outcome(Outcome::Unknown, reason)
}

/// Returns a refusal with an outcome and the default retry delay of its reason.
pub(super) fn with_outcome(outcome: Outcome, reason: RefusalReason) -> Refusal {
    let retry_after = match reason {
        RefusalReason::Broken => BROKEN_RETRY_AFTER,
        _ => RETRY_AFTER,
    };
    with_retry_after(outcome, reason, retry_after)
}

/// Returns a refusal with an outcome and the time after which the request may be resent.
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
