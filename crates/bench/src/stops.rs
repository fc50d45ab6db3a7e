//! Experiment that stops nodes in turn while callers keep using their connections, and counts the
//! requests that end without an answer.

mod caller;
mod judge;
mod report;
mod run;
mod schedule;
#[cfg(test)]
mod tests;

pub(crate) use self::run::{StopsOptions, run_stops};
