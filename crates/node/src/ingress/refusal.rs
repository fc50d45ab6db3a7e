//! Refusals that originate in the ingress.

use wagtaillever_coordination::NoCandidate;

use crate::{
    ingress::body::BodyError,
    wire::{Outcome, Refusal, RefusalReason},
};

/// Retry-after time of a call whose service has no upstream, or whose key owner has no address.
pub(super) const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// Retry-after time of a call to a node that is not ready or stops.
pub(super) const NOT_READY_RETRY_MS: u64 = 500;
/// Retry-after time of a call for whose body there is no memory. Other calls return theirs when they end,
/// most of them within their target latency.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// Returns the refusal of a call that was not sent to any upstream.
pub(super) fn did_not_run(reason: RefusalReason, after_ms: u64) -> Refusal {
    Refusal {
        outcome: Outcome::DidNotRun,
        is_arrived: false,
        reason,
        after_ms,
    }
}

/// Returns the refusal of a call whose body can't be received; no part of it was sent.
pub(super) fn unreceived(err: BodyError) -> Refusal {
    match err {
        BodyError::Aborted => did_not_run(RefusalReason::Broken, 0),
        BodyError::TooLarge => did_not_run(RefusalReason::BodyTooLarge, 0),
        BodyError::NoMemory => did_not_run(RefusalReason::NoMemory, NO_MEMORY_RETRY_MS),
    }
}

/// Returns the refusal of a call that a stop no longer passes on.
pub(super) fn refused_by_stop() -> Refusal {
    metrics::counter!("calls_refused_by_stop_total").increment(1);
    did_not_run(RefusalReason::NotReady, NOT_READY_RETRY_MS)
}

/// Returns the refusal of a call for which the balancer found no upstream.
pub(super) fn no_upstream(choice: NoCandidate) -> Refusal {
    let after_ms = u64::try_from(choice.retry_after.as_millis()).unwrap_or(u64::MAX);
    did_not_run(RefusalReason::Unreachable, after_ms)
}

/// Returns the refusal of a call whose reply can't be turned into a response.
pub(super) fn bad_answer() -> Refusal {
    Refusal {
        outcome: Outcome::Unknown,
        is_arrived: true,
        reason: RefusalReason::BadAnswer,
        after_ms: 0,
    }
}

/// Returns the newer refusal. If both have the same reason, it gets the earlier retry-after time.
pub(super) fn with_earliest_retry(previous: Option<Refusal>, mut refusal: Refusal) -> Refusal {
    let previous = previous.filter(|previous| previous.reason == refusal.reason);
    if let Some(previous) = previous {
        refusal.after_ms = refusal.after_ms.min(previous.after_ms);
    }
    refusal
}
