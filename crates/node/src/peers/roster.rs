//! What this node saw of other VMs itself.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use parking_lot::Mutex;
use wagtaillever_coordination::VmName;

/// Shared record of the VMs that this node reached or failed to reach.
///
/// What is seen directly goes before the platform's list, which lags.
#[derive(Clone, Default)]
pub(crate) struct Roster {
    seen: Arc<Mutex<BTreeMap<VmName, Sighting>>>,
}

/// The last direct sighting of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sighting {
    /// Whether the VM was reached.
    pub(crate) is_alive: bool,
    /// When.
    pub(crate) at: Instant,
}

impl Roster {
    /// Notes that a VM was reached.
    pub(crate) fn alive(&self, vm: &VmName) {
        self.note(vm, true);
    }

    /// Notes that a VM could not be reached.
    pub(crate) fn suspect(&self, vm: &VmName) {
        self.note(vm, false);
    }

    /// Returns the last sighting of a VM, if there was any.
    pub(crate) fn sighting(&self, vm: &VmName) -> Option<Sighting> {
        self.seen.lock().get(vm).copied()
    }

    /// Forgets the VMs that the platform no longer lists.
    pub(crate) fn retain(&self, is_listed: impl Fn(&VmName) -> bool) {
        self.seen.lock().retain(|vm, _| is_listed(vm));
    }

    fn note(&self, vm: &VmName, is_alive: bool) {
        let at = Instant::now();
        let sighting = Sighting { is_alive, at };
        self.seen.lock().insert(vm.clone(), sighting);
    }
}
