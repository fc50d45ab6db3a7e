//! Errors of reading the platform.

use std::time::Duration;

use snafu::Snafu;

/// Why the platform could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum SourceError {
    /// The platform refuses reads for a while.
    #[snafu(display("the platform is over its read rate"))]
    Busy {
        /// Time to wait.
        after: Duration,
    },
    /// The platform no longer remembers the revision.
    #[snafu(display("the platform has forgotten the revision"))]
    Forgotten,
    /// The platform answers with older values than before.
    #[snafu(display("the platform went back from revision {seen} to {revision}"))]
    Stale {
        /// Revision of the answer.
        revision: u64,
        /// Highest revision seen before.
        seen: u64,
    },
    /// The platform can't be reached or answers with an error.
    #[snafu(display("the platform is out: {reason}"))]
    Out {
        /// Cause.
        reason: String,
    },
    /// A value is not of the expected shape.
    #[snafu(display("key {key}: {reason}"))]
    BadValue {
        /// Key of the value.
        key: String,
        /// What was expected.
        reason: String,
    },
}
