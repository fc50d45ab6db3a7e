//! Rules that hold for a whole configuration.

use std::collections::BTreeMap;

use super::{Config, Route, Upstream};
use crate::{
    error::{Kind, NoteError},
    name::{DomainName, ServiceName, VmName},
    note::ReleaseNote,
    rule::Rule,
};

impl Config {
    /// Checks all rules; the note tells what was withdrawn last.
    pub(super) fn check(&self, note: &ReleaseNote) -> Result<(), NoteError> {
        for route in self.routes.values() {
            self.check_route(route, note)?;
        }
        for upstream in self.upstreams.values() {
            self.check_upstream(upstream, note)?;
        }
        self.check_overlap()?;
        self.check_addresses()?;
        self.check_domains()
    }

    fn check_route(&self, route: &Route, note: &ReleaseNote) -> Result<(), NoteError> {
        for service in route.services() {
            self.check_service(service, Kind::Route, route.name.as_str(), note)?;
        }
        if !route.path.starts_with('/') {
            let reason = format!("route {}: the path must start with a slash", route.name);
            return Err(NoteError::new(Rule::Path, reason).about(Kind::Route, route.name.as_str()));
        }
        if route.timeout_ms == 0 {
            return Err(out_of_range(Kind::Route, route.name.as_str(), "timeout_ms"));
        }
        Ok(())
    }

    fn check_upstream(&self, upstream: &Upstream, note: &ReleaseNote) -> Result<(), NoteError> {
        let name = upstream.name.as_str();
        self.check_service(&upstream.service, Kind::Upstream, name, note)?;
        if upstream.slots == 0 {
            return Err(out_of_range(Kind::Upstream, name, "slots"));
        }
        if upstream.connections == 0 {
            return Err(out_of_range(Kind::Upstream, name, "connections"));
        }
        if upstream.address.port() == 0 {
            return Err(out_of_range(
                Kind::Upstream,
                name,
                "the port of the address",
            ));
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
        let word = kind.as_str();
        if note.services.withdraw.contains(service) {
            let reason =
                format!("service {service} is withdrawn but {word} {referrer} still needs it");
            let err = NoteError::new(Rule::InUse, reason);
            return Err(err.about(Kind::Service, service.as_str()));
        }
        let reason = format!("{word} {referrer} names service {service}, which does not exist");
        Err(NoteError::new(Rule::Exists, reason).about(kind, referrer))
    }

    fn check_overlap(&self) -> Result<(), NoteError> {
        let mut seen: BTreeMap<(Option<&str>, &str), Vec<&Route>> = BTreeMap::new();
        for route in self.routes.values() {
            let path = route.path.trim_end_matches('/');
            let same = seen.entry((route.host.as_deref(), path)).or_default();
            if let Some(other) = same.iter().find(|other| methods_overlap(other, route)) {
                let (name, other) = (&route.name, &other.name);
                let reason = format!("routes {other} and {name} have the same path and method");
                let err = NoteError::new(Rule::Overlap, reason);
                return Err(err
                    .about(Kind::Route, name.as_str())
                    .about(Kind::Route, other.as_str()));
            }
            same.push(route);
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), NoteError> {
        let mut seen = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let place = (&upstream.vm, upstream.address);
            if let Some(other) = seen.insert(place, upstream) {
                let (vm, address) = place;
                let reason = format!(
                    "upstreams {} and {} have the same address {address} on VM {vm}",
                    other.name, upstream.name
                );
                return Err(about_both(Rule::Address, reason, upstream, other));
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
                    "VM {} lies in failure domain {domain} for upstream {} and in {} for {}",
                    upstream.vm, other.name, upstream.domain, upstream.name
                );
                return Err(about_both(Rule::Domain, reason, upstream, other));
            }
        }
        Ok(())
    }
}

fn about_both(rule: Rule, reason: String, a: &Upstream, b: &Upstream) -> NoteError {
    NoteError::new(rule, reason)
        .about(Kind::Upstream, a.name.as_str())
        .about(Kind::Upstream, b.name.as_str())
}

fn out_of_range(kind: Kind, name: &str, field: &str) -> NoteError {
    let reason = format!("{} {name}: {field} must be above 0", kind.as_str());
    NoteError::new(Rule::Range, reason).about(kind, name)
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}
