//! Release notes as operators write them.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    error::NoteError,
    name::{DomainName, RouteName, ServiceName, UpstreamName, VmName},
    sequence::Sequence,
};

/// Highest size of a note in bytes, as the platform holds values up to a megabyte.
pub(crate) const MAX_NOTE_BYTES: usize = 1_000_000;

/// A release note: what is added, changed and withdrawn, whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Sequence number under which the note is published.
    pub note: Sequence,
    /// Free text for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub summary: Option<String>,
    /// Changes of services.
    #[serde(default)]
    pub services: Changes<ServiceSpec, ServiceName>,
    /// Changes of routes.
    #[serde(default)]
    pub routes: Changes<RouteSpec, RouteName>,
    /// Changes of upstreams.
    #[serde(default)]
    pub upstreams: Changes<UpstreamSpec, UpstreamName>,
}

impl ReleaseNote {
    /// Parses the text of a note.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line and the rule that the text breaks.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        if text.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLarge {
                bytes: text.len(),
                limit: MAX_NOTE_BYTES,
            });
        }
        let text = std::str::from_utf8(text).map_err(|err| NoteError::NotUtf8 {
            offset: err.valid_up_to(),
        })?;
        serde_yaml_ng::from_str(text).map_err(|err| NoteError::Syntax {
            line: err.location().map_or(0, |at| at.line()),
            reason: err.to_string(),
        })
    }
}

/// Additions, changes and withdrawals of one kind of thing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes<S, N> {
    /// Things that must not exist yet.
    #[serde(default = "Vec::new")]
    pub add: Vec<Arc<S>>,
    /// Things that must exist and are replaced whole.
    #[serde(default = "Vec::new")]
    pub change: Vec<Arc<S>>,
    /// Names of things that must exist and go away.
    #[serde(default = "Vec::new")]
    pub withdraw: Vec<N>,
}

impl<S, N> Default for Changes<S, N> {
    fn default() -> Self {
        Self {
            add: Vec::new(),
            change: Vec::new(),
            withdraw: Vec::new(),
        }
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix, which starts with a slash and matches whole segments.
    pub path: String,
    /// Methods of the route; an empty list stands for all.
    #[serde(default)]
    pub methods: Vec<Method>,
    /// Service to which the route leads.
    pub service: ServiceName,
    /// Whether a request may run more than once; by default what HTTP says of the method.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Longest time in milliseconds that a call may take.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_timeout_ms() -> u64 {
    10_000
}

/// An upstream: one server of a service on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream serves.
    pub service: ServiceName,
    /// VM on which the upstream runs.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address of the upstream as seen from its VM.
    pub address: SocketAddr,
    /// Requests that the upstream can run at once.
    pub slots: u32,
    /// Connections that the upstream accepts.
    pub connections: u32,
}

/// HTTP methods that a route can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// `GET`
    Get,
    /// `HEAD`
    Head,
    /// `POST`
    Post,
    /// `PUT`
    Put,
    /// `PATCH`
    Patch,
    /// `DELETE`
    Delete,
    /// `OPTIONS`
    Options,
}

impl Method {
    /// Returns the method of that name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "GET" => Self::Get,
            "HEAD" => Self::Head,
            "POST" => Self::Post,
            "PUT" => Self::Put,
            "PATCH" => Self::Patch,
            "DELETE" => Self::Delete,
            "OPTIONS" => Self::Options,
            _ => return None,
        })
    }

    /// Returns whether HTTP defines the method as idempotent.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Post | Self::Patch)
    }
}
