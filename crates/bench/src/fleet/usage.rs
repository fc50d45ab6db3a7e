//! CPU time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

/// Unit of the CPU times in `/proc`, in clock ticks per second.
const TICKS_PER_S: u64 = 100;
/// Index of `utime` among the fields of `/proc/{pid}/stat` after the command name.
const UTIME_FIELD: usize = 11;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// User and system CPU time since the start.
    pub(crate) cpu: Duration,
    /// Resident memory in bytes.
    pub(crate) rss: u64,
}

impl Usage {
    /// Returns the usage of a process, if it runs.
    pub(crate) fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        Some(Self {
            cpu: parse_cpu(&stat)?,
            rss: parse_rss(&status)?,
        })
    }
}

fn parse_cpu(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(UTIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * 1000 / TICKS_PER_S))
}

fn parse_rss(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes << 10)
}

#[cfg(test)]
mod tests;
