//! Hand-over of idempotency keys when a note changes the upstreams of a service.

#[cfg(test)]
mod tests;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    config::Config,
    key::key_owner,
    ledger::{Ledger, RequestId},
    name::{DomainName, ServiceName, VmName},
    sequence::Sequence,
    vm::VmList,
};

/// Tells from which time on a VM may decide on keys that others owned before.
///
/// Until the earlier owner of a key has confirmed that it applies the new
/// configuration, both could run the key's request. So the new owner refuses
/// such keys until then, and takes those minted before for unknown afterwards.
#[derive(Clone, Debug)]
pub struct KeyHandover {
    vm: VmName,
    config: Arc<Config>,
    fences: VecDeque<Fence>,
    listed: BTreeSet<VmName>,
    list: Option<u64>,
    floor_ms: u64,
}

/// Whether this VM may decide on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// It may, except on keys minted before the floor, which may have run elsewhere.
    Owned {
        /// Time in milliseconds since the Unix epoch.
        floor_ms: u64,
    },
    /// It may not yet: an earlier owner has not confirmed.
    Pending,
    /// Another VM owns the key.
    Other,
}

/// All keys that an earlier owner knows and another VM owns now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownKeys {
    /// Time in milliseconds since the Unix epoch before which there may be more.
    pub floor_ms: u64,
    /// Requests that may have run.
    pub requests: Vec<RequestId>,
}

/// One change of owners.
#[derive(Clone, Debug)]
struct Fence {
    sequence: Sequence,
    before: Before,
    began: Instant,
    confirmed: BTreeMap<VmName, u64>,
    awaited: BTreeSet<VmName>,
}

/// Who may have owned keys before a change.
#[derive(Clone, Debug)]
enum Before {
    /// The owners by this configuration.
    Config(Arc<Config>),
    /// Any VM of the service in these configurations, as this VM has not followed who owned
    /// keys before: it is new, skipped notes or had no upstream of the service.
    Anyone(Vec<Arc<Config>>),
}

/// Time after which no key of before a change is accepted any more.
const KEPT: Duration = Duration::from_secs(600);
/// Longest time by which the list of VMs lags behind.
const LIST_LAG: Duration = Duration::from_secs(10);
/// Changes that are remembered one by one.
const MAX_FENCES: usize = 64;

