//! Idempotency keys and their owners.

#[cfg(test)]
mod tests;

use std::{fmt, sync::Arc};

use snafu::Snafu;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    config::{Config, Upstream},
    name::{DomainName, ServiceName},
};

/// Returns the owner of a key: the only upstream whose sidecar may accept requests with it.
///
/// The owner is chosen by rendezvous hashing over the configured upstreams of the service,
/// regardless of their state. If the key names a failure domain that has upstreams of the service,
/// its owner is one of them, so that a domain that is cut off still accepts its own keys. A change
/// of upstreams only reassigns the keys affected by the rendezvous hash.
#[must_use]
pub fn key_owner<'a>(
    config: &'a Config,
    service: &'a ServiceName,
    key: &IdempotencyKey,
) -> Option<&'a Arc<Upstream>> {
    let seed = xxh3_64_with_seed(key.as_str().as_bytes(), OWNER_SEED);
    let owner = |domain: Option<&DomainName>| {
        config
            .upstreams_of(service)
            .filter(|upstream| domain.is_none_or(|domain| upstream.domain == *domain))
            .max_by_key(|upstream| rank(upstream, seed))
    };
    let domain = key.domain();
    domain
        .and_then(|domain| owner(Some(domain)))
        .or_else(|| owner(None))
}

/// Hash seed reserved for key ownership.
const OWNER_SEED: u64 = 0x6b65_795f_6f77_6e65;

fn rank(upstream: &Upstream, seed: u64) -> (u64, &str) {
    let name = upstream.name.as_str();
    (xxh3_64_with_seed(name.as_bytes(), seed), name)
}

/// Idempotency key of a request that runs at most once: `[<failure-domain>.]<uuidv7>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    text: Arc<str>,
    domain: Option<DomainName>,
    created_ms: u64,
}

/// Error of [`IdempotencyKey::parse`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum KeyError {
    /// The key is not of the form `[<failure-domain>.]<uuidv7>`.
    #[snafu(display("invalid idempotency key: expected [<failure-domain>.]<uuidv7>"))]
    Malformed,
}

impl IdempotencyKey {
    /// Parses a key and normalizes its UUID, so that different spellings of a key compare equal.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not of the form `[<failure-domain>.]<uuidv7>`.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let (domain, id) = match text.rsplit_once('.') {
            Some((domain, id)) => (Some(domain), id),
            None => (None, text),
        };
        if domain.is_some_and(|domain| domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES) {
            return Err(KeyError::Malformed);
        }
        let id = Uuid::try_parse(id).map_err(|_| KeyError::Malformed)?;
        let created_ms = timestamp_ms(&id).ok_or(KeyError::Malformed)?;
        let text = match domain {
            Some(domain) => format!("{domain}.{id}"),
            None => id.to_string(),
        };
        Ok(Self {
            text: text.into(),
            domain: domain.map(DomainName::from),
            created_ms,
        })
    }

    /// Returns the key in its normalized spelling.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the failure domain of the first attempt, if the key names one.
    #[must_use]
    pub fn domain(&self) -> Option<&DomainName> {
        self.domain.as_ref()
    }

    /// Returns the creation time of the key, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn created_ms(&self) -> u64 {
        self.created_ms
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

/// Maximum length of a failure domain name in bytes.
const MAX_DOMAIN_BYTES: usize = 63;
/// UUID version whose first 48 bits are a timestamp.
const TIME_ORDERED_VERSION: usize = 7;

/// Returns the timestamp of a UUIDv7 in milliseconds since the Unix epoch.
fn timestamp_ms(id: &Uuid) -> Option<u64> {
    if id.get_version_num() != TIME_ORDERED_VERSION {
        return None;
    }
    let bytes = id.as_bytes();
    let mut timestamp = [0; 8];
    timestamp[2..].copy_from_slice(&bytes[..6]);
    Some(u64::from_be_bytes(timestamp))
}
