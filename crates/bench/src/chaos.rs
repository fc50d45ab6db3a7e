//! Random fault schedules, with invariants checked from outside the nodes.

mod action;
mod breach;
mod invariant;
mod mutation;
mod notes;
mod orders;
mod perform;
mod quiet;
mod report;
mod run;
mod schedule;

pub(crate) use self::{
    mutation::{Mutation, mutations},
    report::ChaosReport,
    run::{ChaosOptions, run_chaos},
};
