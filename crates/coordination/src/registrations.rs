//! Upstream registrations read from the platform, and the list of VMs derived from them.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    era::{era_of, revision_within_era},
    name::{DomainName, RegionName, UpstreamName, VmName},
    vm::{ListedUpstream, VmEntry, VmList, VmState},
};

/// Shortest interval without an answer that counts as an outage of the platform, in which
/// registrations of live upstreams may expire; about ten times the duration of a slow answer.
const MIN_OUTAGE: Duration = Duration::from_secs(1);
/// Time after an outage for which missing registrations are kept. According to the platform's
/// documentation, live upstreams register again within about two seconds.
const RENEWAL_HOLD: Duration = Duration::from_millis(2_200);
/// Longest time by which the last answer that other readers report can be outdated: two intervals of
/// the digests between nodes, as a report takes up to two hops.
const CONTACT_LAG: Duration = Duration::from_millis(2_200);
/// Time for which an upstream without a registration stays listed as unlisted, so that the node on
/// its VM can check the registration. Equals the recovery time after a failure that the platform's
/// documentation requires.
const UNLISTED_RETENTION: Duration = Duration::from_secs(15);

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
    /// Address on which the VM's node accepts connections from other nodes.
    pub node: SocketAddr,
    /// Whether the upstream is shutting down.
    pub is_leaving: bool,
}

/// Registrations known to one reader of the platform.
///
/// An upstream whose registration disappears becomes unlisted. After an outage of the platform, all
/// registrations may have expired, so missing ones are kept until their upstreams have had time to
/// register again. An upstream that was leaving is dropped at once.
///
/// A platform that was restored from an older copy has forgotten the newest registrations. They are
/// kept as after an outage, and an upstream that was leaving stays so until everything is read
/// again at [`Registrations::restored_until`].
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    records: BTreeMap<UpstreamName, Record>,
    last_answer: Option<Instant>,
    hold_until: Option<Instant>,
    /// End of the time after a restoration of the platform in which its contents are incomplete.
    restored_until: Option<Instant>,
    revision: u64,
    published: VmList,
}

#[derive(Clone, Debug)]
struct Record {
    registration: Registration,
    is_missing: bool,
    unlisted_since: Option<Instant>,
}

impl Record {
    fn new(registration: Registration) -> Self {
        Self {
            registration,
            is_missing: false,
            unlisted_since: None,
        }
    }
}

