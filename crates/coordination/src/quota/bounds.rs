//! Bounds on what all nodes together may run beyond a quota.

use std::time::Duration;

use crate::organisation::QuotaRate;

/// Bounds on the requests of an organisation in any window: (rate x window + burst) x (1 + overage) +
/// slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Share of the quota by which it may be exceeded.
    pub overage: f64,
    /// Requests by which the quota may be exceeded in addition.
    pub slack: f64,
}

/// Share of the overage that deepens the bucket, so that tokens that nodes hold ahead of need don't
/// take away from the burst.
const DEPTH_SHARE: f64 = 0.48;
/// Share of the overage that nodes without contact and without an offline rate spend. The rest covers
/// requests that run late, and the time in which two nodes take themselves for the shard owner.
const ISOLATED_SHARE: f64 = 0.4;
/// Share of the slack that deepens the bucket.
const SLACK_SHARE: f64 = 0.5;

impl QuotaBounds {
    /// Returns the maximum number of tokens that exist at the same time, in the bucket and at nodes.
    pub(crate) fn depth(&self, limit: QuotaRate) -> f64 {
        let overage_s = self.overage * self.window.as_secs_f64() * DEPTH_SHARE;
        let depth = limit.burst + limit.per_second * overage_s + self.slack * SLACK_SHARE;
        depth.max(1.0)
    }

    /// Returns the tokens per second of one of `nodes` listed nodes that has neither contact nor an
    /// offline rate.
    pub(crate) fn isolated_rate(&self, limit: QuotaRate, nodes: usize) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let nodes = nodes.max(1) as f64;
        limit.per_second * self.overage * ISOLATED_SHARE / nodes
    }

    /// Returns the maximum number of requests in any window of the given length.
    #[must_use]
    pub fn max_requests(&self, limit: QuotaRate) -> f64 {
        let quota = limit.per_second * self.window.as_secs_f64() + limit.burst;
        quota * (1.0 + self.overage) + self.slack
    }
}

impl Default for QuotaBounds {
    /// Returns the bounds of a platform that states none.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            overage: 0.25,
            slack: 20.0,
        }
    }
}
