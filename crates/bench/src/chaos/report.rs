//! Result of a chaos run.

use serde::Serialize;

use crate::{checks::Violation, subcommand::Verdict};

/// Result of a chaos run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ChaosReport {
    /// Name of the deployment.
    pub(crate) deployment: String,
    /// Seed of the schedule.
    pub(crate) seed: u64,
    /// Length of the schedule in seconds.
    pub(crate) seconds: u64,
    /// Number of steps of the schedule.
    pub(crate) steps: usize,
    /// Sequence of the last note.
    pub(crate) notes: u64,
    /// Requests that callers sent.
    pub(crate) requests: u64,
    /// Requests that were answered completely and in time.
    pub(crate) good: u64,
    /// Requests that were refused.
    pub(crate) refused: u64,
    /// Requests with an unknown outcome or a truncated answer.
    pub(crate) unknown: u64,
    /// Number of drained or leaving scopes whose grace period ended, so that they were checked.
    pub(crate) quiet_scopes: usize,
    /// Planned stops during which no other fault could cut requests.
    pub(crate) clean_stops: usize,
    /// Peak number of reads of the platform in one second, including refused ones.
    pub(crate) platform_peak_reads_s: usize,
    /// Number of checks that held.
    pub(crate) held: usize,
    /// Violated invariants.
    pub(crate) broken: Vec<Violation>,
}

impl ChaosReport {
    /// Returns `Passed` if at least one check ran and none failed.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() && self.held > 0 {
            return Verdict::Passed;
        }
        Verdict::Failed
    }
}
