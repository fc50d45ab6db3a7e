//! What callers ask for, and how often.

use std::time::Duration;

use rand::Rng;

/// One kind of request.
#[derive(Clone, Debug)]
pub(crate) struct CallKind {
    /// Service that the request is for, as the results name it.
    pub(crate) service: String,
    /// Whether the request is sent with `POST` and a key; otherwise with `GET`.
    pub(crate) keyed: bool,
    /// Path and query.
    pub(crate) path: String,
    /// Length of the answer in bytes.
    pub(crate) size: u64,
    /// Further query of the stand-in, such as `crash=1`.
    pub(crate) query: String,
    /// Share of this kind among all, relative to the others.
    pub(crate) weight: f64,
}

impl CallKind {
    /// Returns path and query.
    pub(crate) fn target(&self) -> String {
        let mut target = format!("{}?size={}", self.path, self.size);
        if !self.query.is_empty() {
            target.push('&');
            target.push_str(&self.query);
        }
        target
    }
}

/// What all callers together ask for.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Start of the identities of its requests, which differs between the loads of a run.
    pub(crate) label: String,
    /// Kinds of requests.
    pub(crate) kinds: Vec<CallKind>,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Time that a caller waits for an answer, resends included.
    pub(crate) deadline: Duration,
    /// Sendings of one request at most.
    pub(crate) max_sends: u32,
    /// Number of callers among which requests are spread.
    pub(crate) callers: u32,
}

impl Workload {
    /// Draws a kind by weight.
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
        self.kinds.last().expect("a workload has kinds")
    }
}
