//! Resident memory and open descriptors of a process.

use std::fs;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) resident_kb: u64,
    pub(crate) descriptors: usize,
}

impl Usage {
    /// Returns the use of a process, or `None` if it has ended.
    pub(crate) fn of(process: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        // A process that has ended and was not waited for yet has no such line.
        let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        let resident = resident.trim().trim_end_matches(" kB").parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
        Some(Self {
            resident_kb: resident,
            descriptors,
        })
    }

    /// Returns the larger of each value.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            resident_kb: self.resident_kb.max(other.resident_kb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }

    /// Returns whether no value exceeds that of a bound.
    pub(crate) fn is_within(self, bound: Self) -> bool {
        self.resident_kb <= bound.resident_kb && self.descriptors <= bound.descriptors
    }
}
