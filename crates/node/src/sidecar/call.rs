//! Call received by the sidecar.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use wagtaillever_coordination::{IdempotencyKey, Rank, Sequence, ServiceName};

use crate::wire::{CallHead, CallStage, Refusal, RefusalReason};

use super::refuse::did_not_run;

/// Call head with the values derived from it.
pub(super) struct Call {
    /// Head as received from the ingress.
    pub(super) head: CallHead,
    /// Time at which the call arrived.
    arrived_at: Instant,
    /// Time by which the complete answer must be written.
    pub(super) deadline: Instant,
    /// Service of the upstream.
    pub(super) service: ServiceName,
    /// Parsed idempotency key.
    pub(super) key: Option<IdempotencyKey>,
}

/// Upper bound for the time left that an ingress can state.
const MAX_CALL_TIME: Duration = Duration::from_secs(3600);

impl Call {
    /// Returns the call of a head that has just arrived.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the idempotency key is malformed.
    pub(super) fn new(head: CallHead) -> Result<Rc<Self>, Refusal> {
        let time_left = Duration::from_millis(head.left_ms).min(MAX_CALL_TIME);
        let key = head.key.as_deref().map(IdempotencyKey::parse).transpose();
        let key = key.map_err(|_| did_not_run(RefusalReason::BadKey))?;
        let arrived_at = Instant::now();
        Ok(Rc::new(Self {
            arrived_at,
            deadline: arrived_at + time_left,
            service: ServiceName::from(head.service.as_str()),
            key,
            head,
        }))
    }

    /// Returns the sequence of the configuration that routed the call.
    pub(super) fn sequence(&self) -> Sequence {
        Sequence(self.head.sequence)
    }

    /// Returns the idempotency key if the receiver handles the call as the owner of the key.
    pub(super) fn key_to_decide(&self) -> Option<&IdempotencyKey> {
        let is_owner_stage = self.head.stage == CallStage::Decide;
        self.key.as_ref().filter(|_| is_owner_stage)
    }

    /// Returns the name of the caller, used for fair queueing.
    pub(super) fn caller(&self) -> &[u8] {
        let mut headers = self.head.headers.iter();
        let caller = headers.find(|(name, _)| name.eq_ignore_ascii_case("x-caller"));
        caller.map_or(&[], |(_, value)| value)
    }

    /// Returns the time by which the caller wants the answer, if its route states one.
    pub(super) fn target(&self) -> Option<Instant> {
        let target = Duration::from_millis(self.head.target_ms?.into());
        let waited = Duration::from_millis(self.head.waited_ms.into());
        Some(self.arrived_at + target.saturating_sub(waited))
    }

    /// Returns the rank of the call in the queue.
    pub(super) fn rank(&self) -> Rank {
        let target_ms = self.head.target_ms.unwrap_or(u32::MAX);
        Rank {
            is_late: self.head.waited_ms >= target_ms,
            priority: self.head.priority,
            target_ms,
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
