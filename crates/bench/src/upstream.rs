//! Simulated upstream with limited slots and connections, cold starts, crashes and exact counts.

mod control;
mod model;
mod serve;
mod state;
mod statement_audit;

pub(crate) use self::{
    control::Upstream,
    model::{HealthMode, UpstreamModel},
    state::{Arrival, Counts, Execution, UpstreamState},
};

#[cfg(test)]
mod tests;
