//! Organisations whose callers present API keys.

use serde::{Deserialize, Serialize};

use crate::name::OrganisationName;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 32]);

/// An organisation, identified by the API keys of its callers.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Digests of its API keys.
    pub digests: Vec<KeyDigest>,
    /// Priority of its calls, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Limit on its requests over all nodes; `None` if there is none.
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
