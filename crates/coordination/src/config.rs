//! Immutable configuration that results from folding release notes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    error::NoteError,
    name::{RouteName, ServiceName, UpstreamName},
    note::{Changes, ReleaseNote, RouteSpec, ServiceSpec, UpstreamSpec},
    sequence::Sequence,
};

/// A service in force.
pub type Service = ServiceSpec;
/// A route in force.
pub type Route = RouteSpec;
/// An upstream in force.
pub type Upstream = UpstreamSpec;

/// The whole configuration at one sequence number; never changed in place.
///
/// Serialised, it is the platform's `base` value and a peer's snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Sequence of the last note that is folded in.
    pub sequence: Sequence,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Arc<Upstream>>,
}

impl Config {
    /// Returns the configuration with one note applied, whole or not at all.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the note breaks; `self` stays as it is.
    pub fn apply(&self, note: &ReleaseNote) -> Result<Self, NoteError> {
        let mut next = self.clone();
        next.sequence = note.note;
        apply_changes("service", &mut next.services, &note.services)?;
        apply_changes("route", &mut next.routes, &note.routes)?;
        apply_changes("upstream", &mut next.upstreams, &note.upstreams)?;
        next.check(note)?;
        Ok(next)
    }

    /// Checks the rules that hold for a whole configuration.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn validate(&self) -> Result<(), NoteError> {
        self.check(&ReleaseNote::default())
    }

    /// Iterates over the upstreams of a service, in the order of their names.
    pub fn upstreams_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<Upstream>> + 'a {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.service == *service)
    }

    /// Returns a hash that is equal on all nodes with the same configuration.
    ///
    /// # Panics
    ///
    /// Does not panic: a configuration always serialises.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(self).expect("a configuration serialises");
        xxh3_64(&text)
    }

    fn check(&self, note: &ReleaseNote) -> Result<(), NoteError> {
        for route in self.routes.values() {
            self.check_route(route, note)?;
        }
        self.check_route_overlap()?;
        let mut addresses = BTreeMap::new();
        for upstream in self.upstreams.values() {
            self.check_upstream(upstream, note)?;
            let place = (&upstream.vm, upstream.address);
            if let Some(other) = addresses.insert(place, &upstream.name) {
                return Err(invalid(
                    format!("upstream {}", upstream.name),
                    format!("address {} is that of {other}", upstream.address),
                ));
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route, note: &ReleaseNote) -> Result<(), NoteError> {
        let owner = format!("route {}", route.name);
        self.check_service(&route.service, &owner, note)?;
        if !route.path.starts_with('/') {
            return Err(invalid(owner, "the path must start with a slash"));
        }
        if route.timeout_ms == 0 {
            return Err(invalid(owner, "timeout_ms must be above 0"));
        }
        Ok(())
    }

    fn check_route_overlap(&self) -> Result<(), NoteError> {
        let mut seen: BTreeMap<&str, Vec<&Arc<Route>>> = BTreeMap::new();
        for route in self.routes.values() {
            let key = route.path.trim_end_matches('/');
            let same = seen.entry(key).or_default();
            if let Some(other) = same.iter().find(|other| methods_overlap(other, route)) {
                return Err(invalid(
                    format!("route {}", route.name),
                    format!("route {} has the same path and method", other.name),
                ));
            }
            same.push(route);
        }
        Ok(())
    }

    fn check_upstream(&self, upstream: &Upstream, note: &ReleaseNote) -> Result<(), NoteError> {
        let owner = format!("upstream {}", upstream.name);
        self.check_service(&upstream.service, &owner, note)?;
        if upstream.slots == 0 {
            return Err(invalid(owner, "slots must be above 0"));
        }
        if upstream.connections == 0 {
            return Err(invalid(owner, "connections must be above 0"));
        }
        Ok(())
    }

    fn check_service(
        &self,
        service: &ServiceName,
        referrer: &str,
        note: &ReleaseNote,
    ) -> Result<(), NoteError> {
        if self.services.contains_key(service) {
            return Ok(());
        }
        let name = service.to_string();
        let referrer = referrer.to_string();
        if note.services.withdraw.contains(service) {
            return Err(NoteError::InUse {
                kind: "service",
                name,
                referrer,
            });
        }
        Err(NoteError::Unknown {
            kind: "service",
            name,
            referrer,
        })
    }
}

/// A thing that release notes add, change and withdraw by name.
trait Named {
    type Name: Ord + Clone + ToString + AsRef<str>;

    fn name(&self) -> &Self::Name;
}

impl Named for ServiceSpec {
    type Name = ServiceName;

    fn name(&self) -> &ServiceName {
        &self.name
    }
}

impl Named for RouteSpec {
    type Name = RouteName;

    fn name(&self) -> &RouteName {
        &self.name
    }
}

impl Named for UpstreamSpec {
    type Name = UpstreamName;

    fn name(&self) -> &UpstreamName {
        &self.name
    }
}

fn apply_changes<S: Named>(
    kind: &'static str,
    things: &mut BTreeMap<S::Name, Arc<S>>,
    changes: &Changes<S, S::Name>,
) -> Result<(), NoteError> {
    let mut touched = BTreeSet::new();
    let duplicate = |name: &S::Name| NoteError::Duplicate {
        kind,
        name: name.to_string(),
    };
    let unknown = |name: &S::Name| NoteError::Unknown {
        kind,
        name: name.to_string(),
        referrer: "the note".into(),
    };
    for name in &changes.withdraw {
        if !touched.insert(name.clone()) {
            return Err(duplicate(name));
        }
        things.remove(name).ok_or_else(|| unknown(name))?;
    }
    for thing in &changes.change {
        let name = thing.name();
        if !touched.insert(name.clone()) {
            return Err(duplicate(name));
        }
        *things.get_mut(name).ok_or_else(|| unknown(name))? = Arc::clone(thing);
    }
    for thing in &changes.add {
        let name = thing.name();
        check_name(kind, name.as_ref())?;
        if !touched.insert(name.clone()) || things.contains_key(name) {
            return Err(duplicate(name));
        }
        things.insert(name.clone(), Arc::clone(thing));
    }
    Ok(())
}

/// Longest name in bytes.
const MAX_NAME_BYTES: usize = 63;

fn check_name(kind: &'static str, name: &str) -> Result<(), NoteError> {
    let is_plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
        return Err(invalid(
            format!("{kind} {name:?}"),
            format!(
                "a name has 1 to {MAX_NAME_BYTES} lower-case letters, digits, dashes, dots or underscores"
            ),
        ));
    }
    Ok(())
}

fn invalid(owner: impl Into<String>, reason: impl Into<String>) -> NoteError {
    NoteError::Invalid {
        owner: owner.into(),
        reason: reason.into(),
    }
}

fn methods_overlap(a: &Route, b: &Route) -> bool {
    a.methods.is_empty()
        || b.methods.is_empty()
        || a.methods.iter().any(|method| b.methods.contains(method))
}
