//! What the end of an attempt means for the call and for its upstream.

use std::time::Duration;

use wagtaillever_coordination::{AttemptFailure, Evidence, ReportedLoad, Sequence};

use crate::{
    ingress::attempt::AttemptEnd as Sent,
    wire::{Load, Outcome, Refusal, RefusalReason, ReplyHead},
};

/// Longest time for which one refusal keeps calls away from an upstream.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time after which a caller is told to come back when an upstream is out of reach.
const RETRY_AFTER_MS: u64 = 250;
/// Time after which a broken call may be resent, in milliseconds: by then all nodes know
/// whether it crashed its upstream.
const BROKEN_AFTER_MS: u64 = 500;

/// What the end of an attempt means.
pub(super) struct Feedback {
    /// What it means for the call; `None` when an upstream answered.
    pub(super) end: Option<AttemptFailure>,
    /// What it shows of the upstream.
    pub(super) evidence: Option<Evidence>,
    /// Load of the upstream.
    pub(super) load: Option<ReportedLoad>,
    /// Sequence in force at the sidecar.
    pub(super) sequence: Option<Sequence>,
    /// Time for which the upstream asked for no calls.
    pub(super) backoff: Option<Duration>,
    /// Refusal that the caller gets when the attempt was the last one.
    pub(super) refusal: Option<Refusal>,
}

/// Returns what the end of an attempt means.
pub(super) fn feedback(sent: &Sent) -> Feedback {
    match sent {
        Sent::Replied(reply) => of_head(&reply.head),
        Sent::Unreachable => silent(
            AttemptFailure::Unreachable,
            Evidence::Unreachable,
            RefusalReason::Unreachable,
        ),
        Sent::NotSent => silent(
            AttemptFailure::Unreachable,
            Evidence::Failed,
            RefusalReason::Unreachable,
        ),
        Sent::NotTaken => silent(
            AttemptFailure::Refused,
            Evidence::Failed,
            RefusalReason::NotReady,
        ),
        Sent::Broken => silent(
            AttemptFailure::Broken,
            Evidence::Failed,
            RefusalReason::Broken,
        ),
        Sent::TimedOut { is_sent: true } => silent(
            AttemptFailure::TimedOut,
            Evidence::Failed,
            RefusalReason::Deadline,
        ),
        Sent::TimedOut { is_sent: false } => silent(
            AttemptFailure::Permanent,
            Evidence::Failed,
            RefusalReason::Deadline,
        ),
    }
}

fn of_head(head: &ReplyHead) -> Feedback {
    match head {
        ReplyHead::Answer { load, .. } => Feedback {
            end: None,
            evidence: Some(Evidence::Answered),
            load: Some(reported(*load)),
            sequence: None,
            backoff: None,
            refusal: None,
        },
        ReplyHead::Refused {
            refusal,
            load,
            sequence,
        } => Feedback {
            end: Some(end(refusal)),
            evidence: evidence(refusal.reason),
            load: Some(reported(*load)),
            sequence: Some(Sequence(*sequence)),
            backoff: backoff(refusal),
            refusal: Some(refusal.clone()),
        },
    }
}

fn silent(end: AttemptFailure, evidence: Evidence, reason: RefusalReason) -> Feedback {
    let outcome = if end.has_not_run() {
        Outcome::DidNotRun
    } else {
        Outcome::Unknown
    };
    Feedback {
        end: Some(end),
        evidence: Some(evidence),
        load: None,
        sequence: None,
        backoff: None,
        refusal: Some(Refusal {
            outcome,
            is_arrived: end.may_have_arrived(),
            reason,
            after_ms: match reason {
                RefusalReason::Broken => BROKEN_AFTER_MS,
                _ => RETRY_AFTER_MS,
            },
        }),
    }
}

fn end(refusal: &Refusal) -> AttemptFailure {
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
    let is_asked = matches!(
        refusal.reason,
        RefusalReason::Overloaded | RefusalReason::Draining | RefusalReason::NotReady
    );
    is_asked.then(|| Duration::from_millis(refusal.after_ms).min(MAX_BACKOFF))
}

fn reported(load: Load) -> ReportedLoad {
    ReportedLoad {
        active: load.active,
        limit: load.limit,
        queued: load.queued,
        cost: load.cost,
    }
}
