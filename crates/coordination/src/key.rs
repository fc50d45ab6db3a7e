//! Idempotency keys and the upstream that decides on each.

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

/// Returns the upstream whose sidecar alone decides on a key.
///
/// The owner is the highest rank of a rendezvous hash over the upstreams that
/// the configuration gives the service, whatever their state. A key that names
/// a failure domain with upstreams of the service is owned within it, so a
/// failure domain that is cut off goes on deciding on its own keys. When the
/// upstreams change, only the share of keys moves that the hash moves.
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

/// Seed that separates this use of the hash from others.
const OWNER_SEED: u64 = 0x6b65_795f_6f77_6e65;

fn rank(upstream: &Upstream, seed: u64) -> (u64, &str) {
    let name = upstream.name.as_str();
    (xxh3_64_with_seed(name.as_bytes(), seed), name)
}

/// Key of a request that runs at most once: `[<failure-domain>.]<uuidv7>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    text: Arc<str>,
    domain: Option<DomainName>,
    minted: u64,
}

/// Why a key is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum KeyError {
    /// The key is not of the form `[<failure-domain>.]<uuidv7>`.
    #[snafu(display("an idempotency key has the form [<failure-domain>.]<uuidv7>"))]
    Malformed,
}

impl IdempotencyKey {
    /// Parses the text of a key; equal keys in other spelling become equal.
    ///
    /// # Errors
    ///
    /// Returns an error when the text has another form.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let (domain, id) = match text.rsplit_once('.') {
            Some((domain, id)) => (Some(domain), id),
            None => (None, text),
        };
        if domain.is_some_and(|domain| domain.is_empty() || domain.len() > MAX_DOMAIN_BYTES) {
            return Err(KeyError::Malformed);
        }
        let id = Uuid::try_parse(id).map_err(|_| KeyError::Malformed)?;
        let minted = minted_ms(&id).ok_or(KeyError::Malformed)?;
        let text = match domain {
            Some(domain) => format!("{domain}.{id}"),
            None => id.to_string(),
        };
        Ok(Self {
            text: text.into(),
            domain: domain.map(DomainName::from),
            minted,
        })
    }

    /// Returns the key in its one normal spelling.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the failure domain of the first attempt, if the key names one.
    #[must_use]
    pub fn domain(&self) -> Option<&DomainName> {
        self.domain.as_ref()
    }

    /// Returns when the key was minted, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn minted_ms(&self) -> u64 {
        self.minted
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.text)
    }
}

/// Longest name of a failure domain in bytes.
const MAX_DOMAIN_BYTES: usize = 63;
/// Version of UUID that starts with the time.
const TIME_ORDERED: usize = 7;

fn minted_ms(id: &Uuid) -> Option<u64> {
    if id.get_version_num() != TIME_ORDERED {
        return None;
    }
    let bytes = id.as_bytes();
    let mut time = [0; 8];
    time[2..].copy_from_slice(&bytes[..6]);
    Some(u64::from_be_bytes(time))
}
