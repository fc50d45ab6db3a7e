//! Kinds and rate of the requests of callers.

use std::time::Duration;

use rand::Rng;

/// One kind of request.
#[derive(Clone, Debug)]
pub(crate) struct CallKind {
    /// Service of the request, as named in the results.
    pub(crate) service: String,
    /// Whether the request is a `POST` with an idempotency key; otherwise it is a `GET`.
    pub(crate) keyed: bool,
    /// Path of the request.
    pub(crate) path: String,
    /// Length of the response body in bytes.
    pub(crate) size: u64,
    /// Further query parameters for the simulated upstream, such as `crash=1`.
    pub(crate) query: String,
    /// Weight of this kind relative to the others.
    pub(crate) weight: f64,
}

impl CallKind {
    /// Returns the path with the query.
    pub(crate) fn target(&self) -> String {
        let mut target = format!("{}?size={}", self.path, self.size);
        if !self.query.is_empty() {
            target.push('&');
            target.push_str(&self.query);
        }
        target
    }
}

/// Load of all callers together.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Prefix of the request identifiers, unique among the loads of a run.
    pub(crate) label: String,
    /// Kinds of requests to draw from.
    pub(crate) kinds: Vec<CallKind>,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Time that a caller waits for a response, including resends.
    pub(crate) deadline: Duration,
    /// Maximum number of sends of one request.
    pub(crate) max_sends: u32,
    /// Number of callers among which requests are spread.
    pub(crate) callers: u32,
}

impl Workload {
    /// Draws a kind at random by weight.
    ///
    /// # Panics
    ///
    /// Panics when there are no kinds.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> &CallKind {
        let total: f64 = self.kinds.iter().map(|kind| kind.weight).sum();
        let mut at = rng.random::<f64>() * total;
        for kind in &self.kinds {
            at -= kind.weight;
            if at <= 0.0 {
                return kind;
            }
        }
        self.kinds.last().expect("workload has no kinds")
    }
}
