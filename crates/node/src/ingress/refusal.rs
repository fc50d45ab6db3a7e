//! Refusals that the ingress itself gives.

use wagtaillever_coordination::NoCandidate;

use crate::wire::{Outcome, Refusal, RefusalReason};

/// Time after which a caller is told to come back when a service has no upstream.
pub(super) const NO_UPSTREAM_AFTER_MS: u64 = 1_000;

/// Returns a refusal of a request that was sent nowhere.
pub(super) fn not_run(reason: RefusalReason, after_ms: u64) -> Refusal {
    Refusal {
        outcome: Outcome::DidNotRun,
        is_arrived: false,
        reason,
        after_ms,
    }
}

/// Returns the refusal of a call for which there is no upstream.
pub(super) fn no_choice(choice: NoCandidate) -> Refusal {
    let after_ms = u64::try_from(choice.retry_after.as_millis()).unwrap_or(u64::MAX);
    not_run(RefusalReason::Unreachable, after_ms)
}

/// Returns the refusal of a call whose reply can't be passed on.
pub(super) fn bad_answer() -> Refusal {
    Refusal {
        outcome: Outcome::Unknown,
        is_arrived: true,
        reason: RefusalReason::BadAnswer,
        after_ms: 0,
    }
}

/// Returns the newer refusal; of two with one reason, the sooner time to come back counts.
pub(super) fn soonest(last: Option<Refusal>, mut refusal: Refusal) -> Refusal {
    let last = last.filter(|last| last.reason == refusal.reason);
    if let Some(last) = last {
        refusal.after_ms = refusal.after_ms.min(last.after_ms);
    }
    refusal
}
