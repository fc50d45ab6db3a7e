//! What a node reads from a store that holds the newest configuration in full.

#[cfg(test)]
mod tests;

use std::{collections::BTreeMap, error::Error, time::Duration};

use crate::{
    config::Config,
    drain::{DrainAction, DrainList, DrainOrder, DrainScope},
    name::{DomainName, UpstreamName},
    registrations::Registration,
};

/// Store that can be read and watched; each deployment has its own names, formats and calls.
pub trait ConfigStore {
    /// Why the store gave no usable answer.
    type Error: Error;

    /// Reads all that the store holds, never older than what it acknowledged.
    fn read(&mut self) -> impl Future<Output = Result<StoreState, Self::Error>>;

    /// Reads the registrations alone; they may be some seconds old.
    fn read_registrations(&mut self) -> impl Future<Output = Result<StoreState, Self::Error>>;

    /// Returns whether an upstream is registered now.
    fn is_registered(
        &mut self,
        name: &UpstreamName,
    ) -> impl Future<Output = Result<bool, Self::Error>>;

    /// Waits for changes after a revision, at most for a time.
    fn watch(
        &mut self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<StoreChanges, Self::Error>>;

    /// Returns what an error means for the next reading.
    fn failure(err: &Self::Error) -> StoreFailure;
}

/// All that a store holds.
#[derive(Debug, Default)]
pub struct StoreState {
    /// The newest configuration, if there is a usable one.
    pub config: Option<Config>,
    /// Registrations of upstreams.
    pub registrations: Vec<Registration>,
    /// Failure domains that are to get no work, with the revision of the order; `None` where the
    /// orders were not read.
    pub drained: Option<BTreeMap<DomainName, u64>>,
    /// Values that can't be used.
    pub unusable: Vec<UnusableValue>,
    /// Revision from which changes are to be watched.
    pub revision: u64,
}

impl StoreState {
    /// Returns the orders that follow from the reading: those that stand, and the end of those that
    /// are known and no longer stand.
    #[must_use]
    pub fn orders(&self, known: &DrainList) -> Vec<DrainOrder> {
        let Some(drained) = &self.drained else {
            return Vec::new();
        };
        let standing = drained.iter();
        let standing = standing
            .map(|(domain, revision)| order(DrainScope::Domain(domain.clone()), true, *revision));
        let stands = |scope: &DrainScope| match scope {
            DrainScope::Domain(domain) => drained.contains_key(domain),
            DrainScope::Vm(_) => false,
        };
        let ended = known.iter().filter(|known| {
            let is_drained = known.action == DrainAction::Drain;
            is_drained && !stands(&known.scope)
        });
        let ended = ended.map(|known| order(known.scope, false, self.revision));
        standing.chain(ended).collect()
    }
}

/// Changes of a store after a revision.
#[derive(Debug, Default)]
pub struct StoreChanges {
    /// The changes, in their order.
    pub changes: Vec<StoreChange>,
    /// Revision from which to go on.
    pub revision: u64,
}

/// One change of a store.
#[derive(Debug)]
pub enum StoreChange {
    /// A newer configuration in full.
    Config(Config),
    /// A registration, or `None` where it is gone.
    Registration {
        /// Upstream that registered.
        name: UpstreamName,
        /// The registration.
        registration: Option<Registration>,
        /// Revision of the change.
        revision: u64,
    },
    /// A failure domain is to get no work, or gets work again.
    Order(DrainOrder),
    /// A value that can't be used; what was known before stays in force.
    Unusable(UnusableValue),
}

/// A value that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusableValue {
    /// Key of the value.
    pub key: String,
    /// Upstream whose registration the value replaces, if it stands under the key of one.
    pub upstream: Option<UpstreamName>,
    /// Revision of the value.
    pub revision: u64,
    /// What is wrong with it.
    pub reason: String,
}

/// What a failed reading means for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store no longer holds the changes; all has to be read anew.
    Compacted,
    /// The store asks to wait.
    Busy {
        /// Time to wait.
        after: Duration,
    },
    /// The store can't be reached or failed.
    Unavailable,
}

fn order(scope: DrainScope, is_drained: bool, number: u64) -> DrainOrder {
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
