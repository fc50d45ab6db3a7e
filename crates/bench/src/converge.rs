//! Experiment on notes: how fast and at what cost they come into force under faults.

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
