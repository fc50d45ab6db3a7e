//! Route table compiled from a configuration.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::{Config, Route},
    note::Method,
    sequence::Sequence,
};

#[cfg(test)]
mod tests;

/// Routes of one configuration, indexed by host and path prefix.
///
/// A lookup costs one hash for each segment of the path, however many routes there are.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    sequence: Sequence,
    hosts: HashMap<Arc<str>, Prefixes>,
    any_host: Prefixes,
}

/// Routes by path prefix without its last slash.
type Prefixes = HashMap<Box<str>, Vec<Arc<Route>>>;

impl RouteTable {
    /// Compiles the routes of a configuration.
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

    /// Returns the sequence of the configuration.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the route with the longest path prefix that takes the method; the routes of the
    /// host go before those of all hosts.
    ///
    /// The host's case and port play no part, nor does the query, if the target has one.
    #[must_use]
    pub fn find(&self, host: &str, method: Method, target: &str) -> Option<&Arc<Route>> {
        let path = target.split('?').next().unwrap_or_default();
        let own = self.of_host(host);
        let own = own.and_then(|prefixes| longest(prefixes, method, path));
        own.or_else(|| longest(&self.any_host, method, path))
    }

    fn of_host(&self, host: &str) -> Option<&Prefixes> {
        if self.hosts.is_empty() {
            return None;
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(name.to_ascii_lowercase().as_str())
    }
}

fn longest<'a>(prefixes: &'a Prefixes, method: Method, path: &str) -> Option<&'a Arc<Route>> {
    let mut prefix = path;
    loop {
        let routes = prefixes.get(prefix).map_or(&[][..], Vec::as_slice);
        if let Some(route) = routes.iter().find(|route| takes(route, method, path)) {
            return Some(route);
        }
        prefix = &prefix[..prefix.rfind('/')?];
    }
}

/// Returns whether a route takes a request. A route of one host takes only paths that begin with
/// its whole path, the last slash included.
fn takes(route: &Route, method: Method, path: &str) -> bool {
    let is_method = route.methods.is_empty() || route.methods.contains(&method);
    is_method && (route.host.is_none() || path.starts_with(&route.path))
}
