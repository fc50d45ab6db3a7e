//! Interface to a store that holds the newest configuration in full.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, error::Error, time::Duration};

use crate::{
    config::Config,
    drain::{DrainAction, DrainList, DrainOrder, DrainScope},
    era::{era_of, ordered_revision},
    name::{DomainName, UpstreamName},
    registrations::Registration,
};

/// Store that can be read and watched. Each deployment implements it with its own names, formats
/// and calls.
pub trait ConfigStore {
    /// Error of a call to the store.
    type Error: Error;

    /// Reads everything in the store, including all acknowledged writes.
    fn read(&mut self) -> impl Future<Output = Result<StoreState, Self::Error>>;

    /// Reads only the registrations; they may be some seconds old.
    fn read_registrations(&mut self) -> impl Future<Output = Result<StoreState, Self::Error>>;

    /// Returns the highest era that the answers of the store have stated.
    fn era(&self) -> u64;

    /// Asks for any answer at the lowest cost; it may be some seconds old.
    fn probe(&mut self) -> impl Future<Output = Result<(), Self::Error>>;

    /// Returns whether an upstream is registered now.
    fn is_registered(
        &mut self,
        name: &UpstreamName,
    ) -> impl Future<Output = Result<bool, Self::Error>>;

    /// Waits for changes after an ordered revision, at most for `wait`.
    fn watch(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, Self::Error>>;

    /// Classifies an error by how the next read has to proceed.
    fn failure(err: &Self::Error) -> StoreFailure;
}

/// Contents of a store.
#[derive(Debug, Default)]
pub struct StoreState {
    /// The newest configuration; `None` if there is none or it is invalid.
    pub config: Option<Config>,
    /// Registrations of upstreams.
    pub registrations: Vec<Registration>,
    /// Drained failure domains with the revision of each order; `None` if the orders were not read.
    pub drained: Option<BTreeMap<DomainName, u64>>,
    /// Invalid values.
    pub unusable: Vec<UnusableValue>,
    /// Ordered revision after which changes have to be watched.
    pub revision: u64,
}

impl StoreState {
    /// Lowers the revision to the first one of its era, for contents that may be older than it.
    ///
    /// A list of VMs that follows from them then replaces no list of a reader, which may know that an
    /// upstream is leaving or that one without a registration still serves.
    #[must_use]
    pub fn with_lowest_revision(mut self) -> Self {
        self.revision = ordered_revision(era_of(self.revision), 0);
        self
    }

    /// Returns the orders that result from a read: the active drain orders, and a restore order for
    /// each known drain order that is no longer active.
    ///
    /// A store that was just restored may have forgotten orders that are written again, so none is
    /// ended while `is_restoring` is set.
    #[must_use]
    pub fn orders(&self, known: &DrainList, is_restoring: bool) -> Vec<DrainOrder> {
        let Some(drained) = &self.drained else {
            return Vec::new();
        };
        let active = drained.iter();
        let active = active
            .map(|(name, revision)| drain_order(DrainScope::Domain(name.clone()), true, *revision));
        let is_active = |scope: &DrainScope| match scope {
            DrainScope::Domain(domain) => drained.contains_key(domain),
            DrainScope::Vm(_) => false,
        };
        let ended = known.iter().filter(|known| {
            let is_drained = known.action == DrainAction::Drain;
            is_drained && !is_restoring && !is_active(&known.scope)
        });
        let ended = ended.map(|known| drain_order(known.scope, false, self.revision));
        active.chain(ended).collect()
    }
}

/// Changes to a store after a revision.
#[derive(Debug, Default)]
pub struct StoreChanges {
    /// Changes in the order of their revisions.
    pub changes: Vec<StoreChange>,
    /// Ordered revision from which to continue watching.
    pub revision: u64,
}

/// Change to a store.
#[derive(Debug)]
pub enum StoreChange {
    /// A newer, complete configuration.
    Config(Config),
    /// A changed registration.
    Registration {
        /// Upstream that registered.
        name: UpstreamName,
        /// The registration; `None` if it was removed.
        registration: Option<Registration>,
        /// Revision of the change.
        revision: u64,
    },
    /// A drain order for a failure domain, or a restore order that ends one.
    Order(DrainOrder),
    /// An invalid value. Readers keep the previous configuration and orders, and treat an invalid
    /// registration as removed.
    Unusable(UnusableValue),
}

/// Invalid value in a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableValue {
    /// Key of the value.
    pub key: String,
    /// Upstream whose registration the value replaces, if the key belongs to a registration.
    pub upstream: Option<UpstreamName>,
    /// Revision of the value.
    pub revision: u64,
    /// Reason for which the value is invalid.
    pub reason: String,
}

/// How to proceed after a failed read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store no longer holds the requested revisions; everything has to be read again.
    Compacted,
    /// The store was restored from an older copy; everything has to be read again.
    Restored,
    /// The store is busy and asks for a delay.
    Busy {
        /// Time to wait.
        after: Duration,
    },
    /// The store cannot be reached, or the call failed.
    Unavailable,
}

fn drain_order(scope: DrainScope, is_drained: bool, number: u64) -> DrainOrder {
    let action = if is_drained {
        DrainAction::Drain
    } else {
        DrainAction::Restore
    };
    DrainOrder {
        number,
        scope,
        action,
    }
}
