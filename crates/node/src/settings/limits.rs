//! Limits of a node.

use std::time::Duration;

use serde::Deserialize;
use wagtaillever_coordination::{ApplyTiming, SpilloverSettings};

/// Limits of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size in bytes of all bodies in flight through the node.
    pub body_bytes: usize,
    /// Time in seconds after SIGTERM after which the platform kills the process; 30 s by default.
    pub grace_s: f64,
    /// Time in milliseconds for which a stopping node still accepts calls while callers are
    /// notified of the stop, at most half of the grace period. By default, it refuses calls
    /// immediately.
    pub notice_ms: u64,
    /// Time in seconds within which a change must be in force on each node that can reach the
    /// platform; 8 s by default.
    pub apply_s: Option<f64>,
    /// Time in seconds within which an upstream that leaves must get no new work, if it is shorter.
    pub drain_s: Option<f64>,
    /// Maximum difference in milliseconds between the clocks of callers and nodes.
    pub skew_ms: u64,
    /// Bandwidth of the VM's link in megabits per second, if known. Large answers are then queued
    /// for the link by priority.
    pub link_mbps: Option<f64>,
    /// Factor by which the request rate of a cold upstream may exceed the rate that its service
    /// states, if its operators allow it; 1 by default.
    pub cold_overage: f64,
    /// Requests in addition to that rate that a cold upstream may get in one second. If there are
    /// any, its requests are spread evenly over time; 0 by default.
    pub cold_slack: u32,
    /// Gain in expected response time, relative to the target latency, that a call to another failure
    /// domain must bring, if the policy `spillover` is enabled; 0.25 by default.
    pub crossing_gain: f64,
    /// Memory of the machine in megabytes, if known. Buffered bodies and connections of callers are
    /// then bounded by shares of it.
    pub memory_mb: Option<u32>,
    /// Descriptors that the process may open, if known. Connections are then bounded by shares of them.
    pub max_fds: Option<u32>,
}

/// Largest share of the grace period that the notice takes.
const MAX_NOTICE_SHARE: f64 = 0.5;
/// Share of the grace period after which calls in flight are given up. The users' rules allow it from
/// five sixths on.
const CALLS_SHARE: f64 = 0.86;
/// Share of the grace period after which connections are closed whose callers have no answer yet.
const ANSWERS_SHARE: f64 = 0.9;
/// Share of the grace period after which the process ends, which leaves time for a late start of the
/// stop and for the exit.
const END_SHARE: f64 = 0.96;

/// Times of a planned stop, counted from the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    /// Time for which the node still accepts calls.
    pub(crate) notice: Duration,
    /// Time after which calls in flight are given up.
    pub(crate) calls: Duration,
    /// Time until which callers of these calls get an answer.
    pub(crate) answers: Duration,
    /// Time after which the process ends.
    pub(crate) end: Duration,
}

const BYTES_PER_MEGABIT: f64 = 125_000.0;
/// Divisor that gives the burst of a cold upstream as a part of its slack.
const COLD_BURST_DIVISOR: u32 = 2;

impl Limits {
    /// Returns the times of a planned stop. Calls get as much of the grace period as possible.
    pub(crate) fn stop_times(&self) -> StopTimes {
        let share = |share: f64| Duration::from_secs_f64(self.grace_s * share);
        StopTimes {
            notice: Duration::from_millis(self.notice_ms).min(share(MAX_NOTICE_SHARE)),
            calls: share(CALLS_SHARE),
            answers: share(ANSWERS_SHARE),
            end: share(END_SHARE),
        }
    }

    /// Returns the times of readers that follow from the shortest bound on changes.
    pub(crate) fn timing(&self) -> ApplyTiming {
        let default = ApplyTiming::default().bound().as_secs_f64();
        let apply_s = self.apply_s.unwrap_or(default);
        let bound = self.drain_s.map_or(apply_s, |drain_s| drain_s.min(apply_s));
        ApplyTiming::new(Duration::from_secs_f64(bound))
    }

    /// Returns the bandwidth of the VM's link in bytes per second, if known.
    pub(crate) fn link_rate(&self) -> Option<u64> {
        let rate = self.link_mbps? * BYTES_PER_MEGABIT;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = rate as u64;
        Some(rate.max(1))
    }

    /// Returns the maximum requests per second of a cold upstream whose service states a rate.
    pub(crate) fn cold_rate(&self, stated_rate: u32) -> u32 {
        let rate = f64::from(stated_rate) * self.cold_overage;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let rate = rate as u32;
        rate.max(1)
    }

    /// Returns how many requests may start at once at the cold rate, if starts are spread evenly.
    ///
    /// The rest of the slack is for requests that arrive closer together than they were sent, and for
    /// those of an earlier process: two processes may each use the burst within one second.
    pub(crate) fn cold_burst(&self) -> Option<u32> {
        let burst = (self.cold_slack / COLD_BURST_DIVISOR).max(1);
        (self.cold_slack > 0).then_some(burst)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 32 << 20,
            grace_s: 30.0,
            notice_ms: 0,
            apply_s: None,
            drain_s: None,
            skew_ms: 2_000,
            link_mbps: None,
            cold_overage: 1.0,
            cold_slack: 0,
            crossing_gain: SpilloverSettings::default().crossing_gain,
            memory_mb: None,
            max_fds: None,
        }
    }
}
