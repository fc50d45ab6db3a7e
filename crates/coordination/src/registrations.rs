//! Upstreams that register themselves at the platform, and the list of VMs that follows from them.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    name::{DomainName, RegionName, UpstreamName, VmName},
    vm::{ListedUpstream, VmEntry, VmList, VmState},
};

/// Silence of the platform after which registrations may have lapsed through no fault of their
/// upstreams; some ten times what a slow answer takes.
const OUTAGE: Duration = Duration::from_secs(1);
/// Time after an outage for which a missing registration is kept. The platform's pages say that
/// those of live upstreams are back within about two seconds.
const LAPSED_HOLD: Duration = Duration::from_millis(2_200);
/// Time for which the node on a VM is asked about an upstream whose registration went missing: the
/// time within which the platform's pages want service back after a failure.
const UNLISTED_HOLD: Duration = Duration::from_secs(15);
/// Bits of a list's number that count changes at one revision of the platform.
const CHANGE_BITS: u32 = 8;

/// Registration of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The upstream.
    pub upstream: ListedUpstream,
    /// VM on which it runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Address on which the VM's node accepts other nodes.
    pub node: SocketAddr,
    /// Whether the upstream is about to leave.
    pub is_leaving: bool,
}

/// All registrations that one reader of the platform knows.
///
/// A registration that goes missing is unlisted, unless the platform was silent before: then it may
/// have lapsed with all others and is kept until its upstream had time to renew it. An upstream that
/// was leaving is dropped at once.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    known: BTreeMap<UpstreamName, Known>,
    heard: Option<Instant>,
    hold_until: Option<Instant>,
    revision: u64,
    published: VmList,
}

#[derive(Clone, Debug)]
struct Known {
    registration: Registration,
    is_missing: bool,
    unlisted: Option<Instant>,
}

impl Known {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            is_missing: false,
            unlisted: None,
        }
    }
}

impl Registrations {
    /// Returns what a reader starts from that follows the list of an earlier one; `silence` is
    /// the time since any reader heard the platform.
    #[must_use]
    pub fn resume(list: &VmList, silence: Duration, now: Instant) -> Self {
        let mut registrations = Self {
            heard: now.checked_sub(silence),
            published: list.clone(),
            ..Self::default()
        };
        for entry in &list.vms {
            for upstream in &entry.upstreams {
                let registration = Registration {
                    upstream: upstream.clone(),
                    vm: entry.vm.clone(),
                    domain: entry.domain.clone(),
                    region: entry.region.clone(),
                    node: entry.address,
                    is_leaving: entry.state == VmState::Leaving,
                };
                let mut known = Known::new(registration);
                known.unlisted = (entry.state == VmState::Unlisted).then_some(now);
                registrations.known.insert(upstream.name.clone(), known);
            }
        }
        registrations
    }

    /// Notes that the platform answered now to a call that was made at `asked`; to be called before
    /// what it said is applied. A watch that waits is no silence.
    pub fn record_answer(&mut self, asked: Instant, now: Instant) {
        let silent = self.heard.map(|at| asked.saturating_duration_since(at));
        if silent.is_some_and(|silent| silent >= OUTAGE) {
            self.hold_until = Some(now + LAPSED_HOLD);
        }
        self.heard = Some(now);
    }

    /// Applies one change: a new registration, or `None` where it is gone.
    pub fn apply(
        &mut self,
        name: &UpstreamName,
        registration: Option<Registration>,
        revision: u64,
        now: Instant,
    ) {
        self.revision = self.revision.max(revision);
        match registration {
            Some(registration) => {
                self.known.insert(name.clone(), Known::new(registration));
            }
            None => self.miss(name, now),
        }
    }

    /// Replaces all registrations by those of a whole reading.
    pub fn replace(&mut self, registrations: Vec<Registration>, revision: u64, now: Instant) {
        let names: Vec<_> = registrations
            .iter()
            .map(|r| r.upstream.name.clone())
            .collect();
        for registration in registrations {
            let name = registration.upstream.name.clone();
            self.apply(&name, Some(registration), revision, now);
        }
        let missing = self.known.keys().filter(|name| !names.contains(name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.miss(&name, now);
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns the list of VMs if it changed since it was returned last.
    pub fn changed_list(&mut self, now: Instant) -> Option<VmList> {
        if !self.is_holding(now) {
            self.known.retain(|_, known| !known.is_missing);
        }
        let is_over = |at: Instant| now.saturating_duration_since(at) >= UNLISTED_HOLD;
        self.known
            .retain(|_, known| !known.unlisted.is_some_and(is_over));
        let vms = self.vms();
        if vms == self.published.vms {
            return None;
        }
        let number = self.revision << CHANGE_BITS;
        let number = number.max(self.published.number + 1);
        self.published = VmList { number, vms };
        Some(self.published.clone())
    }

    /// Returns the time at which registrations that are still missing are dropped.
    #[must_use]
    pub fn hold_until(&self) -> Option<Instant> {
        let is_any_missing = self.known.values().any(|known| known.is_missing);
        self.hold_until.filter(|_| is_any_missing)
    }

    fn miss(&mut self, name: &UpstreamName, now: Instant) {
        let is_holding = self.is_holding(now);
        let Some(known) = self.known.get_mut(name) else {
            return;
        };
        if known.registration.is_leaving {
            self.known.remove(name);
        } else if is_holding {
            known.is_missing = true;
        } else {
            known.unlisted.get_or_insert(now);
        }
    }

    fn is_holding(&self, now: Instant) -> bool {
        self.hold_until.is_some_and(|until| now < until)
    }

    /// Returns one entry a VM. A VM leaves when all its upstreams do. Of two upstreams at one
    /// address only the one that started last can be alive.
    fn vms(&self) -> Vec<Arc<VmEntry>> {
        let mut vms: BTreeMap<&VmName, Vec<&Known>> = BTreeMap::new();
        for known in self.known.values() {
            let vm = &known.registration.vm;
            vms.entry(vm).or_default().push(known);
        }
        vms.into_values()
            .map(|of_vm| Arc::new(entry(&of_vm)))
            .collect()
    }
}

/// Returns the entry of a VM with at least one registration.
fn entry(of_vm: &[&Known]) -> VmEntry {
    let newest = of_vm
        .iter()
        .map(|known| &known.registration)
        .max_by_key(|r| (r.upstream.started, &r.upstream.name))
        .expect("a VM has at least one registration");
    let alive = |known: &&&Known| {
        let upstream = &known.registration.upstream;
        let is_replaced = upstream.address == newest.upstream.address;
        !is_replaced || upstream.name == newest.upstream.name
    };
    let alive: Vec<_> = of_vm.iter().filter(alive).collect();
    let state = state(&alive);
    let staying = alive.iter().filter(|known| state_of(known) == state);
    VmEntry {
        vm: newest.vm.clone(),
        domain: newest.domain.clone(),
        region: newest.region.clone(),
        address: newest.node,
        state,
        upstreams: staying
            .map(|known| known.registration.upstream.clone())
            .collect(),
    }
}

/// Returns the state of a VM: it is live while one of its upstreams is, and leaves when all that are
/// listed do.
fn state(alive: &[&&Known]) -> VmState {
    let has = |state| alive.iter().any(|known| state_of(known) == state);
    let states = [VmState::Live, VmState::Leaving];
    let state = states.into_iter().find(|state| has(*state));
    state.unwrap_or(VmState::Unlisted)
}

fn state_of(known: &Known) -> VmState {
    if known.unlisted.is_some() {
        VmState::Unlisted
    } else if known.registration.is_leaving {
        VmState::Leaving
    } else {
        VmState::Live
    }
}
