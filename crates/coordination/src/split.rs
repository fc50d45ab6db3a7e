//! Weighted distribution of the calls of a route over several services.

#[cfg(test)]
mod tests;

use std::collections::HashMap;

use rand::Rng;

use crate::{
    config::Route,
    name::{RouteName, ServiceName},
    note::SplitPart,
};

/// Smooth weighted round robin for each route that has a split.
///
/// Each call adds the weight of every part to the credit of that part, chooses the part with the
/// highest credit and subtracts the sum of all weights from it. Even short series of calls
/// therefore follow the weights. The initial credits are random; otherwise all nodes would start
/// with the same part after each change of the weights.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    rotations: HashMap<RouteName, WeightedRotation>,
}

/// Round robin state of one route.
#[derive(Clone, Debug)]
struct WeightedRotation {
    parts: Vec<SplitPart>,
    credits: Vec<f64>,
}

impl Splitter {
    /// Returns the service that gets the next call of a route.
    pub fn next_service(&mut self, route: &Route, rng: &mut impl Rng) -> ServiceName {
        if route.split.is_empty() {
            return route.service.clone();
        }
        let known = self.rotations.get_mut(&route.name);
        let rotation = match known.filter(|rotation| rotation.parts == route.split) {
            Some(rotation) => rotation,
            None => {
                let rotation = WeightedRotation::new(&route.split, rng);
                self.rotations.insert(route.name.clone(), rotation);
                let inserted = self.rotations.get_mut(&route.name);
                inserted.expect("the route was just inserted")
            }
        };
        rotation.next_service()
    }
}

impl WeightedRotation {
    fn new(parts: &[SplitPart], rng: &mut impl Rng) -> Self {
        let total_weight = total_weight(parts);
        let credits = parts.iter().map(|_| rng.random_range(0.0..total_weight));
        Self {
            parts: parts.to_vec(),
            credits: credits.collect(),
        }
    }

    fn next_service(&mut self) -> ServiceName {
        let mut best = 0;
        for (i, part) in self.parts.iter().enumerate() {
            self.credits[i] += f64::from(part.weight);
            if self.credits[i] > self.credits[best] {
                best = i;
            }
        }
        self.credits[best] -= total_weight(&self.parts);
        self.parts[best].service.clone()
    }
}

fn total_weight(parts: &[SplitPart]) -> f64 {
    parts.iter().map(|part| f64::from(part.weight)).sum()
}
