//! Route table compiled from a configuration.

use std::{collections::HashMap, sync::Arc};

use crate::{
    config::{Config, Route},
    note::Method,
    sequence::Sequence,
};

#[cfg(test)]
mod tests;

/// Routes of one configuration, indexed by path prefix.
///
/// A lookup costs one hash for each segment of the path, however many routes there are.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    sequence: Sequence,
    prefixes: HashMap<Box<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Compiles the routes of a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut prefixes: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in config.routes.values() {
            let prefix = route.path.trim_end_matches('/');
            let routes = prefixes.entry(prefix.into()).or_default();
            routes.push(Arc::clone(route));
        }
        Self {
            sequence: config.sequence,
            prefixes,
        }
    }

    /// Returns the sequence of the configuration.
    #[must_use]
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns the route with the longest path prefix that takes the method.
    ///
    /// The query, if the target has one, plays no part.
    #[must_use]
    pub fn find(&self, method: Method, target: &str) -> Option<&Arc<Route>> {
        let mut prefix = target.split('?').next().unwrap_or_default();
        loop {
            if let Some(route) = self.at(method, prefix) {
                return Some(route);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }

    fn at(&self, method: Method, prefix: &str) -> Option<&Arc<Route>> {
        let routes = self.prefixes.get(prefix)?;
        routes.iter().find(|route| takes(route, method))
    }
}

fn takes(route: &Route, method: Method) -> bool {
    route.methods.is_empty() || route.methods.contains(&method)
}
