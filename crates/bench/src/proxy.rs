//! Fault-injecting TCP proxy between nodes.

mod counts;
mod listener;
mod pump;
mod rules;

pub(crate) use self::{
    counts::TrafficCounts,
    listener::{Endpoint, Proxy},
    rules::{Rule, Rules, SharedRules},
};
