//! Random fault schedules, with invariants checked from outside the nodes.

mod action;
mod invariant;
mod mutation;
mod notes;
mod orders;
mod perform;
mod quiet;
mod report;
mod run;
mod schedule;
mod violation;

pub(crate) use self::{
    mutation::{Mutation, mutations},
    report::ChaosReport,
    run::{ChaosOptions, run_chaos},
};
