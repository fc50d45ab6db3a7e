//! Release notes as written by operators.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    border,
    caller_limits::CallerLimits,
    error::NoteError,
    name::{DomainName, OrganisationName, RouteName, ServiceName, UpstreamName, VmName},
    organisation::Organisation,
    sequence::Sequence,
};

/// A release note: additions, changes and withdrawals that are applied completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "border::ReleaseNote")]
pub struct ReleaseNote {
    /// Sequence number under which the note is published.
    pub note: Sequence,
    /// Free-form description.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub summary: Option<String>,
    /// Changes of services.
    pub services: Changes<ServiceSpec, ServiceName>,
    /// Changes of routes.
    pub routes: Changes<RouteSpec, RouteName>,
    /// Changes of upstreams.
    pub upstreams: Changes<UpstreamSpec, UpstreamName>,
    /// Changes of organisations.
    #[serde(skip_serializing_if = "is_default")]
    pub organisations: Changes<Organisation, OrganisationName>,
    /// Limits on callers, which replace those in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
}

impl ReleaseNote {
    /// Parses the text of a note.
    ///
    /// # Errors
    ///
    /// Returns the rule that the text breaks, with the line if it is known.
    pub fn parse(text: &[u8]) -> Result<Self, NoteError> {
        let note: border::ReleaseNote = border::parse_yaml(text)?;
        Self::try_from(note).map_err(|err| err.with_location(&String::from_utf8_lossy(text)))
    }
}

/// Additions, changes and withdrawals for one kind of resource.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Changes<S, N> {
    /// Resources to add; none of them may exist.
    pub add: Vec<Arc<S>>,
    /// Resources to replace completely; each must exist.
    pub change: Vec<Arc<S>>,
    /// Names of resources to remove; each must exist.
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
#[serde(try_from = "border::Service")]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check endpoint on the service's upstreams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub health: Option<String>,
    /// Requests per second that a cold upstream can handle; if `None`, sidecars determine the rate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_per_second: Option<u32>,
    /// Duration of an upstream's cold start in milliseconds.
    #[serde(skip_serializing_if = "is_default")]
    pub cold_ms: u64,
}

impl ServiceSpec {
    /// Returns a service with default settings.
    #[must_use]
    pub fn with_name(name: ServiceName) -> Self {
        Self {
            name,
            health: None,
            cold_per_second: None,
            cold_ms: 0,
        }
    }
}

/// Returns whether a value equals its default and can be omitted when serialised.
fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A route from a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "border::Route")]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Path prefix; starts with a slash and matches complete path segments.
    pub path: String,
    /// Methods that the route matches; an empty list matches all.
    pub methods: Vec<Method>,
    /// Service that receives the calls of the route.
    pub service: ServiceName,
    /// Whether a request may be executed more than once; defaults to the HTTP method's idempotency.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Timeout of a call in milliseconds.
    pub timeout_ms: u64,
    /// Host that the route matches, in lower case; `None` matches all hosts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<Arc<str>>,
    /// Weighted services that share the calls; if empty, all calls go to `service`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitPart>,
    /// Maximum number of upstreams to try for one call; if `None`, the built-in limit applies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Target latency of a call in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<u64>,
    /// Priority of the calls under overload; 0 is the highest.
    #[serde(skip_serializing_if = "is_default")]
    pub priority: u8,
    /// Whether requests need no API key even if the configuration has organisations.
    #[serde(skip_serializing_if = "is_default")]
    pub public: bool,
}

impl RouteSpec {
    /// Returns a route for all hosts and methods that sends its calls to one service.
    #[must_use]
    pub fn for_service(
        name: RouteName,
        path: impl Into<String>,
        service: ServiceName,
        timeout_ms: u64,
    ) -> Self {
        Self {
            name,
            path: path.into(),
            methods: Vec::new(),
            service,
            idempotent: None,
            timeout_ms,
            host: None,
            split: Vec::new(),
            attempts: None,
            target_ms: None,
            priority: 0,
            public: false,
        }
    }

    /// Iterates over all services that can receive calls of the route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        let single = self.split.is_empty().then_some(&self.service);
        let parts = self.split.iter().map(|part| &part.service);
        single.into_iter().chain(parts)
    }
}

/// Share of a route's calls that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitPart {
    /// Service that receives the calls.
    pub service: ServiceName,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// An upstream: a server of one service on one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "border::Upstream")]
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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections that the upstream accepts.
    pub connections: u32,
    /// Start of the upstream as reported by the platform; release notes don't contain it.
    #[serde(skip)]
    pub start: Option<UpstreamStart>,
}

/// Start of an upstream as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamStart {
    /// Start time in milliseconds since the Unix epoch, by the clock of the upstream's VM.
    pub started: u64,
    /// Remaining cold time in milliseconds when the upstream was listed.
    pub cold_ms: u64,
}

/// HTTP method that a route can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "border::Method", rename_all = "UPPERCASE")]
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
    /// Returns the method with the given upper-case name.
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
