//! Resources that release notes add, change and withdraw by name.

use crate::{
    error::Kind,
    name::{OrganisationName, RouteName, ServiceName, UpstreamName},
    note::{RouteSpec, ServiceSpec, UpstreamSpec},
    organisation::Organisation,
};

/// A resource that release notes add, change and withdraw by name.
pub(crate) trait Named {
    /// Type of the name.
    type Name: Ord + Clone + ToString + AsRef<str>;
    /// Kind of the resource.
    const KIND: Kind;

    /// Returns the name.
    fn name(&self) -> &Self::Name;
}

impl Named for ServiceSpec {
    type Name = ServiceName;
    const KIND: Kind = Kind::Service;

    fn name(&self) -> &ServiceName {
        &self.name
    }
}

impl Named for RouteSpec {
    type Name = RouteName;
    const KIND: Kind = Kind::Route;

    fn name(&self) -> &RouteName {
        &self.name
    }
}

impl Named for UpstreamSpec {
    type Name = UpstreamName;
    const KIND: Kind = Kind::Upstream;

    fn name(&self) -> &UpstreamName {
        &self.name
    }
}

impl Named for Organisation {
    type Name = OrganisationName;
    const KIND: Kind = Kind::Organisation;

    fn name(&self) -> &OrganisationName {
        &self.name
    }
}
