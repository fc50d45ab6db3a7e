//! TCP proxy between nodes that injects network faults.

mod counts;
mod listener;
mod pump;
mod rules;

pub(crate) use self::{
    counts::TrafficCounts,
    listener::{Endpoint, Proxy},
    rules::{Rule, Rules, SharedRules},
};
