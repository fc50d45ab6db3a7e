//! Whether an upstream may receive work while the platform does not list it.

#[cfg(test)]
mod tests;

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
    /// both a list of VMs and the check show the registration.
    #[must_use]
    pub fn with_answer(self, answer: RegistrationAnswer) -> Self {
        match (self, answer) {
            (Self::Listed, _) | (Self::Relisted, RegistrationAnswer::Registered) => Self::Listed,
            (Self::Relisted, RegistrationAnswer::Missing) => Self::Relisted,
            (_, RegistrationAnswer::Silent) => Self::CutOff,
            (_, RegistrationAnswer::Registered | RegistrationAnswer::Missing) => Self::Gone,
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
