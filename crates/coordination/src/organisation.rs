//! Organisations whose callers present API keys.

#[cfg(test)]
mod tests;

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use subtle::{ConditionallySelectable, ConstantTimeEq};

use crate::{border, config::Config, name::OrganisationName};

/// Length of a digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key. Its text form has 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of an API key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the digest as words, which are compared faster than bytes.
    fn words(self) -> [u64; DIGEST_BYTES / 8] {
        let (words, _) = self.0.as_chunks();
        std::array::from_fn(|i| u64::from_le_bytes(words[i]))
    }
}

/// Hides the digest, which would let readers of a log test guesses of a key.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (pairs, rest) = text.as_bytes().as_chunks::<2>();
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex || !rest.is_empty() || pairs.len() != DIGEST_BYTES {
            return Err("a key digest has 64 hexadecimal digits");
        }
        let nibble = |digit: u8| char::from(digit).to_digit(16).unwrap_or_default();
        let byte = |[high, low]: [u8; 2]| nibble(high) << 4 | nibble(low);
        #[allow(clippy::cast_possible_truncation)]
        let bytes = std::array::from_fn(|i| byte(pairs[i]) as u8);
        Ok(Self(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let digits = self.0.iter().map(|byte| format!("{byte:02x}"));
        serializer.serialize_str(&digits.collect::<String>())
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// An organisation, identified by the API keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "border::Organisation")]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Digests of its API keys.
    pub digests: Vec<KeyDigest>,
    /// Priority of its calls, which takes precedence over that of the route; 0 is the highest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Limit on its requests over all nodes; `None` if there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaRate>,
}

/// Limit on the requests of an organisation over all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaRate {
    /// Requests per second.
    pub per_second: f64,
    /// Requests in addition, after a time with fewer requests.
    pub burst: f64,
}

/// Organisations of a configuration by the digests of their API keys.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    /// `None` if the configuration has no organisations.
    entries: Option<Vec<KeyEntry>>,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    digest: KeyDigest,
    organisation: Arc<Organisation>,
}

impl KeyTable {
    /// Builds the table from a configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let organisations = config.organisations.as_ref();
        let entries = organisations.map(|organisations| {
            let entries = organisations.values().flat_map(|organisation| {
                organisation.digests.iter().map(|digest| KeyEntry {
                    digest: *digest,
                    organisation: Arc::clone(organisation),
                })
            });
            entries.collect()
        });
        Self { entries }
    }

    /// Returns whether requests need a key unless their route is public.
    #[must_use]
    pub fn has_organisations(&self) -> bool {
        self.entries.is_some()
    }

    /// Returns the organisation that holds a key.
    ///
    /// Compares the digest to all others in constant time, so that the time of a refusal tells
    /// nothing of the keys.
    #[must_use]
    pub fn find(&self, digest: KeyDigest) -> Option<&Arc<Organisation>> {
        let entries = self.entries.as_deref().unwrap_or_default();
        let wanted = digest.words();
        let mut found = u64::MAX;
        for (index, entry) in (0u64..).zip(entries) {
            found.conditional_assign(&index, entry.digest.words().ct_eq(&wanted));
        }
        let entry = usize::try_from(found).ok().and_then(|i| entries.get(i));
        entry.map(|entry| &entry.organisation)
    }
}
