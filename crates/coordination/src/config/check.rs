//! Rules that a complete configuration must satisfy.

use std::collections::BTreeMap;

use super::{Config, Route, Upstream};
use crate::{
    error::{Kind, NoteError},
    name::{DomainName, OrganisationName, ServiceName, VmName},
    note::ReleaseNote,
    organisation::{KeyDigest, QuotaRate},
    rule::Rule,
};

impl Config {
    /// Checks all rules. The note just applied serves to report a reference to a withdrawn service
    /// as [`Rule::InUse`] instead of [`Rule::Exists`].
    pub(super) fn check(&self, note: &ReleaseNote) -> Result<(), NoteError> {
        for route in self.routes.values() {
            self.check_route(route, note)?;
        }
        for upstream in self.upstreams.values() {
            self.check_upstream(upstream, note)?;
        }
        self.check_overlap()?;
        self.check_addresses()?;
        self.check_domains()?;
        self.check_organisations()
    }

    fn check_route(&self, route: &Route, note: &ReleaseNote) -> Result<(), NoteError> {
        for service in route.services() {
            self.check_service(service, Kind::Route, route.name.as_str(), note)?;
        }
        if !route.path.starts_with('/') {
            let reason = format!("route {}: the path must start with a slash", route.name);
            return Err(
                NoteError::new(Rule::Path, reason).with_subject(Kind::Route, route.name.as_str())
            );
        }
        if route.timeout_ms == 0 {
            return Err(range_error(Kind::Route, route.name.as_str(), "timeout_ms"));
        }
        Ok(())
    }

    fn check_upstream(&self, upstream: &Upstream, note: &ReleaseNote) -> Result<(), NoteError> {
        let name = upstream.name.as_str();
        self.check_service(&upstream.service, Kind::Upstream, name, note)?;
        if upstream.slots == 0 {
            return Err(range_error(Kind::Upstream, name, "slots"));
        }
        if upstream.connections == 0 {
            return Err(range_error(Kind::Upstream, name, "connections"));
        }
        if upstream.address.port() == 0 {
            return Err(range_error(Kind::Upstream, name, "the port of the address"));
        }
        Ok(())
    }

    fn check_service(
        &self,
        service: &ServiceName,
        kind: Kind,
        referrer: &str,
        note: &ReleaseNote,
    ) -> Result<(), NoteError> {
        if self.services.contains_key(service) {
            return Ok(());
        }
        let kind_name = kind.as_str();
        if note.services.withdraw.contains(service) {
            let reason =
                format!("service {service} is withdrawn but {kind_name} {referrer} still needs it");
            let err = NoteError::new(Rule::InUse, reason);
            return Err(err.with_subject(Kind::Service, service.as_str()));
        }
        let reason =
            format!("{kind_name} {referrer} names service {service}, which does not exist");
        Err(NoteError::new(Rule::Exists, reason).with_subject(kind, referrer))
    }

    fn check_overlap(&self) -> Result<(), NoteError> {
        let mut seen: BTreeMap<(Option<&str>, &str), Vec<&Route>> = BTreeMap::new();
        for route in self.routes.values() {
            let path = route.path.trim_end_matches('/');
            let routes = seen.entry((route.host.as_deref(), path)).or_default();
            if let Some(other) = routes.iter().find(|other| methods_overlap(other, route)) {
                let (name, other) = (&route.name, &other.name);
                let reason = format!("routes {other} and {name} have the same path and method");
                let err = NoteError::new(Rule::Overlap, reason);
                return Err(err
                    .with_subject(Kind::Route, name.as_str())
                    .with_subject(Kind::Route, other.as_str()));
            }
            routes.push(route);
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), NoteError> {
        let mut seen = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let key = (&upstream.vm, upstream.address);
            if let Some(other) = seen.insert(key, upstream) {
                let (vm, address) = key;
                let reason = format!(
                    "upstreams {} and {} have the same address {address} on VM {vm}",
                    other.name, upstream.name
                );
                return Err(conflict_error(Rule::Address, reason, upstream, other));
            }
        }
        Ok(())
    }

    fn check_domains(&self) -> Result<(), NoteError> {
        let mut seen: BTreeMap<&VmName, (&DomainName, &Upstream)> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let first = seen
                .entry(&upstream.vm)
                .or_insert((&upstream.domain, upstream));
            let (domain, other) = *first;
            if *domain != upstream.domain {
                let reason = format!(
                    "VM {} is in failure domain {domain} for upstream {} and in {} for {}",
                    upstream.vm, other.name, upstream.domain, upstream.name
                );
                return Err(conflict_error(Rule::Domain, reason, upstream, other));
            }
        }
        Ok(())
    }

    /// Checks quotas, and that each API key identifies one organisation.
    fn check_organisations(&self) -> Result<(), NoteError> {
        let mut seen: BTreeMap<KeyDigest, &OrganisationName> = BTreeMap::new();
        for organisation in self.organisations.iter().flat_map(BTreeMap::values) {
            let name = &organisation.name;
            if let Some(quota) = organisation.quota {
                check_quota(name, quota)?;
            }
            for digest in &organisation.digests {
                let other = *seen.entry(*digest).or_insert(name);
                if other != name {
                    let reason = format!("organisations {other} and {name} have the same API key");
                    return Err(NoteError::new(Rule::Unique, reason)
                        .with_subject(Kind::Organisation, name.as_str())
                        .with_subject(Kind::Organisation, other.as_str()));
                }
            }
        }
        Ok(())
    }
}

fn check_quota(name: &OrganisationName, quota: QuotaRate) -> Result<(), NoteError> {
    if !(quota.per_second.is_finite() && quota.per_second > 0.0) {
        return Err(range_error(Kind::Organisation, name.as_str(), "per_second"));
    }
    if quota.burst.is_finite() && quota.burst >= 0.0 {
        return Ok(());
    }
    let reason = format!("organisation {name}: burst must not be negative");
    Err(NoteError::new(Rule::Range, reason).with_subject(Kind::Organisation, name.as_str()))
}

fn conflict_error(rule: Rule, reason: String, a: &Upstream, b: &Upstream) -> NoteError {
    NoteError::new(rule, reason)
        .with_subject(Kind::Upstream, a.name.as_str())
        .with_subject(Kind::Upstream, b.name.as_str())
}

fn range_error(kind: Kind, name: &str, field: &str) -> NoteError {
    let reason = format!("{} {name}: {field} must be above 0", kind.as_str());
    NoteError::new(Rule::Range, reason).with_subject(kind, name)
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}
