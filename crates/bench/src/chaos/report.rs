//! Result of a chaotic run.

use serde::Serialize;

use crate::{checks::Violation, subcommand::Verdict};

/// Result of a chaotic run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct ChaosReport {
    /// Deployment.
    pub(crate) deployment: String,
    /// Seed of the schedule.
    pub(crate) seed: u64,
    /// Length of the schedule in seconds.
    pub(crate) seconds: u64,
    /// Steps of the schedule.
    pub(crate) steps: usize,
    /// Sequence of the last note.
    pub(crate) notes: u64,
    /// Requests that callers sent.
    pub(crate) requests: u64,
    /// Requests that got their answer.
    pub(crate) good: u64,
    /// Requests that were refused.
    pub(crate) refused: u64,
    /// Requests that ended unknown or broken.
    pub(crate) unknown: u64,
    /// Times that a drained or leaving scope was seen settled.
    pub(crate) quiet_scopes: usize,
    /// Planned stops without another fault that could cut requests.
    pub(crate) clean_stops: usize,
    /// Most reads of the platform in any second, refused ones too.
    pub(crate) platform_peak_reads_s: usize,
    /// Checks that held.
    pub(crate) held: usize,
    /// Invariants that were broken.
    pub(crate) broken: Vec<Violation>,
}

impl ChaosReport {
    /// Returns whether everything held, and something was checked.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.broken.is_empty() && self.held > 0 {
            return Verdict::Held;
        }
        Verdict::Broken
    }
}
