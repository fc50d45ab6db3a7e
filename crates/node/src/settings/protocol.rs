//! Kinds of deployments that a node can run in.

use serde::Deserialize;
use wagtaillever_coordination::{Dialect, RetryAfterFormat};
use wagtaillever_platform::DIALECT as STORE_DIALECT;

/// How the platform publishes configuration, and how callers and upstreams speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Release notes, lists of VMs and drain orders, in the product's own formats.
    #[default]
    Notes,
    /// A store that holds the newest configuration in full and in which upstreams register.
    Store,
}

impl Protocol {
    /// Returns the headers of callers and upstreams.
    pub(crate) fn dialect(self) -> &'static Dialect {
        match self {
            Self::Notes => &OWN_DIALECT,
            Self::Store => &STORE_DIALECT,
        }
    }

    /// Returns whether what the platform answers is never older than what was in force.
    pub(crate) fn is_current(self) -> bool {
        self == Self::Store
    }
}

/// The product's own headers.
pub(crate) const OWN_DIALECT: Dialect = Dialect {
    call_id: "x-call-id",
    deadline_ms: "x-deadline-ms",
    hops: Some("x-hops"),
    note: Some("x-note"),
    caller_service: None,
    target_upstream: None,
    process: Some("x-start"),
    answered_by: None,
    cold_ms: None,
    not_run: "x-shed",
    misdirected_status: None,
    retry_after: RetryAfterFormat::WholeSeconds,
    outcome_headers: true,
};
