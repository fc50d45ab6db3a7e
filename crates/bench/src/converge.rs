//! Experiment that measures the time and cost until notes are in force under faults.

mod baseline;
mod delays;
mod fault;
mod inject;
mod notes;
mod observer;
mod report;
mod run;
mod spans;

pub(crate) use self::{
    baseline::ConvergeBaseline,
    fault::ConvergeFault,
    observer::Observer,
    report::ConvergeReport,
    run::{ConvergeOptions, run_converge},
};
