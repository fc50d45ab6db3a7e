//! Whether an upstream serves that the platform no longer lists.

#[cfg(test)]
mod tests;

use crate::vm::VmState;

/// What the node beside an upstream knows of its registration.
///
/// A registration ends when its upstream leaves, and also when the VM can't reach the platform for
/// some seconds. Only the node on the VM can tell the two apart: the upstream goes on if the node
/// finds the platform out of reach too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Listing {
    /// The platform lists the upstream.
    #[default]
    Listed,
    /// The platform no longer lists it, and the node asks why.
    Doubted,
    /// The node can't reach the platform itself.
    CutOff,
    /// The platform confirmed that the registration is gone.
    Gone,
}

/// Answer to the question whether an upstream is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationAnswer {
    /// It is.
    Registered,
    /// It is not.
    Missing,
    /// The platform gave no answer.
    Silent,
}

impl Listing {
    /// Returns what follows from the state that the list tells of the VM.
    #[must_use]
    pub fn with_vm_state(self, state: VmState) -> Self {
        match (state, self) {
            (VmState::Unlisted, Self::Listed) => Self::Doubted,
            (VmState::Unlisted, known) => known,
            (VmState::Live | VmState::Leaving, _) => Self::Listed,
        }
    }

    /// Returns what follows from an answer of the platform; one that lists the upstream again is
    /// heard through the list.
    #[must_use]
    pub fn with_answer(self, answer: RegistrationAnswer) -> Self {
        match (self, answer) {
            (Self::Listed, _) => Self::Listed,
            (_, RegistrationAnswer::Silent) => Self::CutOff,
            (_, RegistrationAnswer::Registered | RegistrationAnswer::Missing) => Self::Gone,
        }
    }

    /// Returns whether the upstream may get new work.
    #[must_use]
    pub fn may_serve(self) -> bool {
        matches!(self, Self::Listed | Self::CutOff)
    }

    /// Returns whether the platform is to be asked.
    #[must_use]
    pub fn is_unlisted(self) -> bool {
        self != Self::Listed
    }
}
