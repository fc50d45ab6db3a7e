//! Idempotency keys owned by this VM.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use wagtaillever_coordination::{
    Claim, Config, ExecutionOutcome, KeyHandover, KnownKeys, Ledger, LedgerSettings, Ownership,
    RequestId, Sequence, VmList, VmName,
};

use crate::{
    mutant::{self, Mutant},
    settings::Settings,
    sidecar::refuse::did_not_run,
    wire::{Refusal, RefusalReason},
};

/// Ledger and ownership of the idempotency keys of this VM.
pub(super) struct Keys {
    ledger: RefCell<Ledger>,
    handover: RefCell<KeyHandover>,
}

impl Keys {
    /// Returns the state of a process that starts now.
    pub(super) fn new(settings: &Settings) -> Self {
        let ledger_settings = LedgerSettings {
            skew: Duration::from_millis(settings.limits.skew_ms),
            ..LedgerSettings::default()
        };
        let ledger = Ledger::new(ledger_settings, Instant::now(), wall_ms());
        Self {
            ledger: RefCell::new(ledger),
            handover: RefCell::new(KeyHandover::new(settings.vm.clone())),
        }
    }

    /// Applies a newer configuration.
    pub(super) fn update(&self, config: &Arc<Config>) {
        self.handover.borrow_mut().update(config, Instant::now());
    }

    /// Applies the list of VMs. VMs that are no longer listed count as having confirmed.
    pub(super) fn observe_vms(&self, vms: &VmList) {
        let floor_ms = self.floor_ms();
        let mut handover = self.handover.borrow_mut();
        handover.observe_vms(vms, floor_ms);
        handover.confirm_unlisted(floor_ms, Instant::now());
    }

    /// Returns the VMs whose confirmation is awaited, with the sequence that each must apply.
    pub(super) fn awaited(&self) -> BTreeMap<VmName, Sequence> {
        self.handover.borrow().awaited()
    }

    /// Returns the keys that this VM knows and `vm` owns now; `None` if there are more than
    /// [`MAX_HANDED_OVER_KEYS`].
    pub(super) fn keys_to_hand_over(&self, vm: &VmName) -> Option<KnownKeys> {
        let ledger = self.ledger.borrow();
        self.handover
            .borrow()
            .keys_for(&ledger, vm, MAX_HANDED_OVER_KEYS)
    }

    /// Records that a VM applies a sequence, and imports the keys that it knows if it sent all of
    /// them.
    pub(super) fn confirm(&self, vm: &VmName, sequence: Sequence, known: Option<KnownKeys>) {
        let mut floor_ms = self.floor_ms();
        let mut handover = self.handover.borrow_mut();
        if let Some(known) = known.filter(|_| sequence == handover.sequence()) {
            floor_ms = known.floor_ms;
            let mut ledger = self.ledger.borrow_mut();
            for id in &known.requests {
                ledger.import(id, Instant::now());
            }
        }
        handover.confirm(vm, sequence, floor_ms);
    }

    /// Claims a request for execution, as the owner of its key.
    ///
    /// # Errors
    ///
    /// Returns a refusal if another VM owns the key, or if a previous owner has not confirmed yet.
    pub(super) fn claim(&self, id: &RequestId) -> Result<Claim, Refusal> {
        let floor = match self.handover.borrow().ownership(id) {
            Ownership::Owned { floor_ms } => floor_ms,
            Ownership::Pending => return Err(did_not_run(RefusalReason::NotReady)),
            Ownership::Other => return Err(did_not_run(RefusalReason::NotOwner)),
        };
        if mutant::is_enabled(Mutant::RunTwice) {
            return Ok(Claim::Run);
        }
        let mut ledger = self.ledger.borrow_mut();
        Ok(ledger.claim(id, floor, Instant::now(), wall_ms()))
    }

    /// Records the outcome of a claimed request.
    pub(super) fn finish(&self, id: &RequestId, outcome: ExecutionOutcome) {
        if mutant::is_enabled(Mutant::RunTwice) {
            return;
        }
        let mut ledger = self.ledger.borrow_mut();
        ledger.finish(id, outcome);
        metrics::gauge!("ledger_entries").set(u32::try_from(ledger.len()).unwrap_or(u32::MAX));
    }

    /// Returns the current time plus the clock skew, in milliseconds since the Unix epoch: any key
    /// that another VM has accepted until now was created before it.
    fn floor_ms(&self) -> u64 {
        let mut ledger = self.ledger.borrow_mut();
        let skew = u64::try_from(ledger.skew().as_millis()).unwrap_or(u64::MAX);
        ledger
            .wall_ms(Instant::now(), wall_ms())
            .saturating_add(skew)
    }
}

/// Maximum number of keys sent in one handover.
const MAX_HANDED_OVER_KEYS: usize = 8_192;

fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
