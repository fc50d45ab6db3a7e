//! Conversion of the result of an attempt into input for retries and the balancer.

use std::time::Duration;

use wagtaillever_coordination::{AttemptFailure, Evidence, ReportedLoad, Sequence};

use crate::{
    ingress::attempt::AttemptResult,
    wire::{Load, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Longest backoff that a single refusal can request for an upstream.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Retry-after time of calls that got no reply from a sidecar.
const NO_REPLY_RETRY_MS: u64 = 250;
/// Retry-after time of calls whose stream broke. By then all nodes know whether the call crashed
/// its upstream.
const BROKEN_RETRY_MS: u64 = 500;

/// Consequences of an attempt for its call and its upstream.
pub(super) struct Feedback {
    /// How the attempt failed; `None` if an upstream answered.
    pub(super) failure: Option<AttemptFailure>,
    /// Evidence on the health of the upstream.
    pub(super) evidence: Option<Evidence>,
    /// Load that the sidecar reported.
    pub(super) load: Option<ReportedLoad>,
    /// Sequence in force at the sidecar, if it refused the call.
    pub(super) sequence: Option<Sequence>,
    /// Time for which the sidecar asked for no further calls.
    pub(super) backoff: Option<Duration>,
    /// Refusal that the caller receives if no further attempt follows.
    pub(super) refusal: Option<Refusal>,
}

/// Returns the feedback on the result of an attempt.
pub(super) fn feedback(result: &AttemptResult) -> Feedback {
    match result {
        AttemptResult::Replied(reply) => from_reply(&reply.head),
        AttemptResult::Unreachable => no_reply(
            AttemptFailure::Unreachable,
            Evidence::Unreachable,
            RefusalReason::Unreachable,
        ),
        AttemptResult::NotSent => no_reply(
            AttemptFailure::Unreachable,
            Evidence::Failed,
            RefusalReason::Unreachable,
        ),
        AttemptResult::Stopped => Feedback {
            evidence: None,
            ..no_reply(
                AttemptFailure::Unreachable,
                Evidence::Unreachable,
                RefusalReason::NotReady,
            )
        },
        AttemptResult::StreamRefused => no_reply(
            AttemptFailure::Refused,
            Evidence::Failed,
            RefusalReason::NotReady,
        ),
        AttemptResult::Broken(_) => no_reply(
            AttemptFailure::Broken,
            Evidence::Failed,
            RefusalReason::Broken,
        ),
        AttemptResult::TimedOut { is_sent: true } => no_reply(
            AttemptFailure::TimedOut,
            Evidence::Failed,
            RefusalReason::Deadline,
        ),
        AttemptResult::TimedOut { is_sent: false } => no_reply(
            AttemptFailure::Permanent,
            Evidence::Failed,
            RefusalReason::Deadline,
        ),
    }
}

fn from_reply(head: &ReplyHead) -> Feedback {
    match head {
        ReplyHead::Answer { load, .. } => Feedback {
            failure: None,
            evidence: Some(Evidence::Answered),
            load: Some(reported_load(*load)),
            sequence: None,
            backoff: None,
            refusal: None,
        },
        ReplyHead::Refused {
            refusal,
            load,
            sequence,
        } => Feedback {
            failure: Some(attempt_failure(refusal)),
            evidence: evidence(refusal.reason),
            load: Some(reported_load(*load)),
            sequence: Some(Sequence(*sequence)),
            backoff: backoff(refusal),
            refusal: Some(refusal.clone()),
        },
    }
}

/// Returns the feedback on an attempt that got no reply.
fn no_reply(failure: AttemptFailure, evidence: Evidence, reason: RefusalReason) -> Feedback {
    let outcome = if failure.has_not_run() {
        Outcome::DidNotRun
    } else {
        Outcome::Unknown
    };
    Feedback {
        failure: Some(failure),
        evidence: Some(evidence),
        load: None,
        sequence: None,
        backoff: None,
        refusal: Some(Refusal {
            outcome,
            is_arrived: failure.may_have_arrived(),
            reason,
            after_ms: match reason {
                RefusalReason::Broken => BROKEN_RETRY_MS,
                _ => NO_REPLY_RETRY_MS,
            },
        }),
    }
}

fn attempt_failure(refusal: &Refusal) -> AttemptFailure {
    let is_not_run = refusal.outcome == Outcome::DidNotRun;
    match refusal.reason {
        RefusalReason::Poison
        | RefusalReason::BadKey
        | RefusalReason::StaleKey
        | RefusalReason::InProgress
        | RefusalReason::TooManyHops
        | RefusalReason::Deadline
            if is_not_run =>
        {
            AttemptFailure::Permanent
        }
        RefusalReason::NoUpstream | RefusalReason::NotOwner if is_not_run => AttemptFailure::Stale,
        _ if is_not_run && refusal.is_arrived => AttemptFailure::Shed,
        _ if is_not_run => AttemptFailure::Refused,
        RefusalReason::Broken => AttemptFailure::Broken,
        RefusalReason::Deadline => AttemptFailure::TimedOut,
        _ => AttemptFailure::Indeterminate,
    }
}

fn evidence(reason: RefusalReason) -> Option<Evidence> {
    match reason {
        RefusalReason::Unreachable => Some(Evidence::Unreachable),
        RefusalReason::Broken | RefusalReason::BadAnswer => Some(Evidence::Failed),
        RefusalReason::Overloaded => Some(Evidence::Answered),
        _ => None,
    }
}

fn backoff(refusal: &Refusal) -> Option<Duration> {
    let is_requested = matches!(
        refusal.reason,
        RefusalReason::Overloaded
            | RefusalReason::NoMemory
            | RefusalReason::Draining
            | RefusalReason::NotReady
    );
    is_requested.then(|| Duration::from_millis(refusal.after_ms).min(MAX_BACKOFF))
}

fn reported_load(load: Load) -> ReportedLoad {
    ReportedLoad {
        active: load.active,
        limit: load.limit,
        queued: load.queued,
        cost: load.cost,
    }
}
