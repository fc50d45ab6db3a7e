//! Open-loop load from callers, with Poisson arrivals, deadlines and resends.

mod driver;
mod record;
mod send;
mod tally;
mod workload;

pub(crate) use self::{
    driver::{CallerLoad, Target},
    record::{CallOutcome, CallRecord, SendOutcome, SendRecord},
    tally::{Bucket, Tally},
    workload::{CallKind, Workload},
};

#[cfg(test)]
mod tests;
