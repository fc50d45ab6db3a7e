//! Policies that experiments can disable individually to measure their effect.

use serde::{Deserialize, Serialize};

/// Policies of a node; operators should not change them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Only relays watch the platform; if disabled, every node does.
    pub relay: bool,
    /// Nodes exchange notes as deltas; if disabled, as full snapshots.
    pub delta: bool,
    /// Nodes exchange digests to repair lost messages.
    pub digest: bool,
    /// Sidecars adapt the concurrency limit to the measured latency; if disabled, the limit is the
    /// number of slots.
    pub adaptive: bool,
    /// Sidecars limit concurrent requests and queue the others.
    pub limit: bool,
    /// Upstreams get a slowly increasing request rate after a start.
    pub ramp: bool,
    /// Retries are limited by a budget.
    pub budget: bool,
    /// Upstreams are selected by load and failure domain; if disabled, in turn.
    pub balance: bool,
    /// Failing upstreams are temporarily ejected.
    pub ejection: bool,
    /// A node whose process was paused discards outdated state.
    pub stall: bool,
    /// Requests that crash upstreams are refused.
    pub poison: bool,
    /// Calls leave the failure domain by a share per service; if disabled, each call is decided
    /// alone. Disabled by default.
    pub spillover: bool,
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
            spillover: false,
        }
    }
}
