//! Handover of idempotency keys when a note changes the upstreams of a service.

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

/// Ownership of idempotency keys across changes of the configuration, as seen by one VM.
///
/// Until the previous owner of a key confirms that it applies the new configuration, both VMs
/// could run the request with that key. The new owner therefore rejects the key until the
/// confirmation arrives. Afterwards it rejects unknown keys that were created before the
/// confirmation, as their requests may have run on the previous owner.
#[derive(Clone, Debug)]
pub struct KeyHandover {
    vm: VmName,
    config: Arc<Config>,
    changes: VecDeque<OwnerChange>,
    listed: BTreeSet<VmName>,
    list_number: Option<u64>,
    floor_ms: u64,
}

/// Whether a VM may accept requests with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ownership {
    /// This VM owns the key. Unknown keys that were created before `floor_ms` may have run
    /// elsewhere.
    Owned {
        /// Time in milliseconds since the Unix epoch.
        floor_ms: u64,
    },
    /// This VM owns the key, but a previous owner has not confirmed the change yet.
    Pending,
    /// Another VM owns the key.
    Other,
}

/// All keys that a previous owner knows and another VM owns now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownKeys {
    /// Time in milliseconds since the Unix epoch; further keys created before it may have run.
    pub floor_ms: u64,
    /// Requests that may have run.
    pub requests: Vec<RequestId>,
}

/// Change of key owners by a new configuration.
#[derive(Clone, Debug)]
struct OwnerChange {
    sequence: Sequence,
    prior: PriorOwners,
    started: Instant,
    confirmed: BTreeMap<VmName, u64>,
    awaited: BTreeSet<VmName>,
}

/// VMs that may have owned keys before a change.
#[derive(Clone, Debug)]
enum PriorOwners {
    /// The owners under this configuration.
    Config(Arc<Config>),
    /// Any VM of the service in these configurations. This VM does not know the exact previous
    /// owners because it has just started, skipped notes or had no upstream of the service.
    AnyMember(Vec<Arc<Config>>),
}

/// Time after a change at which no key created before it is accepted any more.
const MAX_KEY_AGE: Duration = Duration::from_secs(600);
/// Maximum delay of the list of VMs.
const MAX_LIST_LAG: Duration = Duration::from_secs(10);
/// Number of changes above which completed ones are merged into a single floor.
const MAX_CHANGES: usize = 64;

impl KeyHandover {
    /// Returns the state of a process that has not received a configuration yet.
    #[must_use]
    pub fn new(vm: VmName) -> Self {
        Self {
            vm,
            config: Arc::default(),
            changes: VecDeque::new(),
            listed: BTreeSet::new(),
            list_number: None,
            floor_ms: 0,
        }
    }

    /// Applies a configuration; ignores it unless it is newer than the current one.
    pub fn update(&mut self, config: &Arc<Config>, now: Instant) {
        if config.sequence <= self.config.sequence {
            return;
        }
        let prior = std::mem::replace(&mut self.config, Arc::clone(config));
        let is_next = prior.sequence.next() == config.sequence && prior.sequence.0 > 0;
        let has_new_service = !self
            .local_services(config)
            .is_subset(&self.local_services(&prior));
        let prior = if is_next && !has_new_service {
            PriorOwners::Config(prior)
        } else {
            PriorOwners::AnyMember(vec![prior, Arc::clone(config)])
        };
        let awaited = self.prior_owners(&prior);
        if awaited.is_empty() {
            return;
        }
        self.changes.push_back(OwnerChange {
            sequence: config.sequence,
            prior,
            started: now,
            confirmed: BTreeMap::new(),
            awaited,
        });
        self.drop_expired(now);
    }

