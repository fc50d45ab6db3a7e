//! Faults of the simulated platform.

use std::{collections::BTreeSet, net::IpAddr};

use serde::{Deserialize, Serialize};

/// Faults currently in effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each response in milliseconds.
    pub slow_ms: u64,
    /// Revision that stale responses show.
    pub stale_at: Option<u64>,
    /// Percentage of responses that are stale while `stale_at` is set; all if absent.
    pub stale_percent: Option<u8>,
    /// Outage of the whole service.
    pub outage: Option<Outage>,
    /// Whether events of a watch are reordered, and some deferred to the next watch.
    pub crossed: bool,
    /// Whether watches repeat earlier events.
    pub repeated: bool,
    /// Addresses of the simulated platform that do not answer, which cuts off their clients.
    pub cut: BTreeSet<IpAddr>,
}

/// Kind of an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Every call is refused with 503.
    Refuse,
    /// No call is answered.
    Silent,
}
