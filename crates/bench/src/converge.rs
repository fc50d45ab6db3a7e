//! Experiment that measures the time and cost until notes are in force under faults.

mod baseline;
mod fault;
mod inject;
mod notes;
mod observer;
mod report;
mod run;
mod spans;
mod times;

pub(crate) use self::{
    baseline::ConvergeBaseline,
    fault::ConvergeFault,
    observer::Observer,
    report::ConvergeReport,
    run::{ConvergeOptions, run_converge},
};
