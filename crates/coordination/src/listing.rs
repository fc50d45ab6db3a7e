//! Whether an upstream may receive work while the platform does not list it.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

use crate::vm::VmState;

/// Registration state of an upstream as known to the node on its VM.
///
/// A registration expires when its upstream leaves, and also when the VM cannot reach the platform
/// for some seconds. Only the node on the VM can distinguish the two cases: if it cannot reach the
/// platform either, the upstream continues to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The platform lists the upstream.
    #[default]
    Listed,
    /// The platform no longer lists the upstream, and the node has not checked the reason yet.
    Doubted,
    /// The platform no longer lists the upstream, but the node cannot reach the platform.
    CutOff,
    /// The platform confirmed that the registration is gone.
    Gone,
    /// A list shows the upstream again, but the platform has not confirmed it. A reader of the
    /// platform that had no contact for a while keeps upstreams in its lists that others have
    /// dropped.
    Relisted,
}

/// Result of checking whether an upstream is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationAnswer {
    /// The upstream is registered.
    Registered,
    /// The upstream is not registered.
    Missing,
    /// The platform did not answer.
    Silent,
}

impl Listing {
    /// Returns the next state after the list of VMs reports a state of the VM.
    #[must_use]
    pub fn with_vm_state(self, state: VmState) -> Self {
        match (state, self) {
            (VmState::Unlisted, Self::Listed | Self::Relisted) => Self::Doubted,
            (VmState::Unlisted, known) => known,
            (VmState::Live | VmState::Leaving, Self::Gone | Self::Relisted) => Self::Relisted,
            (VmState::Live | VmState::Leaving, _) => Self::Listed,
        }
    }

    /// Returns the next state after a registration check. [`Self::Listed`] is reached again only if
    /// both a list of VMs and the check show the registration. A platform that does not answer takes
    /// nothing back that it has confirmed.
    #[must_use]
    pub fn with_answer(self, answer: RegistrationAnswer) -> Self {
        match (self, answer) {
            (Self::Listed, _) | (Self::Relisted, RegistrationAnswer::Registered) => Self::Listed,
            (Self::Relisted, _) => Self::Relisted,
            (Self::Doubted | Self::CutOff, RegistrationAnswer::Silent) => Self::CutOff,
            (Self::Gone | Self::Doubted | Self::CutOff, _) => Self::Gone,
        }
    }

    /// Returns whether the upstream may receive new work.
    #[must_use]
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Listed | Self::CutOff)
    }

    /// Returns whether the platform may not list the upstream, so that its registration has to be
    /// checked.
    #[must_use]
    pub fn is_unlisted(self) -> bool {
        self != Self::Listed
    }
}

/// Time after a restoration of the platform for which a missing registration proves nothing.
/// According to the platform's documentation, live upstreams register again within about two seconds.
const RENEWAL_TIME: Duration = Duration::from_millis(2_200);
/// Time after a restoration of the platform for which a registration proves nothing. The platform
/// removes those of upstreams that have left after three missed heartbeats, a few seconds.
const EXPIRY_TIME: Duration = Duration::from_secs(12);

/// Tells which registration checks count while the platform recovers from a restoration.
///
/// A platform that was restored from an older copy lists upstreams that have left since the copy was
/// made, until their heartbeats are missed, and lacks those that have registered since.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestorationFilter {
    era: Option<u64>,
    restored_at: Option<Instant>,
}

impl RestorationFilter {
    /// Records the era in which the platform answered.
    pub fn observe(&mut self, era: u64, now: Instant) {
        if self.era.is_some_and(|known| era > known) {
            self.restored_at = Some(now);
        }
        self.era = self.era.max(Some(era));
    }

    /// Returns what an answer of the platform in an era proves. [`RegistrationAnswer::Silent`] stands
    /// for nothing.
    pub fn apply(
        &mut self,
        answer: RegistrationAnswer,
        era: u64,
        now: Instant,
    ) -> RegistrationAnswer {
        if answer == RegistrationAnswer::Silent {
            return answer;
        }
        self.observe(era, now);
        let unproven_for = match answer {
            RegistrationAnswer::Registered => EXPIRY_TIME,
            _ => RENEWAL_TIME,
        };
        let is_restoring = |at: Instant| now.saturating_duration_since(at) < unproven_for;
        if self.restored_at.is_some_and(is_restoring) {
            RegistrationAnswer::Silent
        } else {
            answer
        }
    }
}
