//! Kinds of deployments in which a node can run.

use serde::Deserialize;
use wagtaillever_coordination::{Dialect, RetryAfterFormat};
use wagtaillever_platform::DIALECT as STORE_DIALECT;

/// Protocol of the platform, and headers of callers and upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// Release notes, lists of VMs and drain orders in the native formats of this project.
    #[default]
    Notes,
    /// Store that holds the newest configuration in full and in which upstreams register.
    Store,
}

impl Protocol {
    /// Returns the names and formats of the headers of callers and upstreams.
    pub(crate) fn dialect(self) -> &'static Dialect {
        match self {
            Self::Notes => &NOTES_DIALECT,
            Self::Store => &STORE_DIALECT,
        }
    }

    /// Returns whether reads of the platform are consistent, that is, never older than a
    /// configuration that was in force.
    pub(crate) fn has_consistent_reads(self) -> bool {
        self == Self::Store
    }
}

/// Headers of the [`Protocol::Notes`] deployment.
pub(crate) const NOTES_DIALECT: Dialect = Dialect {
    call_id: "x-call-id",
    echoes_call_id: false,
    idempotency_key: Some("idempotency-key"),
    deadline_ms: "x-deadline-ms",
    hops: Some("x-hops"),
    note: Some("x-note"),
    caller_service: None,
    api_key: Some("authorization"),
    organisation: Some("x-organisation"),
    target_upstream: None,
    process: Some("x-start"),
    answered_by: None,
    cold_ms: None,
    request_limit: Some("x-limit"),
    leaving: Some("x-leaving"),
    not_run: "x-shed",
    misdirected_status: None,
    retry_after: RetryAfterFormat::WholeSeconds,
    outcome_headers: true,
};