impl Registrations {
    /// Returns the registrations of a reader that takes over from another one, based on the last
    /// list of VMs. `silence` is the time since the platform last answered any reader, `own_age` the
    /// time since it answered this one, and `restored` the time since the first list after a
    /// restoration, if there was one.
    #[must_use]
    pub fn resume(
        list: &VmList,
        silence: Duration,
        own_age: Option<Duration>,
        restored: Option<Duration>,
        now: Instant,
    ) -> Self {
        let silence = proven_silence(silence, own_age);
        let left = restored.and_then(|age| RENEWAL_HOLD.checked_sub(age));
        let restored_until = left.map(|left| now + left);
        let mut registrations = Self {
            last_answer: now.checked_sub(silence),
            hold_until: restored_until,
            restored_until,
            revision: list.revision(),
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
                let mut record = Record::new(registration);
                record.unlisted_since = (entry.state == VmState::Unlisted).then_some(now);
                registrations.records.insert(upstream.name.clone(), record);
            }
        }
        registrations
    }

    /// Records that the platform answered at `now` a call made at `asked`. Must be called before
    /// the answer is applied. The time that a watch waits does not count as an outage.
    pub fn record_answer(&mut self, asked: Instant, now: Instant) {
        let silence = self
            .last_answer
            .map(|at| asked.saturating_duration_since(at));
        if silence.is_some_and(|silence| silence >= MIN_OUTAGE) {
            self.hold_until = self.hold_until.max(Some(now + RENEWAL_HOLD));
        }
        self.last_answer = Some(now);
    }

    /// Applies one change: a new registration, or `None` if it was removed.
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
                self.records.insert(name.clone(), Record::new(registration));
            }
            None => self.mark_missing(name, now),
        }
    }

    /// Replaces all registrations by those of a full read. Returns whether the read is the first
    /// one of a new era.
    pub fn replace(
        &mut self,
        registrations: Vec<Registration>,
        revision: u64,
        now: Instant,
    ) -> bool {
        let is_new_era = self.revision > 0 && era_of(revision) > era_of(self.revision);
        if is_new_era {
            self.hold_until = Some(now + RENEWAL_HOLD);
            self.restored_until = self.hold_until;
        }
        let names: Vec<_> = registrations
            .iter()
            .map(|r| r.upstream.name.clone())
            .collect();
        for mut registration in registrations {
            let name = registration.upstream.name.clone();
            registration.is_leaving |= self.is_restoring(now) && self.was_leaving(&registration);
            self.apply(&name, Some(registration), revision, now);
        }
        let missing = self.records.keys().filter(|name| !names.contains(name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.mark_missing(&name, now);
        }
        self.revision = self.revision.max(revision);
        is_new_era
    }

    /// Returns the list of VMs if it has changed since the last call.
    pub fn changed_list(&mut self, now: Instant) -> Option<VmList> {
        if !self.is_holding(now) {
            self.records.retain(|_, record| !record.is_missing);
        }
        let is_expired = |at: Instant| now.saturating_duration_since(at) >= UNLISTED_RETENTION;
        self.records
            .retain(|_, record| !record.unlisted_since.is_some_and(is_expired));
        let vms = self.vms();
        let is_same_era =
            self.published.number == 0 || era_of(self.revision) == self.published.era();
        // A list at the lowest revision came from contents that may be old. Others of that number may
        // differ from it, so the first full read gives it a new number.
        let is_provisional = revision_within_era(self.published.revision()) == 0
            && revision_within_era(self.revision) > 0;
        if vms == self.published.vms && is_same_era && !is_provisional {
            return None;
        }
        let number = VmList::first_number(self.revision);
        let number = number.max(self.published.number + 1);
        self.published = VmList { number, vms };
        Some(self.published.clone())
    }

    /// Returns the time at which missing registrations are dropped, if any are missing.
    #[must_use]
    pub fn hold_until(&self) -> Option<Instant> {
        let is_any_missing = self.records.values().any(|record| record.is_missing);
        self.hold_until.filter(|_| is_any_missing)
    }

    /// Returns until when the contents of the platform may be incomplete, because it was restored
    /// from an older copy. Everything has to be read again then.
    #[must_use]
    pub fn restored_until(&self) -> Option<Instant> {
        self.restored_until
    }

    /// Returns whether the contents of the platform may be incomplete, because it was restored from
    /// an older copy.
    #[must_use]
    pub fn is_restoring(&self, now: Instant) -> bool {
        self.restored_until.is_some_and(|until| now < until)
    }

    /// Returns whether the same process of an upstream was leaving.
    fn was_leaving(&self, registration: &Registration) -> bool {
        let record = self.records.get(&registration.upstream.name);
        record.is_some_and(|record| {
            let known = &record.registration;
            known.is_leaving && known.upstream.started == registration.upstream.started
        })
    }

    fn mark_missing(&mut self, name: &UpstreamName, now: Instant) {
        let is_holding = self.is_holding(now);
        let is_restoring = self.is_restoring(now);
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        if record.registration.is_leaving && !is_restoring {
            self.records.remove(name);
        } else if is_holding {
            record.is_missing = true;
        } else {
            record.unlisted_since.get_or_insert(now);
        }
    }

    fn is_holding(&self, now: Instant) -> bool {
        self.hold_until.is_some_and(|until| now < until)
    }

    /// Returns one entry per VM.
    fn vms(&self) -> Vec<Arc<VmEntry>> {
        let mut vms: BTreeMap<&VmName, Vec<&Record>> = BTreeMap::new();
        for record in self.records.values() {
            let vm = &record.registration.vm;
            vms.entry(vm).or_default().push(record);
        }
        vms.into_values()
            .map(|records| Arc::new(vm_entry(&records)))
            .collect()
    }
}

/// Returns the part of the time since the platform last answered any reader that is not due to late
/// reports of other readers. A node that has not read for a while knows of them only.
fn proven_silence(silence: Duration, own_age: Option<Duration>) -> Duration {
    let has_read = own_age.is_some_and(|own_age| own_age <= silence + CONTACT_LAG);
    if has_read {
        return silence;
    }
    silence.saturating_sub(CONTACT_LAG)
}

/// Returns the entry of a VM with at least one registration. Of several upstreams at the same
/// address, only the one that started last can be running.
fn vm_entry(records: &[&Record]) -> VmEntry {
    let newest = records
        .iter()
        .map(|record| &record.registration)
        .max_by_key(|r| (r.upstream.started, &r.upstream.name))
        .expect("a VM has at least one registration");
    let current = |record: &&&Record| {
        let upstream = &record.registration.upstream;
        let is_replaced = upstream.address == newest.upstream.address;
        !is_replaced || upstream.name == newest.upstream.name
    };
    let current: Vec<_> = records.iter().filter(current).collect();
    let state = vm_state(&current);
    let listed = current
        .iter()
        .filter(|record| record_state(record) == state);
    VmEntry {
        vm: newest.vm.clone(),
        domain: newest.domain.clone(),
        region: newest.region.clone(),
        address: newest.node,
        state,
        upstreams: listed
            .map(|record| record.registration.upstream.clone())
            .collect(),
    }
}

/// Returns the state of a VM: live if any upstream is live, else leaving if any upstream is leaving,
/// else unlisted.
fn vm_state(current: &[&&Record]) -> VmState {
    let has = |state| current.iter().any(|record| record_state(record) == state);
    let states = [VmState::Live, VmState::Leaving];
    let state = states.into_iter().find(|state| has(*state));
    state.unwrap_or(VmState::Unlisted)
}

fn record_state(record: &Record) -> VmState {
    if record.unlisted_since.is_some() {
        VmState::Unlisted
    } else if record.registration.is_leaving {
        VmState::Leaving
    } else {
        VmState::Live
    }
}
