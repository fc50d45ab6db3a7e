//! Call experiment: load, faults and baselines on a deployment of real processes.

mod audit;
mod baseline;
mod fault;
mod inject;
mod result;
mod run;
mod testbed;

pub(crate) use self::{
    audit::CallAudit,
    baseline::ServiceBaseline,
    fault::ServiceFault,
    result::ServiceResult,
    run::{ServiceOptions, run_service},
    testbed::Testbed,
};

#[cfg(test)]
mod tests;
