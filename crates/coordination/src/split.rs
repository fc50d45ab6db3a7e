//! Division of a route's calls among services by weight.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use rand::Rng;

use crate::{
    config::Route,
    name::{RouteName, ServiceName},
    note::SplitPart,
};

/// Smooth weighted round robin for each route that is split.
///
/// Each turn adds every part's weight to its credit and takes the sum of all weights from the
/// part with the most, so that short runs of calls already follow the weights. The credits start
/// at random, as otherwise all nodes would begin with the same part after each change.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    turns: HashMap<RouteName, Turns>,
}

#[derive(Clone, Debug)]
struct Turns {
    parts: Vec<SplitPart>,
    credits: Vec<f64>,
}

impl Splitter {
    /// Returns the service that gets the next call of a route.
    pub fn next_service(&mut self, route: &Route, rng: &mut impl Rng) -> ServiceName {
        if route.split.is_empty() {
            return route.service.clone();
        }
        let known = self.turns.get_mut(&route.name);
        let turns = match known.filter(|turns| turns.parts == route.split) {
            Some(turns) => turns,
            None => {
                let turns = Turns::new(&route.split, rng);
                self.turns.insert(route.name.clone(), turns);
                let inserted = self.turns.get_mut(&route.name);
                inserted.expect("the route was just inserted")
            }
        };
        turns.next()
    }
}

impl Turns {
    fn new(parts: &[SplitPart], rng: &mut impl Rng) -> Self {
        let total = total(parts);
        let credits = parts.iter().map(|_| rng.random_range(0.0..total));
        Self {
            parts: parts.to_vec(),
            credits: credits.collect(),
        }
    }

    fn next(&mut self) -> ServiceName {
        let mut best = 0;
        for (i, part) in self.parts.iter().enumerate() {
            self.credits[i] += f64::from(part.weight);
            if self.credits[i] > self.credits[best] {
                best = i;
            }
        }
        self.credits[best] -= total(&self.parts);
        self.parts[best].service.clone()
    }
}

fn total(parts: &[SplitPart]) -> f64 {
    parts.iter().map(|part| f64::from(part.weight)).sum()
}
