//! Errors of reads of the platform.

use std::time::Duration;

use snafu::Snafu;

/// Why the platform could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum SourceError {
    /// The platform temporarily refuses reads.
    #[snafu(display("the platform refused the request: its read rate is exceeded"))]
    Busy {
        /// Delay before the next read.
        after: Duration,
    },
    /// The platform no longer holds the changes after the requested revision.
    #[snafu(display("the platform no longer holds the changes after the requested revision"))]
    RevisionExpired,
    /// The platform repeatedly answered with an older revision than before.
    #[snafu(display("the platform answered with revision {revision} after revision {seen}"))]
    Stale {
        /// Revision of the answer.
        revision: u64,
        /// Highest revision of earlier answers.
        seen: u64,
    },
    /// The platform can't be reached or answered with an error.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// Cause.
        reason: String,
    },
    /// A value does not have the expected format.
    #[snafu(display("key {key}: {reason}"))]
    BadValue {
        /// Key of the value.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
}
