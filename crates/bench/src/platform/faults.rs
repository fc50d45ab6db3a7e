//! Faults of the platform stand-in.

use std::{collections::BTreeSet, net::IpAddr};

use serde::{Deserialize, Serialize};

/// Faults that are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each answer in milliseconds.
    pub slow_ms: u64,
    /// Revision at which stale answers stand still.
    pub stale_at: Option<u64>,
    /// Share of answers in percent that are stale while `stale_at` is set.
    pub stale_percent: Option<u8>,
    /// Outage of the whole service.
    pub outage: Option<Outage>,
    /// Events of a watch come out of order, and some only with the next watch.
    pub crossed: bool,
    /// Events of a watch come again.
    pub repeated: bool,
    /// Addresses of the stand-in that give no answer, so that whoever uses them is cut off.
    pub cut: BTreeSet<IpAddr>,
}

/// How an outage shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Every call is refused with 503.
    Refuse,
    /// No call is answered.
    Silent,
}
