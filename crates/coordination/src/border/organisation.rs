//! Conversion of organisations and caller limits.

use std::{
    num::{NonZeroU32, NonZeroU64},
    time::Duration,
};

use super::{convert_label, generated};
use crate::{
    caller_limits::CallerLimits,
    error::{Kind, NoteError},
    organisation::{Organisation, QuotaRate},
};

impl TryFrom<generated::Organisation> for Organisation {
    type Error = NoteError;

    fn try_from(organisation: generated::Organisation) -> Result<Self, NoteError> {
        Ok(Self {
            name: convert_label(Kind::Organisation, &organisation.name)?,
            digests: organisation.digests,
            priority: organisation.priority,
            quota: organisation.quota.map(QuotaRate::from),
        })
    }
}

impl From<generated::QuotaRate> for QuotaRate {
    fn from(quota: generated::QuotaRate) -> Self {
        Self {
            per_second: quota.per_second,
            burst: quota.burst,
        }
    }
}

impl From<generated::CallerLimits> for CallerLimits {
    fn from(limits: generated::CallerLimits) -> Self {
        Self {
            header_bytes: limits.header_bytes.get(),
            body_bytes: limits.body_bytes.get(),
            header_timeout: Duration::from_millis(limits.header_timeout_ms.get()),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms.get()),
        }
    }
}

impl From<CallerLimits> for generated::CallerLimits {
    fn from(limits: CallerLimits) -> Self {
        let bytes = |bytes: u64| NonZeroU64::new(bytes).unwrap_or(NonZeroU64::MIN);
        let millis = |time: Duration| bytes(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        Self {
            header_bytes: NonZeroU32::new(limits.header_bytes).unwrap_or(NonZeroU32::MIN),
            body_bytes: bytes(limits.body_bytes),
            header_timeout_ms: millis(limits.header_timeout),
            idle_timeout_ms: millis(limits.idle_timeout),
        }
    }
}
