//! The platform's list of VMs and the identity of a process on a VM.

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    config::Upstream,
    era::era_of,
    name::{DomainName, RegionName, ServiceName, UpstreamName, VmName},
    note::UpstreamStart,
};

/// The platform's list of live and leaving VMs, which may be out of date.
///
/// Lists are ordered by `number`, which the platform increases with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmList {
    /// Version number of the list.
    pub number: u64,
    /// Entries, one for each VM.
    pub vms: Vec<Arc<VmEntry>>,
}

/// Number of low bits in the number of a list that count changes at one revision of the platform.
const CHANGE_BITS: u32 = 8;

impl VmList {
    /// Returns the lowest number of a list at an ordered revision of the platform.
    #[must_use]
    pub(crate) fn first_number(revision: u64) -> u64 {
        revision << CHANGE_BITS
    }

    /// Returns the ordered revision of the platform from which the list was derived.
    #[must_use]
    pub(crate) fn revision(&self) -> u64 {
        self.number >> CHANGE_BITS
    }

    /// Returns the era of the platform from which the list was derived: how often it was restored.
    #[must_use]
    pub fn era(&self) -> u64 {
        era_of(self.revision())
    }

    /// Returns the entry of a VM.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&Arc<VmEntry>> {
        self.vms.iter().find(|entry| entry.vm == *vm)
    }

    /// Returns the entries indexed by VM name.
    #[must_use]
    pub fn by_name(&self) -> BTreeMap<VmName, Arc<VmEntry>> {
        self.vms
            .iter()
            .map(|entry| (entry.vm.clone(), Arc::clone(entry)))
            .collect()
    }
}

/// Entry of one VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: VmName,
    /// Failure domain in which the VM runs.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Address on which the VM's node accepts connections from other nodes.
    pub address: SocketAddr,
    /// State that the platform reports for the VM.
    #[serde(default)]
    pub state: VmState,
    /// Upstreams that the platform lists on the VM, in addition to those in release notes.
    #[serde(default)]
    pub upstreams: Vec<ListedUpstream>,
}

impl VmEntry {
    /// Iterates over the upstreams that the platform lists on the VM, converted to the type used for
    /// upstreams in release notes. Only the sidecar connects to them, so the number of slots also
    /// limits the connections.
    pub fn listed_upstreams(&self) -> impl Iterator<Item = Arc<Upstream>> + '_ {
        self.upstreams.iter().map(|listed| {
            Arc::new(Upstream {
                name: listed.name.clone(),
                service: listed.service.clone(),
                vm: self.vm.clone(),
                domain: self.domain.clone(),
                address: listed.address,
                slots: listed.slots,
                connections: listed.slots,
                start: Some(UpstreamStart {
                    started: listed.started,
                    cold_ms: listed.cold_ms,
                }),
            })
        })
    }
}

/// An upstream that the platform lists on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedUpstream {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// Address of the upstream as seen from its VM.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in milliseconds since the Unix epoch, by the clock of the upstream's VM.
    pub started: u64,
    /// Remaining cold time in milliseconds, counted from the list change.
    #[serde(default)]
    pub cold_ms: u64,
}

/// State that the platform reports for a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    #[default]
    Live,
    /// The VM is about to be removed.
    Leaving,
    /// The platform no longer lists the VM's upstreams, although none was asked to leave. Either
    /// they are gone or they can't reach the platform; the VM's node determines which.
    Unlisted,
}

/// Identity of one process on a VM; a replacement at the same address has a higher value.
///
/// The value is the process's start time in microseconds since the Unix epoch, read once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