    /// Returns whether this VM may accept requests with a key.
    #[must_use]
    pub fn ownership(&self, id: &RequestId) -> Ownership {
        let owner = key_owner(&self.config, &id.service, &id.key);
        if owner.is_none_or(|owner| owner.vm != self.vm) {
            return Ownership::Other;
        }
        let mut floor_ms = self.floor_ms;
        for change in &self.changes {
            for vm in change.prior_owners(id) {
                if vm == self.vm {
                    continue;
                }
                match change.confirmed.get(&vm) {
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
        for change in &self.changes {
            for vm in &change.awaited {
                awaited.insert(vm.clone(), change.sequence);
            }
        }
        awaited
    }

    /// Returns the sequence of the configuration in use.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.config.sequence
    }

    /// Returns the keys of the ledger that `vm` owns now; `None` if there are more than `limit`.
    ///
    /// Confirmations that this VM still awaits are not taken into account, because the new owner
    /// awaits them from the same VMs.
    #[must_use]
    pub fn keys_for(&self, ledger: &Ledger, vm: &VmName, limit: usize) -> Option<KnownKeys> {
        let confirmed = self
            .changes
            .iter()
            .flat_map(|f| f.confirmed.values().copied());
        let floor_ms = confirmed.chain([self.floor_ms, ledger.floor_ms()]).max()?;
        let is_owned = |id: &&RequestId| {
            let owner = key_owner(&self.config, &id.service, &id.key);
            owner.is_some_and(|owner| owner.vm == *vm)
        };
        let owned = ledger.requests().filter(is_owned);
        let requests: Vec<_> = owned.take(limit + 1).cloned().collect();
        (requests.len() <= limit).then_some(KnownKeys { floor_ms, requests })
    }

    /// Records that a VM applies a sequence. That VM cannot have accepted a key created at or
    /// after `floor_ms`, the current time plus the maximum clock skew.
    pub fn confirm(&mut self, vm: &VmName, sequence: Sequence, floor_ms: u64) {
        for change in &mut self.changes {
            if change.sequence <= sequence && change.awaited.remove(vm) {
                change.confirmed.insert(vm.clone(), floor_ms);
            }
        }
    }

    /// Applies a list of VMs. A VM that is no longer listed has ended and counts as having
    /// confirmed.
    pub fn observe_vms(&mut self, vms: &VmList, floor_ms: u64) {
        if self.list_number.is_some_and(|number| number >= vms.number) {
            return;
        }
        self.list_number = Some(vms.number);
        let listed: BTreeSet<_> = vms.vms.iter().map(|entry| entry.vm.clone()).collect();
        let gone: Vec<_> = self.listed.difference(&listed).cloned().collect();
        for vm in gone {
            self.confirm(&vm, self.config.sequence, floor_ms);
        }
        self.listed = listed;
    }

    /// Counts awaited VMs that are not listed as having confirmed, once the list of VMs can no
    /// longer be older than the change.
    pub fn confirm_unlisted(&mut self, floor_ms: u64, now: Instant) {
        if self.listed.is_empty() {
            return;
        }
        let is_due =
            |change: &&OwnerChange| now.saturating_duration_since(change.started) > MAX_LIST_LAG;
        let due = self.changes.iter().filter(is_due);
        let awaited = due.flat_map(|change| change.awaited.iter());
        let unlisted: Vec<_> = awaited
            .filter(|vm| !self.listed.contains(*vm))
            .cloned()
            .collect();
        for vm in unlisted {
            self.confirm(&vm, self.config.sequence, floor_ms);
        }
    }

    /// Returns the other VMs that may still accept keys that this VM owns now.
    fn prior_owners(&self, prior: &PriorOwners) -> BTreeSet<VmName> {
        let mut owners = BTreeSet::new();
        for service in self.local_services(&self.config) {
            match prior {
                PriorOwners::Config(prior) => {
                    if members(prior, service) != members(&self.config, service) {
                        owners.extend(service_vms(prior, service));
                    }
                }
                PriorOwners::AnyMember(configs) => {
                    owners.extend(
                        configs
                            .iter()
                            .flat_map(|config| service_vms(config, service)),
                    );
                }
            }
        }
        owners.remove(&self.vm);
        owners
    }

    /// Returns the services that have an upstream on this VM.
    fn local_services<'a>(&self, config: &'a Config) -> BTreeSet<&'a ServiceName> {
        let own = config.upstreams.values();
        own.filter(|upstream| upstream.vm == self.vm)
            .map(|upstream| &upstream.service)
            .collect()
    }

    /// Drops completed changes whose earlier keys are too old to be accepted, and merges further
    /// completed changes into the floor while there are more than [`MAX_CHANGES`].
    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |change: &OwnerChange| {
            change.awaited.is_empty() && now.saturating_duration_since(change.started) > MAX_KEY_AGE
        };
        self.changes.retain(|change| !is_expired(change));
        while self.changes.len() > MAX_CHANGES {
            let complete = self
                .changes
                .iter()
                .position(|change| change.awaited.is_empty());
            let Some(change) = complete.and_then(|complete| self.changes.remove(complete)) else {
                return;
            };
            let newest = change.confirmed.values().copied().max();
            self.floor_ms = self.floor_ms.max(newest.unwrap_or(0));
        }
    }
}

impl OwnerChange {
    fn prior_owners(&self, id: &RequestId) -> Vec<VmName> {
        match &self.prior {
            PriorOwners::Config(config) => {
                let owner = key_owner(config, &id.service, &id.key);
                owner.map(|owner| owner.vm.clone()).into_iter().collect()
            }
            PriorOwners::AnyMember(configs) => {
                let vms = configs
                    .iter()
                    .flat_map(|config| possible_owners(config, id));
                vms.collect()
            }
        }
    }
}

/// Returns the VMs that could own a key under a configuration, regardless of the hash.
fn possible_owners(config: &Config, id: &RequestId) -> Vec<VmName> {
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
    service_vms(config, &id.service).collect()
}

fn service_vms<'a>(
    config: &'a Config,
    service: &'a ServiceName,
) -> impl Iterator<Item = VmName> + 'a {
    let upstreams = config.upstreams_of(service);
    upstreams.map(|upstream| upstream.vm.clone())
}

/// Returns the attributes of the upstreams of a service that determine key ownership.
fn members<'a>(
    config: &'a Config,
    service: &'a ServiceName,
) -> BTreeSet<(&'a str, &'a VmName, &'a DomainName)> {
    config
        .upstreams_of(service)
        .map(|upstream| (upstream.name.as_str(), &upstream.vm, &upstream.domain))
        .collect()
}
