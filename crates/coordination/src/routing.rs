//! Lookup table for the routes of a configuration.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::{Config, Route},
    note::Method,
    sequence::Sequence,
};

#[cfg(test)]
mod tests;

/// Routes of a configuration, indexed by host and path prefix.
///
/// A lookup costs one hash per path segment, independent of the number of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    sequence: Sequence,
    hosts: HashMap<Arc<str>, Prefixes>,
    any_host: Prefixes,
}

/// Routes by path prefix, without the trailing slash.
type Prefixes = HashMap<Box<str>, Vec<Arc<Route>>>;

impl RouteTable {
    /// Builds the table from a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut table = Self {
            sequence: config.sequence,
            ..Self::default()
        };
        for route in config.routes.values() {
            let prefixes = match &route.host {
                Some(host) => table.hosts.entry(Arc::clone(host)).or_default(),
                None => &mut table.any_host,
            };
            let prefix = route.path.trim_end_matches('/');
            let routes = prefixes.entry(prefix.into()).or_default();
            routes.push(Arc::clone(route));
        }
        table
    }

    /// Returns the sequence of the configuration that the table was built from.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the route with the longest path prefix that accepts the method. Routes of the host
    /// take precedence over routes for all hosts.
    ///
    /// The case and port of the host and the query of the target are ignored.
    #[must_use]
    pub fn find(&self, host: &str, method: Method, target: &str) -> Option<&Arc<Route>> {
        let path = target.split('?').next().unwrap_or_default();
        let specific = self.host_routes(host);
        let specific = specific.and_then(|prefixes| longest_match(prefixes, method, path));
        specific.or_else(|| longest_match(&self.any_host, method, path))
    }

    fn host_routes(&self, host: &str) -> Option<&Prefixes> {
        if self.hosts.is_empty() {
            return None;
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(name.to_ascii_lowercase().as_str())
    }
}

fn longest_match<'a>(prefixes: &'a Prefixes, method: Method, path: &str) -> Option<&'a Arc<Route>> {
    let mut prefix = path;
    loop {
        let routes = prefixes.get(prefix).map_or(&[][..], Vec::as_slice);
        if let Some(route) = routes.iter().find(|route| is_match(route, method, path)) {
            return Some(route);
        }
        prefix = &prefix[..prefix.rfind('/')?];
    }
}

/// Returns whether a route matches a request. A route for a specific host matches only paths that
/// start with its complete path, including the trailing slash.
fn is_match(route: &Route, method: Method, path: &str) -> bool {
    let is_method = route.methods.is_empty() || route.methods.contains(&method);
    is_method && (route.host.is_none() || path.starts_with(&route.path))
}
