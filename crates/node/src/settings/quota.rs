//! Bounds on the quotas of organisations.

use std::time::Duration;

use serde::Deserialize;
use wagtaillever_coordination::QuotaBounds;

/// Bounds on what all nodes together may run beyond the quota of an organisation, as the platform
/// states them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Length in seconds of the windows in which the quota holds.
    pub window_s: f64,
    /// Share of the quota by which it may be exceeded in a window.
    pub overage: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl QuotaSettings {
    pub(crate) fn bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.window_s),
            overage: self.overage,
            slack: self.slack,
        }
    }
}

impl Default for QuotaSettings {
    fn default() -> Self {
        let bounds = QuotaBounds::default();
        Self {
            window_s: bounds.window.as_secs_f64(),
            overage: bounds.overage,
            slack: bounds.slack,
        }
    }
}
