//! Experiment on calls: load, faults and baselines on a deployment of real processes.

mod baseline;
mod fault;
mod inject;
mod result;
mod run;
mod site;
mod verdict;

pub(crate) use self::{
    baseline::ServiceBaseline,
    fault::ServiceFault,
    result::ServiceResult,
    run::{ServiceOptions, run_service},
    site::Site,
    verdict::Verdict,
};

#[cfg(test)]
mod tests;
