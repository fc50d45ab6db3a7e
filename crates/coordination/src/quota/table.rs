//! Quotas of a configuration.

use std::collections::BTreeMap;

use crate::{
    name::OrganisationName,
    organisation::{Organisation, QuotaRate},
    sequence::Sequence,
};

/// Quotas of the organisations of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaTable {
    /// Sequence of the configuration.
    pub sequence: Sequence,
    limits: BTreeMap<OrganisationName, QuotaRate>,
}

impl QuotaTable {
    /// Returns the quotas of the organisations that have one.
    pub fn new<'a>(
        sequence: Sequence,
        organisations: impl IntoIterator<Item = &'a Organisation>,
    ) -> Self {
        let organisations = organisations.into_iter();
        let limits = organisations.filter_map(|organisation| {
            let quota = organisation.quota?;
            Some((organisation.name.clone(), quota))
        });
        Self {
            sequence,
            limits: limits.collect(),
        }
    }

    /// Returns whether no organisation has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the quota of an organisation, if it has one.
    #[must_use]
    pub fn get(&self, name: &OrganisationName) -> Option<QuotaRate> {
        self.limits.get(name).copied()
    }
}
