//! Policies that experiments can switch off, one by one, to measure their worth.

use serde::{Deserialize, Serialize};

/// Policies of a node; operators leave them as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Only relays watch the platform; otherwise every node does.
    pub relay: bool,
    /// Notes travel as deltas; otherwise as whole snapshots.
    pub delta: bool,
    /// Digests repair what was lost between nodes.
    pub digest: bool,
    /// Sidecars limit what runs at once to what latency shows; otherwise to the slots.
    pub adaptive: bool,
    /// Sidecars limit what runs at once at all, and queue the rest.
    pub limit: bool,
    /// Upstreams that started get a trickle, then more.
    pub ramp: bool,
    /// Retries are held to a budget.
    pub budget: bool,
    /// Upstreams are chosen by load and failure domain; otherwise in turn.
    pub balance: bool,
    /// Upstreams that fail are left out for a while.
    pub ejection: bool,
    /// A node that was paused drops what it believed.
    pub stall: bool,
    /// Requests that crash upstreams are refused.
    pub poison: bool,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            relay: true,
            delta: true,
            digest: true,
            adaptive: true,
            limit: true,
            ramp: true,
            budget: true,
            balance: true,
            ejection: true,
            stall: true,
            poison: true,
        }
    }
}