impl KeyHandover {
    /// Returns the state of a process that knows no configuration.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            config: Arc::default(),
            fences: VecDeque::new(),
            listed: BTreeSet::new(),
            list: None,
            floor_ms: 0,
        }
    }

    /// Takes in a newer configuration.
    pub fn update(&mut self, config: &Arc<Config>, now: Instant) {
        if config.sequence <= self.config.sequence {
            return;
        }
        let before = std::mem::replace(&mut self.config, Arc::clone(config));
        let is_next = before.sequence.next() == config.sequence && before.sequence.0 > 0;
        let is_new_here = !self.services(config).is_subset(&self.services(&before));
        let before = if is_next && !is_new_here {
            Before::Config(before)
        } else {
            Before::Anyone(vec![before, Arc::clone(config)])
        };
        let awaited = self.earlier_owners(&before);
        if awaited.is_empty() {
            return;
        }
        self.fences.push_back(Fence {
            sequence: config.sequence,
            before,
            began: now,
            confirmed: BTreeMap::new(),
            awaited,
        });
        self.forget(now);
    }

    /// Returns whether this VM may decide on a key.
    #[must_use]
    pub fn ownership(&self, id: &RequestId) -> Ownership {
        let owner = key_owner(&self.config, &id.service, &id.key);
        if owner.is_none_or(|owner| owner.vm != self.vm) {
            return Ownership::Other;
        }
        let mut floor_ms = self.floor_ms;
        for fence in &self.fences {
            for vm in fence.owners_before(id) {
                if vm == self.vm {
                    continue;
                }
                match fence.confirmed.get(&vm) {
                    Some(&at) => floor_ms = floor_ms.max(at),
                    None => return Ownership::Pending,
                }
            }
        }
        Ownership::Owned { floor_ms }
    }

    /// Returns the VMs whose confirmation is awaited, with the sequence that each must apply.
    #[must_use]
    pub fn awaited(&self) -> BTreeMap<VmName, Sequence> {
        let mut awaited = BTreeMap::new();
        for fence in &self.fences {
            for vm in &fence.awaited {
                awaited.insert(vm.clone(), fence.sequence);
            }
        }
        awaited
    }

    /// Returns the sequence of the configuration by which this VM decides.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.config.sequence
    }

    /// Returns the keys of a ledger that another VM owns now, at most `limit`, with the floor
    /// below which there may be more; `None` when there are more. What this VM awaits from
    /// others doesn't matter, as the new owner awaits it from them too.
    #[must_use]
    pub fn keys_for(&self, ledger: &Ledger, vm: &VmName, limit: usize) -> Option<KnownKeys> {
        let confirmed = self
            .fences
            .iter()
            .flat_map(|f| f.confirmed.values().copied());
        let floor_ms = confirmed.chain([self.floor_ms, ledger.floor_ms()]).max()?;
        let is_theirs = |id: &&RequestId| {
            let owner = key_owner(&self.config, &id.service, &id.key);
            owner.is_some_and(|owner| owner.vm == *vm)
        };
        let theirs = ledger.requests().filter(is_theirs);
        let requests: Vec<_> = theirs.take(limit + 1).cloned().collect();
        (requests.len() <= limit).then_some(KnownKeys { floor_ms, requests })
    }

    /// Takes in that a VM applies a sequence. From `floor_ms` on, the current time and the
    /// largest difference of clocks, no key can have been accepted there.
    pub fn confirm(&mut self, vm: &VmName, sequence: Sequence, floor_ms: u64) {
        for fence in &mut self.fences {
            if fence.sequence <= sequence && fence.awaited.remove(vm) {
                fence.confirmed.insert(vm.clone(), floor_ms);
            }
        }
    }

    /// Takes in a list of VMs: one that was listed and is no more has ended.
    pub fn observe_vms(&mut self, vms: &VmList, floor_ms: u64) {
        if self.list.is_some_and(|list| list >= vms.number) {
            return;
        }
        self.list = Some(vms.number);
        let listed: BTreeSet<_> = vms.vms.iter().map(|entry| entry.vm.clone()).collect();
        let gone: Vec<_> = self.listed.difference(&listed).cloned().collect();
        for vm in gone {
            self.confirm(&vm, self.config.sequence, floor_ms);
        }
        self.listed = listed;
    }

    /// Takes VMs for ended that have not been listed for long, as the list lags.
    pub fn confirm_unlisted(&mut self, floor_ms: u64, now: Instant) {
        if self.listed.is_empty() {
            return;
        }
        let is_due = |fence: &&Fence| now.saturating_duration_since(fence.began) > LIST_LAG;
        let due = self.fences.iter().filter(is_due);
        let awaited = due.flat_map(|fence| fence.awaited.iter());
        let unlisted: Vec<_> = awaited
            .filter(|vm| !self.listed.contains(*vm))
            .cloned()
            .collect();
        for vm in unlisted {
            self.confirm(&vm, self.config.sequence, floor_ms);
        }
    }

    /// Returns the other VMs that may still decide on keys that this VM owns now.
    fn earlier_owners(&self, before: &Before) -> BTreeSet<VmName> {
        let mut owners = BTreeSet::new();
        for service in self.services(&self.config) {
            match before {
                Before::Config(before) => {
                    if members(before, service) != members(&self.config, service) {
                        owners.extend(vms_of(before, service));
                    }
                }
                Before::Anyone(configs) => {
                    owners.extend(configs.iter().flat_map(|config| vms_of(config, service)));
                }
            }
        }
        owners.remove(&self.vm);
        owners
    }

    /// Returns the services that have an upstream on this VM.
    fn services<'a>(&self, config: &'a Config) -> BTreeSet<&'a ServiceName> {
        let own = config.upstreams.values();
        own.filter(|upstream| upstream.vm == self.vm)
            .map(|upstream| &upstream.service)
            .collect()
    }

    /// Drops changes that are so old that no key of before them is accepted.
    fn forget(&mut self, now: Instant) {
        let is_old = |fence: &Fence| {
            fence.awaited.is_empty() && now.saturating_duration_since(fence.began) > KEPT
        };
        self.fences.retain(|fence| !is_old(fence));
        while self.fences.len() > MAX_FENCES {
            let done = self
                .fences
                .iter()
                .position(|fence| fence.awaited.is_empty());
            let Some(fence) = done.and_then(|done| self.fences.remove(done)) else {
                return;
            };
            let newest = fence.confirmed.values().copied().max();
            self.floor_ms = self.floor_ms.max(newest.unwrap_or(0));
        }
    }
}

impl Fence {
    fn owners_before(&self, id: &RequestId) -> Vec<VmName> {
        match &self.before {
            Before::Config(config) => {
                let owner = key_owner(config, &id.service, &id.key);
                owner.map(|owner| owner.vm.clone()).into_iter().collect()
            }
            Before::Anyone(configs) => {
                let vms = configs.iter().flat_map(|config| vms_for(config, id));
                vms.collect()
            }
        }
    }
}

/// Returns the VMs that could own a key by a configuration, whatever the hash.
fn vms_for(config: &Config, id: &RequestId) -> Vec<VmName> {
    let in_domain = |domain: &DomainName| {
        config
            .upstreams_of(&id.service)
            .filter(|upstream| upstream.domain == *domain)
            .map(|upstream| upstream.vm.clone())
            .collect::<Vec<_>>()
    };
    let vms = id.key.domain().map(in_domain).unwrap_or_default();
    if !vms.is_empty() {
        return vms;
    }
    vms_of(config, &id.service).collect()
}

fn vms_of<'a>(config: &'a Config, service: &'a ServiceName) -> impl Iterator<Item = VmName> + 'a {
    let upstreams = config.upstreams_of(service);
    upstreams.map(|upstream| upstream.vm.clone())
}

/// Returns all that the choice of owners depends on.
fn members<'a>(
    config: &'a Config,
    service: &'a ServiceName,
) -> BTreeSet<(&'a str, &'a VmName, &'a DomainName)> {
    config
        .upstreams_of(service)
        .map(|upstream| (upstream.name.as_str(), &upstream.vm, &upstream.domain))
        .collect()
}
